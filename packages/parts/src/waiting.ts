/** An item that waits, in its place in the queue. */
export interface WaitingItem {
  /** Grows with each item handed in; never changes. */
  readonly sequence: number;
  /** Key of the item's record. */
  readonly key: string;
}

/** What a draw may take now. */
export interface Eligible<Item> {
  readonly mayRun: (item: Item) => boolean;
  /** Whether an item lets pass all that do not. */
  readonly yields: (item: Item) => boolean;
}

/** Where a draw found the best item so far. */
interface Found<Item> {
  readonly waiting: Item[];
  readonly at: number;
  readonly yields: boolean;
}

function bySequence(left: WaitingItem, right: WaitingItem): number {
  return left.sequence - right.sequence;
}

function isBetter<Item extends WaitingItem>(
  found: Found<Item>,
  best: Found<Item> | undefined,
): boolean {
  if (best === undefined) return true;
  if (best.yields !== found.yields) return best.yields;
  return found.waiting[found.at]!.sequence < best.waiting[best.at]!.sequence;
}

/** The best of one group; looks no further than the best of the groups before. */
function firstOf<Item extends WaitingItem>(
  waiting: Item[],
  { mayRun, yields }: Eligible<Item>,
  best: Found<Item> | undefined,
): Found<Item> | undefined {
  let first: Found<Item> | undefined;
  const bound =
    best === undefined || best.yields ? Number.POSITIVE_INFINITY : best.waiting[best.at]!.sequence;
  for (const [at, item] of waiting.entries()) {
    if (item.sequence > bound) break;
    if (!mayRun(item)) continue;
    if (!yields(item)) return { waiting, at, yields: false };
    first ??= { waiting, at, yields: true };
  }
  return first;
}

/**
 * Items that wait in one queue, in order of sequence within each group. Groups are what a draw may
 * leave out: seasons of lots, or passages. Derived from the ledger (docs/design.md §3.1, §8.4).
 */
export class WaitingItems<Item extends WaitingItem> {
  #groups = new Map<string, Item[]>();

  clear(): void {
    this.#groups.clear();
  }

  get size(): number {
    let count = 0;
    for (const waiting of this.#groups.values()) count += waiting.length;
    return count;
  }

  /** In order of sequence. */
  of(group: string): readonly Item[] {
    return this.#groups.get(group) ?? [];
  }

  groups(): IterableIterator<string> {
    return this.#groups.keys();
  }

  /** Behind all others of its group. */
  push(group: string, item: Item): void {
    const waiting = this.#groups.get(group);
    if (waiting === undefined) this.#groups.set(group, [item]);
    else waiting.push(item);
  }

  /** After items were pushed in any order. */
  sort(): void {
    for (const waiting of this.#groups.values()) waiting.sort(bySequence);
  }

  /** Back to its own place in the queue. */
  giveBack(group: string, item: Item): void {
    const waiting = this.#groups.get(group) ?? [];
    let [low, high] = [0, waiting.length];
    while (low < high) {
      const middle = (low + high) >> 1;
      if (waiting[middle]!.sequence < item.sequence) low = middle + 1;
      else high = middle;
    }
    waiting.splice(low, 0, item);
    this.#groups.set(group, waiting);
  }

  remove(group: string, keys: ReadonlySet<string>): void {
    const kept: Item[] = [];
    for (const item of this.of(group)) if (!keys.has(item.key)) kept.push(item);
    this.#groups.set(group, kept);
  }

  /** Takes the first item of some groups that may run and does not yield; else the first that may run. */
  takeFirst(groups: Iterable<string>, eligible: Eligible<Item>): Item | undefined {
    let best: Found<Item> | undefined;
    for (const group of groups) {
      const waiting = this.#groups.get(group) ?? [];
      const found = firstOf(waiting, eligible, best);
      if (found !== undefined && isBetter(found, best)) best = found;
    }
    return best?.waiting.splice(best.at, 1)[0];
  }
}
