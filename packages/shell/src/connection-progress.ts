/** Detects, without I/O or a clock, that a connection to another process has stalled (docs/design.md §10.3). */
import { constants } from "@chutewick/parts";

/**
 * Progress of one outgoing connection. The other side acknowledges how many bytes it has received, so an acknowledgement shows
 * that bytes pass in both directions, however slowly.
 */
export class ConnectionProgress {
  readonly #expectsAnswer: boolean;
  #hasAnswered = false;
  #acknowledgedBytes = 0;
  /** Time in ms in which this process was running with unacknowledged bytes, since the acknowledged count last increased. */
  #unacknowledgedMs = 0;

  /** `expectsAnswer`: the other side is known to send acknowledgements; earlier releases do not. */
  constructor(expectsAnswer: boolean) {
    this.#expectsAnswer = expectsAnswer;
  }

  /** Whether the other side has acknowledged anything on this connection. */
  get hasAnswered(): boolean {
    return this.#hasAnswered;
  }

  /** Whether the connection has stalled and should be replaced. */
  get hasStalled(): boolean {
    return this.#unacknowledgedMs >= constants.acknowledgementTimeoutMs;
  }

  /** Records that the other side has received so many bytes since the connection was opened. */
  acknowledged(bytes: number): void {
    this.#hasAnswered = true;
    if (bytes <= this.#acknowledgedBytes) return;
    this.#acknowledgedBytes = bytes;
    this.#unacknowledgedMs = 0;
  }

  /** Records that this process was running for some time; `writtenBytes` counts from the opening of the connection. */
  elapse(milliseconds: number, writtenBytes: number): void {
    const isAwaited = this.#hasAnswered || this.#expectsAnswer;
    if (isAwaited && writtenBytes > this.#acknowledgedBytes) this.#unacknowledgedMs += milliseconds;
    else this.#unacknowledgedMs = 0;
  }
}
