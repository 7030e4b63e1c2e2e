/** Incremental parser for server-sent events in a response body (docs/design.md §13.6). */
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
    let id: number | undefined;
    for (const line of this.#lines) {
      const value = fieldValue(line, "id");
      if (value !== undefined) id = /^\d{1,15}$/.test(value) ? Number(value) : undefined;
    }
    return id;
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

/** Splits the chunks of a body into complete events and buffers the rest. */
export class EventStreamParser {
  #buffered: Buffer = EMPTY_BUFFER;

  /** Whether an incomplete event is buffered; blank lines alone do not count. */
  get hasIncompleteEvent(): boolean {
    for (const byte of this.#buffered)
      if (byte !== LINE_FEED && byte !== CARRIAGE_RETURN) return true;
    return false;
  }

  /** Adds a chunk and returns the events that are complete now. */
  push(chunk: Buffer): ServerSentEvent[] {
    const events: ServerSentEvent[] = [];
    let rest = this.#buffered.length === 0 ? chunk : Buffer.concat([this.#buffered, chunk]);
    for (;;) {
      const end = endOfFirstEvent(rest);
      if (end < 0) break;
      events.push(new ServerSentEvent(rest.subarray(0, end)));
      rest = rest.subarray(end);
    }
    this.#buffered = rest;
    return events;
  }
}

/** Returns the offset after the blank line that ends the first event, or -1. */
function endOfFirstEvent(bytes: Buffer): number {
  const lfEnd = bytes.indexOf("\n\n");
  const end = lfEnd < 0 ? -1 : lfEnd + 2;
  if (!bytes.includes(CARRIAGE_RETURN)) return end;
  const crlfEnd = bytes.indexOf("\r\n\r\n");
  return crlfEnd >= 0 && (end < 0 || crlfEnd + 4 < end) ? crlfEnd + 4 : end;
}
