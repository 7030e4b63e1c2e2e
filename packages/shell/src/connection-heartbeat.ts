/** Finds out, without I/O or a clock, that a connection to another process has stalled (docs/design.md §10.3). */
import { constants } from "@chutewick/parts";

/** What a connection has done with the bytes that were written to it. */
export interface ConnectionProgress {
  /** Bytes that the kernel has taken since the connection was opened. */
  readonly flushedBytes: number;
  /** Bytes that still wait in this process. */
  readonly waitingBytes: number;
}

/**
 * Heartbeats of one outgoing connection. The other side answers each on the same connection, so an answer shows that the
 * connection carries bytes in both directions. One heartbeat is awaited at a time.
 */
export class ConnectionHeartbeat {
  #sequence = 0;
  #isAwaited: boolean;
  #hasAnswered = false;
  /** ms in which this process ran, since the last heartbeat was sent. */
  #sinceSent = 0;
  /** ms in which this process ran and the connection showed no progress, while a heartbeat is awaited. */
  #silentFor = 0;
  #flushedBytes = 0;
  #wasWaiting = false;

  /** expectsAnswer: the other side is known to answer, so that an answer to the hello is awaited. */
  constructor(expectsAnswer: boolean) {
    this.#isAwaited = expectsAnswer;
  }

  /** Whether the next message should bring a heartbeat along. */
  get isDue(): boolean {
    return this.#hasAnswered && !this.#isAwaited && this.#sinceSent >= constants.heartbeatEvery;
  }

  /** Whether the other side has ever answered on this connection. */
  get hasAnswered(): boolean {
    return this.#hasAnswered;
  }

  /** Whether the connection has stalled and should be replaced. */
  get hasExpired(): boolean {
    return this.#silentFor >= constants.heartbeatPatience;
  }

  /** Whether it should have been replaced long ago: a fault of this process. */
  get isOverdue(): boolean {
    return this.#silentFor >= constants.heartbeatPatience * 2;
  }

  /** A heartbeat is sent; returns its number. */
  send(): number {
    this.#sequence += 1;
    this.#isAwaited = true;
    this.#sinceSent = 0;
    this.#silentFor = 0;
    return this.#sequence;
  }

  /** The other side has answered a heartbeat. */
  answered(sequence: number): void {
    this.#hasAnswered = true;
    if (sequence !== this.#sequence) return;
    this.#isAwaited = false;
    this.#silentFor = 0;
  }

  /**
   * Some ms have passed. A process that stood still for longer than a few beats has not yet read what came meanwhile, so
   * no more than a beat of it counts.
   */
  elapse(milliseconds: number, progress: ConnectionProgress): void {
    const counted = Math.min(milliseconds, constants.beatEvery * 2);
    this.#sinceSent += counted;
    if (this.#isAwaited) this.#silentFor += counted;
    /** A slow link that still carries what waits for it has not stalled. */
    if (this.#wasWaiting && progress.flushedBytes > this.#flushedBytes) this.#silentFor = 0;
    this.#flushedBytes = progress.flushedBytes;
    this.#wasWaiting = progress.waitingBytes > 0;
  }
}
