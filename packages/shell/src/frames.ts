/** Frames between processes: a length of four bytes followed by a msgpack body (docs/design.md §10.3). */
import { constants } from "@chutewick/parts";
import { Packr } from "msgpackr";

const LENGTH_BYTES = 4;
const packer = new Packr({ useRecords: false });

/** Thrown for bytes that are not a valid frame, after which the connection cannot be read any further. */
export class FrameError extends Error {
  override readonly name = "FrameError";
}

/** Encodes a message as a frame. */
export function encodeFrame(message: unknown): Buffer {
  const body = packer.pack(message);
  const frame = Buffer.allocUnsafe(body.length + LENGTH_BYTES);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Parses the bytes of one connection into messages. */
export class FrameReader {
  #chunks: Buffer[] = [];
  #bufferedBytes = 0;
  /** Bytes that must be buffered before the next frame can be complete. */
  #neededBytes = LENGTH_BYTES;

  /**
   * Adds the next bytes and yields each message that is complete.
   *
   * @throws FrameError if the bytes are not a frame, or the frame exceeds the size limit.
   */
  *read(chunk: Buffer): Generator<unknown> {
    this.#chunks.push(chunk);
    this.#bufferedBytes += chunk.length;
    if (this.#bufferedBytes < this.#neededBytes) return;
    let rest = this.#chunks.length === 1 ? chunk : Buffer.concat(this.#chunks, this.#bufferedBytes);
    for (;;) {
      const frameSize = frameSizeAt(rest);
      if (frameSize === undefined || rest.length < frameSize) break;
      const body = rest.subarray(LENGTH_BYTES, frameSize);
      rest = rest.subarray(frameSize);
      yield unpack(body);
    }
    this.#chunks = rest.length === 0 ? [] : [rest];
    this.#bufferedBytes = rest.length;
    this.#neededBytes = frameSizeAt(rest) ?? LENGTH_BYTES;
  }
}

/** Size in bytes of the frame at the start of a buffer; undefined if its length field is incomplete. */
function frameSizeAt(bytes: Buffer): number | undefined {
  if (bytes.length < LENGTH_BYTES) return undefined;
  const length = bytes.readUInt32BE(0);
  if (length > constants.maxMessageBytes)
    throw new FrameError(`a message of ${length} bytes exceeds the size limit`);
  return length + LENGTH_BYTES;
}

function unpack(body: Buffer): unknown {
  try {
    return packer.unpack(body);
  } catch {
    throw new FrameError("the frame body is not valid msgpack");
  }
}
