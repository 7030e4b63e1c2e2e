/** Frames between processes: a length of four bytes and a msgpack body (docs/design.md §10.3). */
import { constants } from "@chutewick/parts";
import { Packr } from "msgpackr";

const LENGTH_BYTES = 4;
const packer = new Packr({ useRecords: false });

/** Bytes that are no frame: the connection cannot be read any further. */
export class FrameError extends Error {
  override readonly name = "FrameError";
}

/** The frame that carries a message. */
export function encodeFrame(message: unknown): Buffer {
  const body = packer.pack(message);
  const frame = Buffer.allocUnsafe(body.length + LENGTH_BYTES);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Cuts the bytes of one connection into messages. */
export class FrameReader {
  #held: Buffer[] = [];
  #size = 0;
  /** Bytes that must be here before the next frame can be whole. */
  #needed = LENGTH_BYTES;

  /**
   * Takes the next bytes and yields each message that is whole.
   *
   * @throws FrameError where the bytes are no frame, or one over the bound.
   */
  *read(chunk: Buffer): Generator<unknown> {
    this.#held.push(chunk);
    this.#size += chunk.length;
    if (this.#size < this.#needed) return;
    let rest = this.#held.length === 1 ? chunk : Buffer.concat(this.#held, this.#size);
    for (;;) {
      const frameSize = frameSizeOf(rest);
      if (frameSize === undefined || rest.length < frameSize) break;
      const body = rest.subarray(LENGTH_BYTES, frameSize);
      rest = rest.subarray(frameSize);
      yield unpack(body);
    }
    this.#held = rest.length === 0 ? [] : [rest];
    this.#size = rest.length;
    this.#needed = frameSizeOf(rest) ?? LENGTH_BYTES;
  }
}

/** Bytes of the frame that begins here; undefined where not even its length has come. */
function frameSizeOf(bytes: Buffer): number | undefined {
  if (bytes.length < LENGTH_BYTES) return undefined;
  const length = bytes.readUInt32BE(0);
  if (length > constants.messageMost) throw new FrameError(`a message of ${length} bytes`);
  return length + LENGTH_BYTES;
}

function unpack(body: Buffer): unknown {
  try {
    return packer.unpack(body);
  } catch {
    throw new FrameError("not a message");
  }
}
