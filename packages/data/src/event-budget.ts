/** Bounds on the bytes of incomplete events that a process keeps (docs/design.md §13.6). */
import { constants } from "@chutewick/parts";

/** Thrown where an event of a runner takes more memory than it may. */
export class EventTooLargeError extends Error {}

/** The memory for incomplete events: bounds for one of them and for all of them together, from the memory of the process. */
export class EventBudget {
  readonly #maxEventBytes: number;
  readonly #maxBytes: number;
  #bytes = 0;

  /** @param memoryMb megabytes that the process may use */
  constructor(memoryMb: number) {
    this.#maxEventBytes = memoryMb * constants.eventBytesPerMb;
    this.#maxBytes = memoryMb * constants.incompleteEventBytesPerMb;
  }

  /** Bytes of all incomplete events. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Reserves bytes for an event that then has `eventBytes`; throws if it may not have as many. */
  reserve(bytes: number, eventBytes: number): void {
    if (eventBytes > this.#maxEventBytes)
      throw new EventTooLargeError(`an event of the runner has over ${this.#maxEventBytes} bytes`);
    if (this.#bytes + bytes > this.#maxBytes)
      throw new EventTooLargeError("this node holds as many bytes of incomplete events as it may");
    this.#bytes += bytes;
  }

  release(bytes: number): void {
    this.#bytes -= bytes;
  }
}
