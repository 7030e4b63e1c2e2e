/** Labels by name, as a model, an adapter, a way, a lot or a runner carries them. */
export type Labels = Readonly<Record<string, string>>;

/** One condition on one label; a list of selectors holds where all of them do. */
export type Selector =
  | { readonly label: string; readonly equals: string }
  | { readonly label: string; readonly in: readonly string[] }
  | { readonly label: string; readonly exists: boolean };

/** A dated window with label selectors (docs/design.md §8). Wall-clock times in ms. */
export interface Season {
  readonly name: string;
  /** Start inclusive, end exclusive. */
  readonly start: number;
  readonly end: number;
  readonly select: readonly Selector[];
  readonly waiting: number;
  /** Which runners its lots may use, by their labels; all where empty. */
  readonly runners: readonly Selector[];
  readonly limits?: {
    readonly tokens: number;
    readonly windowSeconds: number;
    readonly capacity: number;
  };
}

/** Whether labels meet all of the selectors. */
function matches(selectors: readonly Selector[], labels: Labels): boolean {
  for (const selector of selectors) {
    const value = labels[selector.label];
    if ("equals" in selector && value !== selector.equals) return false;
    if ("in" in selector && (value === undefined || !selector.in.includes(value))) return false;
    if ("exists" in selector && (value !== undefined) !== selector.exists) return false;
  }
  return true;
}

/** Whether labels of which only some are known may come to match: a lot brings its own. */
function mayMatch(selectors: readonly Selector[], known: Labels): boolean {
  const told: Selector[] = [];
  for (const selector of selectors) if (known[selector.label] !== undefined) told.push(selector);
  return matches(told, known);
}

function isOpen(one: Season, wall: number): boolean {
  return wall >= one.start && wall < one.end;
}

/** Those open at a moment, in the order in which they decide: the latest started first, ties by name. */
function opened(seasons: readonly Season[], wall: number): Season[] {
  const found: Season[] = [];
  for (const one of seasons) if (isOpen(one, wall)) found.push(one);
  return found.sort(laterStart);
}

function laterStart(left: Season, right: Season): number {
  return right.start - left.start || (left.name < right.name ? -1 : 1);
}

/** The next start or end of any of these seasons. */
function nextChange(seasons: readonly Season[], wall: number): number | undefined {
  let next: number | undefined;
  for (const one of seasons)
    for (const moment of [one.start, one.end])
      if (moment > wall && moment < (next ?? Number.POSITIVE_INFINITY)) next = moment;
  return next;
}

/** Of several open seasons that select a queue, the one that started last decides; ties go by name. */
function deciding(seasons: readonly Season[], labels: Labels, wall: number): Season | undefined {
  for (const one of opened(seasons, wall)) if (matches(one.select, labels)) return one;
  return undefined;
}

/** The next start or end of a season from which on so many items may wait; undefined where none brings that. */
function roomAt(
  seasons: readonly Season[],
  labels: Labels,
  own: number,
  wall: number,
  count: number,
): number | undefined {
  for (const moment of changesAhead(seasons, labels, wall))
    if ((deciding(seasons, labels, moment)?.waiting ?? own) >= count) return moment;
  return undefined;
}

/** Starts and ends, after a moment, of the seasons that select by these labels; in order of time. */
function changesAhead(seasons: readonly Season[], labels: Labels, wall: number): number[] {
  const moments: number[] = [];
  for (const one of seasons) if (matches(one.select, labels)) moments.push(one.start, one.end);
  return moments.filter((moment) => moment > wall).sort(ascending);
}

function ascending(left: number, right: number): number {
  return left - right;
}

/** Half of an allowance is cut evenly, half by need, so that every queue can begin and the busy ones get more. */
function cut(allowance: number, needs: readonly number[]): number[] {
  let all = 0;
  for (const need of needs) all += need;
  const shares: number[] = [];
  for (const need of needs) {
    const even = allowance / needs.length;
    shares.push(Math.floor(all === 0 ? even : even / 2 + ((allowance / 2) * need) / all));
  }
  return shares;
}

export const season = { matches, mayMatch, opened, nextChange, deciding, roomAt, cut };
