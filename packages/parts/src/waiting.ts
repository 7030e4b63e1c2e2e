/** Items that wait in a queue, in order of submission within groups. */

/** An item that waits in a queue. */
export interface WaitingItem {
  /** Grows with each submitted item; never changes. */
  readonly sequence: number;
  /** Key of the item's record. */
  readonly key: string;
}

/** Conditions on the items that may be dequeued now. */
export interface Eligible<Item> {
  readonly mayRun: (item: Item) => boolean;
  /** Whether an item yields to all items that do not yield. */
  readonly yields: (item: Item) => boolean;
}

/** Position of the best item found so far. */
interface Candidate<Item> {
  readonly waiting: Item[];
  readonly at: number;
  readonly yields: boolean;
}

function bySequence(left: WaitingItem, right: WaitingItem): number {
  return left.sequence - right.sequence;
}

function isBetter<Item extends WaitingItem>(
  found: Candidate<Item>,
  best: Candidate<Item> | undefined,
): boolean {
  if (best === undefined) return true;
  if (best.yields !== found.yields) return best.yields;
  return found.waiting[found.at]!.sequence < best.waiting[best.at]!.sequence;
}

/** The best item of one group; stops at the sequence number of the best item of the previous groups. */
function firstOf<Item extends WaitingItem>(
  waiting: Item[],
  { mayRun, yields }: Eligible<Item>,
  best: Candidate<Item> | undefined,
): Candidate<Item> | undefined {
  let first: Candidate<Item> | undefined;
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
 * Items that wait in one queue, in order of sequence within each group. A dequeue may exclude whole groups: seasons of lots,
 * or passages. The state is derived from the ledger (docs/design.md §3.1, §8.4).
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

  /** Items of a group in order of sequence. */
  itemsOf(group: string): readonly Item[] {
    return this.#groups.get(group) ?? [];
  }

  groups(): IterableIterator<string> {
    return this.#groups.keys();
  }

  /** Appends an item to its group. */
  push(group: string, item: Item): void {
    const waiting = this.#groups.get(group);
    if (waiting === undefined) this.#groups.set(group, [item]);
    else waiting.push(item);
  }

  /** Restores the order after items were pushed in any order. */
  sort(): void {
    for (const waiting of this.#groups.values()) waiting.sort(bySequence);
  }

  /** Inserts an item at the position given by its sequence. */
  reinsert(group: string, item: Item): void {
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
    for (const item of this.itemsOf(group)) if (!keys.has(item.key)) kept.push(item);
    this.#groups.set(group, kept);
  }

  /** Removes and returns the first item of the groups that may run and does not yield, else the first that may run. */
  takeFirst(groups: Iterable<string>, eligible: Eligible<Item>): Item | undefined {
    let best: Candidate<Item> | undefined;
    for (const group of groups) {
      const waiting = this.#groups.get(group) ?? [];
      const found = firstOf(waiting, eligible, best);
      if (found !== undefined && isBetter(found, best)) best = found;
    }
    return best?.waiting.splice(best.at, 1)[0];
  }
}
