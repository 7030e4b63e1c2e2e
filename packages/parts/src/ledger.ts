/** Key-value records that a chain replicates, and the deterministic state machine that runs over them (docs/design.md §1.2). */

/** A key and its new value; undefined or null if the record was removed. */
export type Change = readonly [key: string, value: unknown];

/** Key-value store that tracks which keys changed since the changes were last taken. */
export class Ledger {
  #records = new Map<string, unknown>();
  #changed = new Set<string>();

  read<Value>(key: string): Value | undefined {
    return this.#records.get(key) as Value | undefined;
  }

  /** Stores a value. Stored values must not be mutated; a change is stored as a new value. */
  put(key: string, value: unknown): void {
    this.#records.set(key, value);
    this.#changed.add(key);
  }

  remove(key: string): void {
    if (this.#records.delete(key)) this.#changed.add(key);
  }

  /** Returns the changes since the last call, each key once with its newest value. */
  drainChanges(): Change[] {
    const changes: Change[] = [];
    for (const key of this.#changed) changes.push([key, this.#records.get(key)]);
    this.#changed.clear();
    return changes;
  }

  /** Applies changes read from disk or received from another replica, without tracking them as new changes. */
  applyChanges(changes: Iterable<Change>): void {
    for (const [key, value] of changes) {
      if (value === undefined || value === null) this.#records.delete(key);
      else this.#records.set(key, value);
    }
  }

  clear(): void {
    this.#records.clear();
    this.#changed.clear();
  }

  /** All records, in the insertion order of their keys. */
  snapshot(): Change[] {
    return [...this.#records];
  }

  get size(): number {
    return this.#records.size;
  }

  /** Records whose keys start with a prefix, in the insertion order of their keys. */
  *under<Value>(prefix: string): Generator<[string, Value]> {
    for (const [key, value] of this.#records)
      if (key.startsWith(prefix)) yield [key, value as Value];
  }
}

/** Deterministic state machine over a ledger, replicated by a chain. */
export interface StateMachine {
  /** Applies a command at the ledger time assigned by the head; a command that changes no records is a read. */
  apply(ledger: Ledger, command: unknown, time: number): unknown;
  /** Rebuilds derived state after the records were loaded from disk or from another replica. */
  rebuild(ledger: Ledger): void;
}
