/** Incremental parser for server-sent events in a response body (docs/design.md §13.6). */
import type { EventBudget } from "./event-budget.js";

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const EMPTY_BUFFER = Buffer.alloc(0);

/** A complete server-sent event. Keeps the bytes as received; the fields are parsed on access. */
export class ServerSentEvent {
  readonly kind = "event";
  readonly bytes: Uint8Array;
  #text: string | undefined;

  constructor(bytes: Uint8Array) {
    this.bytes = bytes;
  }

  get #lines(): string[] {
    this.#text ??= Buffer.from(
      this.bytes.buffer,
      this.bytes.byteOffset,
      this.bytes.byteLength,
    ).toString("utf8");
    return this.#text.split(/\r\n|\n|\r/);
  }

  /** The `id` field as a number; undefined if missing or not a number. */
  get number(): number | undefined {
    const { id } = this;
    return id !== undefined && /^\d{1,15}$/.test(id) ? Number(id) : undefined;
  }

  /** The `event` field; undefined if missing. */
  get name(): string | undefined {
    return this.#lastValue("event");
  }

  /** The `id` field; undefined if missing. */
  get id(): string | undefined {
    return this.#lastValue("id");
  }

  /** The value of the last line with the given field. */
  #lastValue(field: string): string | undefined {
    const line = this.#lines.findLast((each) => fieldValue(each, field) !== undefined);
    return line === undefined ? undefined : fieldValue(line, field);
  }

  /** The `data` fields, joined by line feeds. */
  get data(): string {
    const values: string[] = [];
    for (const line of this.#lines) {
      const value = fieldValue(line, "data");
      if (value !== undefined) values.push(value);
    }
    return values.join("\n");
  }
}

/** Returns the value of a line if it holds the given field. */
function fieldValue(line: string, field: string): string | undefined {
  if (!line.startsWith(field)) return undefined;
  if (line.length === field.length) return "";
  if (line[field.length] !== ":") return undefined;
  return line[field.length + 1] === " "
    ? line.slice(field.length + 2)
    : line.slice(field.length + 1);
}

/**
 * Splits the chunks of a body into complete events and buffers the rest. Each byte is looked at once, and copied at most a constant
 * number of times, however long an event is and in whatever chunks it arrives.
 */
export class EventStreamParser {
  readonly #budget: EventBudget;
  /** Bytes of the incomplete event, with room for more. */
  #buffer = EMPTY_BUFFER;
  #bufferedBytes = 0;
  #hasIncompleteEvent = false;

  constructor(budget: EventBudget) {
    this.#budget = budget;
  }

  /** Whether an incomplete event is buffered; blank lines alone do not count. */
  get hasIncompleteEvent(): boolean {
    return this.#hasIncompleteEvent;
  }

  /** Adds a chunk and returns the events that are complete now. Throws an EventTooLargeError if the rest takes more than its budget. */
  push(chunk: Buffer): ServerSentEvent[] {
    const events: ServerSentEvent[] = [];
    let start = 0;
    for (let at = chunk.indexOf(LINE_FEED); at >= 0; at = chunk.indexOf(LINE_FEED, at + 1)) {
      if (!this.#isBlankLineEnd(chunk, start, at)) continue;
      events.push(new ServerSentEvent(this.#take(chunk.subarray(start, at + 1))));
      start = at + 1;
    }
    if (start < chunk.length) this.#keep(chunk.subarray(start));
    return events;
  }

  /** Discards what is buffered; to be called when the body ends or is given up. */
  discard(): void {
    this.#budget.release(this.#bufferedBytes);
    this.#buffer = EMPTY_BUFFER;
    this.#bufferedBytes = 0;
    this.#hasIncompleteEvent = false;
  }

  /** Whether the line feed at an offset of a chunk ends a blank line of the event that begins at `start` or in the buffer. */
  #isBlankLineEnd(chunk: Buffer, start: number, at: number): boolean {
    const previous = this.#byteAt(chunk, start, at - 1);
    if (previous !== CARRIAGE_RETURN) return previous === LINE_FEED;
    return (
      this.#byteAt(chunk, start, at - 2) === LINE_FEED &&
      this.#byteAt(chunk, start, at - 3) === CARRIAGE_RETURN
    );
  }

  /** The byte of the current event at an offset of the chunk; those before the chunk are in the buffer. */
  #byteAt(chunk: Buffer, start: number, offset: number): number | undefined {
    if (offset >= start) return chunk[offset];
    return this.#buffer[this.#bufferedBytes + offset - start];
  }

  /** The whole event whose last bytes these are. */
  #take(last: Buffer): Buffer {
    if (this.#bufferedBytes === 0) return last;
    const event = Buffer.concat([this.#buffer.subarray(0, this.#bufferedBytes), last]);
    this.discard();
    return event;
  }

  /** Adds bytes to the buffer, whose room at least doubles when it grows. */
  #keep(bytes: Buffer): void {
    const length = this.#bufferedBytes + bytes.length;
    this.#budget.reserve(bytes.length, length);
    if (length > this.#buffer.length) {
      const larger = Buffer.allocUnsafe(Math.max(length, 2 * this.#buffer.length));
      this.#buffer.copy(larger, 0, 0, this.#bufferedBytes);
      this.#buffer = larger;
    }
    bytes.copy(this.#buffer, this.#bufferedBytes);
    this.#bufferedBytes = length;
    this.#hasIncompleteEvent ||= hasText(bytes);
  }
}

/** Whether there is anything but line ends. */
function hasText(bytes: Buffer): boolean {
  for (const byte of bytes) if (byte !== LINE_FEED && byte !== CARRIAGE_RETURN) return true;
  return false;
}
