/** Finds out, without I/O or a clock, that a connection to another process has stalled (docs/design.md §10.3). */
import { constants } from "@chutewick/parts";

/**
 * Progress of one outgoing connection. The other side acknowledges on the same connection how many bytes it has received, so
 * an acknowledgement shows that bytes pass in both directions, however slowly.
 */
export class ConnectionProgress {
  readonly #expectsAnswer: boolean;
  #hasAnswered = false;
  #acknowledged = 0;
  /** ms in which this process ran and bytes waited for an acknowledgement, since the last one that told of more. */
  #silentFor = 0;

  /** expectsAnswer: the other side is known to acknowledge; earlier releases do not. */
  constructor(expectsAnswer: boolean) {
    this.#expectsAnswer = expectsAnswer;
  }

  /** Whether the other side has acknowledged anything on this connection. */
  get hasAnswered(): boolean {
    return this.#hasAnswered;
  }

  /** Whether the connection has stalled and should be replaced. */
  get hasExpired(): boolean {
    return this.#silentFor >= constants.acknowledgementPatience;
  }

  /** The other side has received so many bytes since the connection was opened. */
  acknowledged(bytes: number): void {
    this.#hasAnswered = true;
    if (bytes <= this.#acknowledged) return;
    this.#acknowledged = bytes;
    this.#silentFor = 0;
  }

  /** Some ms have passed in which this process ran; so many bytes were written since the connection was opened. */
  elapse(milliseconds: number, writtenBytes: number): void {
    const isAwaited = this.#hasAnswered || this.#expectsAnswer;
    if (isAwaited && writtenBytes > this.#acknowledged) this.#silentFor += milliseconds;
    else this.#silentFor = 0;
  }
}
