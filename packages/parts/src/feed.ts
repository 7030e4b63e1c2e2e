import { constants } from "./constants.js";
import type { Change } from "./ledger.js";

/** The numbered feed of confirmed control changes (docs/design.md §4). */
export type FeedMessage =
  | { readonly kind: "feed"; readonly entries: readonly FeedEntry[] }
  | { readonly kind: "feed-digest"; readonly place: number; readonly records: readonly Change[] };

export interface FeedEntry {
  readonly place: number;
  readonly changes: readonly Change[];
}

/** Publishing side: what is confirmed, and the last changes one by one. */
export class Feed {
  #place = 0;
  #records = new Map<string, unknown>();
  #recent: FeedEntry[] = [];

  get place(): number {
    return this.#place;
  }

  read<Value>(key: string): Value | undefined {
    return this.#records.get(key) as Value | undefined;
  }

  *under<Value>(prefix: string): Generator<[string, Value]> {
    for (const [key, value] of this.#records)
      if (key.startsWith(prefix)) yield [key, value as Value];
  }

  take(place: number, changes: readonly Change[]): void {
    if (place !== this.#place + 1) return;
    this.#place = place;
    applyTo(this.#records, changes);
    this.#recent.push({ place, changes });
    if (this.#recent.length > constants.feedKept) this.#recent.shift();
  }

  restore(place: number, records: readonly Change[]): void {
    if (place < this.#place) return;
    this.#place = place;
    this.#records = new Map();
    applyTo(this.#records, records);
    this.#recent = [];
  }

  /** What one that stands at a place still misses. */
  since(place: number): FeedMessage | undefined {
    if (place >= this.#place) return undefined;
    const first = this.#recent[0]?.place ?? this.#place + 1;
    if (place === 0 || place + 1 < first)
      return { kind: "feed-digest", place: this.#place, records: [...this.#records] };
    return { kind: "feed", entries: this.#recent.slice(place + 1 - first) };
  }
}

/** Following side: it only ever goes on. */
export class Follower {
  #place = 0;
  #records = new Map<string, unknown>();

  get place(): number {
    return this.#place;
  }

  read<Value>(key: string): Value | undefined {
    return this.#records.get(key) as Value | undefined;
  }

  *under<Value>(prefix: string): Generator<[string, Value]> {
    for (const [key, value] of this.#records)
      if (key.startsWith(prefix)) yield [key, value as Value];
  }

  /** True when something new was taken. */
  receive(message: FeedMessage): boolean {
    if (message.kind === "feed-digest") {
      if (message.place <= this.#place) return false;
      this.#place = message.place;
      this.#records = new Map();
      applyTo(this.#records, message.records);
      return true;
    }
    let taken = false;
    for (const entry of message.entries) {
      if (entry.place !== this.#place + 1) continue;
      this.#place = entry.place;
      applyTo(this.#records, entry.changes);
      taken = true;
    }
    return taken;
  }
}

function applyTo(records: Map<string, unknown>, changes: readonly Change[]): void {
  for (const [key, value] of changes) {
    if (value === undefined || value === null) records.delete(key);
    else records.set(key, value);
  }
}
