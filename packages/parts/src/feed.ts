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

/** What of a record goes to those who follow; undefined: it is not for them. */
export type Published = (key: string, value: unknown) => unknown;

/** The keys that one place changed. */
interface ChangedKeys {
  readonly place: number;
  readonly keys: readonly string[];
}

/**
 * Publishing side: the newest value of each confirmed record, and which records each of the last places changed. One that is
 * behind gets each changed record once, with the place that changed it last, so what it is sent never outgrows the records
 * themselves, however many changes it missed.
 */
export class Feed {
  #place = 0;
  #records = new Map<string, unknown>();
  #recent: ChangedKeys[] = [];
  /** The last place that changed each key, of those in `#recent`. */
  #changedAt = new Map<string, number>();
  /** Messages made since the last change, by the place that they go on from. */
  #made = new Map<number, FeedMessage>();
  #published: Published;

  constructor(published: Published = asItIs) {
    this.#published = published;
  }

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
    this.#made.clear();
    const published = this.#publishedOf(changes);
    applyTo(this.#records, published);
    const changed: string[] = [];
    for (const [key] of published) {
      changed.push(key);
      this.#changedAt.set(key, place);
    }
    this.#recent.push({ place, keys: changed });
    if (this.#recent.length > constants.feedKept) this.#forgetOldest();
  }

  restore(place: number, records: readonly Change[]): void {
    if (place < this.#place) return;
    this.#place = place;
    this.#made.clear();
    this.#records = new Map();
    applyTo(this.#records, this.#publishedOf(records));
    this.#recent = [];
    this.#changedAt.clear();
  }

  /** What one that stands at a place still misses. */
  since(place: number): FeedMessage | undefined {
    if (place >= this.#place) return undefined;
    const made = this.#made.get(place) ?? this.#make(place);
    this.#made.set(place, made);
    return made;
  }

  #make(place: number): FeedMessage {
    const first = this.#recent[0]?.place ?? this.#place + 1;
    if (place === 0 || place + 1 < first)
      return { kind: "feed-digest", place: this.#place, records: [...this.#records] };
    const entries: FeedEntry[] = [];
    for (const changed of this.#recent.slice(place + 1 - first))
      entries.push({ place: changed.place, changes: this.#lastChangedAt(changed) });
    return { kind: "feed", entries };
  }

  /** What a place changed, but for what was changed again since. */
  #lastChangedAt({ place, keys }: ChangedKeys): Change[] {
    const changes: Change[] = [];
    for (const key of keys)
      if (this.#changedAt.get(key) === place) changes.push([key, this.#records.get(key)]);
    return changes;
  }

  #forgetOldest(): void {
    const { place, keys } = this.#recent.shift()!;
    for (const key of keys) if (this.#changedAt.get(key) === place) this.#changedAt.delete(key);
  }

  #publishedOf(changes: readonly Change[]): Change[] {
    const found: Change[] = [];
    for (const [key, value] of changes) {
      const published = value === undefined ? undefined : this.#published(key, value);
      if (published !== undefined || value === undefined) found.push([key, published]);
    }
    return found;
  }
}

function asItIs(_key: string, value: unknown): unknown {
  return value;
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
