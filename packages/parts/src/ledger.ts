/** A key and its new value; undefined or null where the record was removed. */
export type Change = readonly [key: string, value: unknown];

/** Records under keys, and which of them changed since last asked (docs/design.md §1.2). */
export class Ledger {
  #records = new Map<string, unknown>();
  #changed = new Set<string>();

  read<Value>(key: string): Value | undefined {
    return this.#records.get(key) as Value | undefined;
  }

  /** Values are never altered in place: a change is a new value. */
  put(key: string, value: unknown): void {
    this.#records.set(key, value);
    this.#changed.add(key);
  }

  remove(key: string): void {
    if (this.#records.delete(key)) this.#changed.add(key);
  }

  /** Changes since the last call, each key once with its newest value. */
  takeChanges(): Change[] {
    const changes: Change[] = [];
    for (const key of this.#changed) changes.push([key, this.#records.get(key)]);
    this.#changed.clear();
    return changes;
  }

  /** Applies changes that came from disk or another member, without counting them as changes of its own. */
  adopt(changes: Iterable<Change>): void {
    for (const [key, value] of changes) {
      if (value === undefined || value === null) this.#records.delete(key);
      else this.#records.set(key, value);
    }
  }

  clear(): void {
    this.#records.clear();
    this.#changed.clear();
  }

  /** All records, in the order in which their keys were first put. */
  snapshot(): Change[] {
    return [...this.#records];
  }

  get size(): number {
    return this.#records.size;
  }

  /** Records whose keys begin with a prefix, in the order in which their keys were first put. */
  *under<Value>(prefix: string): Generator<[string, Value]> {
    for (const [key, value] of this.#records)
      if (key.startsWith(prefix)) yield [key, value as Value];
  }
}

/** What a chain replicates: a deterministic machine over a ledger. */
export interface Machine {
  /** Applies one command at the moment stamped by the head; a request without changes is a read. */
  apply(ledger: Ledger, command: unknown, time: number): unknown;
  /** Called after records came from disk or from another member. */
  rebuild(ledger: Ledger): void;
}
