/**
 * Seasons: dated windows with their own limits, which apply to queues by label selectors (docs/design.md §8).
 * A lot is a batch job, a way is a route.
 */

/** Labels by name, of a model, an adapter, a way, a lot or a runner. */
export type Labels = Readonly<Record<string, string>>;

/** Condition on one label; a list of selectors matches if all of them match. */
export type Selector =
  | { readonly label: string; readonly equals: string }
  | { readonly label: string; readonly in: readonly string[] }
  | { readonly label: string; readonly exists: boolean };

/** A dated window with label selectors. Wall-clock times in ms. */
export interface Season {
  readonly name: string;
  /** Inclusive start, exclusive end. */
  readonly start: number;
  readonly end: number;
  readonly select: readonly Selector[];
  /** Number of items that may wait in a selected queue. */
  readonly waiting: number;
  /** Selects the runners that its lots may use; all if empty. */
  readonly runners: readonly Selector[];
  readonly limits?: {
    readonly tokens: number;
    readonly windowSeconds: number;
    readonly capacity: number;
  };
}

/** Whether labels match all selectors. */
function matches(selectors: readonly Selector[], labels: Labels): boolean {
  for (const selector of selectors) {
    const value = labels[selector.label];
    if ("equals" in selector && value !== selector.equals) return false;
    if ("in" in selector && (value === undefined || !selector.in.includes(value))) return false;
    if ("exists" in selector && (value !== undefined) !== selector.exists) return false;
  }
  return true;
}

/** Whether labels may still match when others are added: a lot adds its own labels. */
function mayMatch(selectors: readonly Selector[], known: Labels): boolean {
  const decidable: Selector[] = [];
  for (const selector of selectors)
    if (known[selector.label] !== undefined) decidable.push(selector);
  return matches(decidable, known);
}

function isOpen(one: Season, wall: number): boolean {
  return wall >= one.start && wall < one.end;
}

/** Seasons open at a time in order of precedence: the latest start first, ties by name. */
function opened(seasons: readonly Season[], wall: number): Season[] {
  const found: Season[] = [];
  for (const one of seasons) if (isOpen(one, wall)) found.push(one);
  return found.sort(laterStart);
}

function laterStart(left: Season, right: Season): number {
  return right.start - left.start || (left.name < right.name ? -1 : 1);
}

/** Next start or end of any of the seasons. */
function nextChange(seasons: readonly Season[], wall: number): number | undefined {
  let next: number | undefined;
  for (const one of seasons)
    for (const moment of [one.start, one.end])
      if (moment > wall && moment < (next ?? Number.POSITIVE_INFINITY)) next = moment;
  return next;
}

/** The season in force for a queue: of the open ones that select it the one that started last, ties by name. */
function seasonInForce(
  seasons: readonly Season[],
  labels: Labels,
  wall: number,
): Season | undefined {
  for (const one of opened(seasons, wall)) if (matches(one.select, labels)) return one;
  return undefined;
}

/** Next start or end of a season after which `count` items may wait; undefined if there is none. */
function roomAt(
  seasons: readonly Season[],
  labels: Labels,
  own: number,
  wall: number,
  count: number,
): number | undefined {
  for (const moment of changesAhead(seasons, labels, wall))
    if ((seasonInForce(seasons, labels, moment)?.waiting ?? own) >= count) return moment;
  return undefined;
}

/** Later starts and ends of the seasons that select these labels, in order of time. */
function changesAhead(seasons: readonly Season[], labels: Labels, wall: number): number[] {
  const moments: number[] = [];
  for (const one of seasons) if (matches(one.select, labels)) moments.push(one.start, one.end);
  return moments.filter((moment) => moment > wall).sort(ascending);
}

function ascending(left: number, right: number): number {
  return left - right;
}

/** Divides an allowance half evenly and half by need, so that every queue can begin and busy ones get more. */
function divideAllowance(allowance: number, needs: readonly number[]): number[] {
  let totalNeed = 0;
  for (const need of needs) totalNeed += need;
  const shares: number[] = [];
  for (const need of needs) {
    const even = allowance / needs.length;
    shares.push(
      Math.floor(totalNeed === 0 ? even : even / 2 + ((allowance / 2) * need) / totalNeed),
    );
  }
  return shares;
}

export const season = {
  matches,
  mayMatch,
  opened,
  nextChange,
  inForce: seasonInForce,
  roomAt,
  divideAllowance,
};
