/** Batches the frames that one turn of the event loop sends on a connection (docs/design.md §10.3). */
import type { Socket } from "node:net";

/**
 * Collects the frames of one connection until the current callback ends and writes them together: one system call, and usually
 * one wake-up of the receiver, instead of one for each message.
 */
export class FrameBatch {
  readonly #socket: Socket;
  #frames: Buffer[] = [];
  #bytes = 0;

  constructor(socket: Socket) {
    this.#socket = socket;
  }

  /** Bytes not yet passed to the kernel: those of this batch and those buffered by the socket. */
  get unsentBytes(): number {
    return this.#bytes + this.#socket.writableLength;
  }

  /** Adds a frame; it is written at the end of the current callback. */
  add(frame: Buffer): void {
    if (this.#frames.length === 0) process.nextTick(flush, this);
    this.#frames.push(frame);
    this.#bytes += frame.length;
  }

  /** Writes the collected frames; must be called before the socket is closed. */
  flush(): void {
    const [first] = this.#frames;
    if (first === undefined) return;
    const bytes = this.#frames.length === 1 ? first : Buffer.concat(this.#frames, this.#bytes);
    this.#frames = [];
    this.#bytes = 0;
    if (this.#socket.writable) this.#socket.write(bytes);
  }
}

function flush(batch: FrameBatch): void {
  batch.flush();
}
