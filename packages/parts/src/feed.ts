/** Feed of committed control changes from the control machines to the other nodes (docs/design.md §4). */
import { constants } from "./constants.js";
import type { Change } from "./ledger.js";

/** Changes since the feed index of the follower, or a snapshot of all records; `place` is a feed index. */
export type FeedMessage =
  | { readonly kind: "feed"; readonly entries: readonly FeedEntry[] }
  | { readonly kind: "feed-digest"; readonly place: number; readonly records: readonly Change[] };

/** Changes made at one feed index. */
export interface FeedEntry {
  /** Feed index of the entry. */
  readonly place: number;
  readonly changes: readonly Change[];
}

/** Maps a record to the value that followers receive, or to undefined if it is not published. */
export type PublishFilter = (key: string, value: unknown) => unknown;

/** Keys changed at one feed index. */
interface ChangedKeys {
  readonly place: number;
  readonly keys: readonly string[];
}

/**
 * Publishing side: holds the newest value of each committed record, and the keys changed at each of the last feed indexes. A follower
 * that is behind receives each changed record once, at the index that changed it last, so a message is never larger than the records
 * themselves, however many changes the follower missed.
 */
export class Feed {
  #feedIndex = 0;
  #records = new Map<string, unknown>();
  #recent: ChangedKeys[] = [];
  /** For each key in `#recent`, the feed index that changed it last. */
  #lastChangedAt = new Map<string, number>();
  /** Messages built since the last change, by the feed index that they start after. */
  #builtMessages = new Map<number, FeedMessage>();
  #toPublishedValue: PublishFilter;

  constructor(published: PublishFilter = publishUnchanged) {
    this.#toPublishedValue = published;
  }

  /** Feed index of the last change. */
  get place(): number {
    return this.#feedIndex;
  }

  read<Value>(key: string): Value | undefined {
    return this.#records.get(key) as Value | undefined;
  }

  /** Records whose keys start with a prefix. */
  *under<Value>(prefix: string): Generator<[string, Value]> {
    for (const [key, value] of this.#records)
      if (key.startsWith(prefix)) yield [key, value as Value];
  }

  /** Appends the changes made at the next feed index; ignores any other index. */
  append(feedIndex: number, changes: readonly Change[]): void {
    if (feedIndex !== this.#feedIndex + 1) return;
    this.#feedIndex = feedIndex;
    this.#builtMessages.clear();
    const published = this.#toPublished(changes);
    applyTo(this.#records, published);
    const changed: string[] = [];
    for (const [key] of published) {
      changed.push(key);
      this.#lastChangedAt.set(key, feedIndex);
    }
    this.#recent.push({ place: feedIndex, keys: changed });
    if (this.#recent.length > constants.feedRetentionEntries) this.#dropOldest();
  }

  /** Replaces all records; followers that are behind then receive a snapshot. */
  restore(feedIndex: number, records: readonly Change[]): void {
    if (feedIndex < this.#feedIndex) return;
    this.#feedIndex = feedIndex;
    this.#builtMessages.clear();
    this.#records = new Map();
    applyTo(this.#records, this.#toPublished(records));
    this.#recent = [];
    this.#lastChangedAt.clear();
  }

  /** The message that a follower at a feed index still needs, or undefined if it is up to date. */
  messageAfter(feedIndex: number): FeedMessage | undefined {
    if (feedIndex >= this.#feedIndex) return undefined;
    const message = this.#builtMessages.get(feedIndex) ?? this.#buildMessage(feedIndex);
    this.#builtMessages.set(feedIndex, message);
    return message;
  }

  #buildMessage(feedIndex: number): FeedMessage {
    const first = this.#recent[0]?.place ?? this.#feedIndex + 1;
    if (feedIndex === 0 || feedIndex + 1 < first)
      return { kind: "feed-digest", place: this.#feedIndex, records: [...this.#records] };
    const entries: FeedEntry[] = [];
    for (const changed of this.#recent.slice(feedIndex + 1 - first))
      entries.push({ place: changed.place, changes: this.#changesLastMadeAt(changed) });
    return { kind: "feed", entries };
  }

  /** Changes made at a feed index, without records that have changed again since. */
  #changesLastMadeAt({ place, keys }: ChangedKeys): Change[] {
    const changes: Change[] = [];
    for (const key of keys)
      if (this.#lastChangedAt.get(key) === place) changes.push([key, this.#records.get(key)]);
    return changes;
  }

  #dropOldest(): void {
    const { place, keys } = this.#recent.shift()!;
    for (const key of keys)
      if (this.#lastChangedAt.get(key) === place) this.#lastChangedAt.delete(key);
  }

  #toPublished(changes: readonly Change[]): Change[] {
    const publishedChanges: Change[] = [];
    for (const [key, value] of changes) {
      const publishedValue = value === undefined ? undefined : this.#toPublishedValue(key, value);
      if (publishedValue !== undefined || value === undefined)
        publishedChanges.push([key, publishedValue]);
    }
    return publishedChanges;
  }
}

function publishUnchanged(_key: string, value: unknown): unknown {
  return value;
}

/** Following side: applies the messages of a feed; its feed index never decreases. */
export class Follower {
  #feedIndex = 0;
  #records = new Map<string, unknown>();

  /** Feed index of the last change that was applied. */
  get place(): number {
    return this.#feedIndex;
  }

  read<Value>(key: string): Value | undefined {
    return this.#records.get(key) as Value | undefined;
  }

  /** Records whose keys start with a prefix. */
  *under<Value>(prefix: string): Generator<[string, Value]> {
    for (const [key, value] of this.#records)
      if (key.startsWith(prefix)) yield [key, value as Value];
  }

  /** Applies a message; returns whether it contained anything new. */
  receive(message: FeedMessage): boolean {
    if (message.kind === "feed-digest") {
      if (message.place <= this.#feedIndex) return false;
      this.#feedIndex = message.place;
      this.#records = new Map();
      applyTo(this.#records, message.records);
      return true;
    }
    let hasNew = false;
    for (const entry of message.entries) {
      if (entry.place !== this.#feedIndex + 1) continue;
      this.#feedIndex = entry.place;
      applyTo(this.#records, entry.changes);
      hasNew = true;
    }
    return hasNew;
  }
}

function applyTo(records: Map<string, unknown>, changes: readonly Change[]): void {
  for (const [key, value] of changes) {
    if (value === undefined || value === null) records.delete(key);
    else records.set(key, value);
  }
}
