/** Server-sent events, cut out of the bytes of a body as they come (docs/design.md §13.6). */
const lineFeed = 10;
const carriageReturn = 13;
const nothing = Buffer.alloc(0);

/** A whole event: its bytes as they came; what it says is read only when asked for. */
export class WholeEvent {
  readonly kind = "event";
  readonly bytes: Uint8Array;
  #text: string | undefined;

  constructor(bytes: Uint8Array) {
    this.bytes = bytes;
  }

  get #rows(): string[] {
    this.#text ??= Buffer.from(
      this.bytes.buffer,
      this.bytes.byteOffset,
      this.bytes.byteLength,
    ).toString("utf8");
    return this.#text.split(/\r\n|\n|\r/);
  }

  get number(): number | undefined {
    let found: number | undefined;
    for (const row of this.#rows) {
      const value = valueOf(row, "id");
      if (value !== undefined) found = /^\d{1,15}$/.test(value) ? Number(value) : undefined;
    }
    return found;
  }

  get data(): string {
    const parts: string[] = [];
    for (const row of this.#rows) {
      const value = valueOf(row, "data");
      if (value !== undefined) parts.push(value);
    }
    return parts.join("\n");
  }
}

function valueOf(row: string, field: string): string | undefined {
  if (!row.startsWith(field)) return undefined;
  if (row.length === field.length) return "";
  if (row[field.length] !== ":") return undefined;
  return row[field.length + 1] === " " ? row.slice(field.length + 2) : row.slice(field.length + 1);
}

export class EventReader {
  #held: Buffer = nothing;

  /** Bytes of an event that has not ended yet; blank lines alone are none. */
  get open(): boolean {
    for (const byte of this.#held) if (byte !== lineFeed && byte !== carriageReturn) return true;
    return false;
  }

  take(chunk: Buffer): WholeEvent[] {
    const found: WholeEvent[] = [];
    let rest = this.#held.length === 0 ? chunk : Buffer.concat([this.#held, chunk]);
    for (;;) {
      const end = endOf(rest);
      if (end < 0) break;
      found.push(new WholeEvent(rest.subarray(0, end)));
      rest = rest.subarray(end);
    }
    this.#held = rest;
    return found;
  }
}

/** Where the first event ends: behind the blank line that closes it. */
function endOf(bytes: Buffer): number {
  const plain = bytes.indexOf("\n\n");
  const end = plain < 0 ? -1 : plain + 2;
  if (!bytes.includes(carriageReturn)) return end;
  const wide = bytes.indexOf("\r\n\r\n");
  return wide >= 0 && (end < 0 || wide + 4 < end) ? wide + 4 : end;
}
