/** Health of a machine's disk, judged by its commits (docs/design.md §10.2). */
import { constants } from "./constants.js";

/** `failing`: writes are refused, as by a full disk. `stalled`: a commit has not completed within the stall timeout. */
export type DiskCondition = "writable" | "failing" | "stalled";

/** Judges a disk by its commits and schedules retries after failed ones. No I/O; all times in ms of a monotonic clock. */
export class DiskHealth {
  #failing = false;
  #stalled = false;
  #commitSince: number | undefined;
  #lastTickAt: number | undefined;
  #retryDelay: number = constants.minDiskRetryMs;
  #maxBatchWrites = Number.POSITIVE_INFINITY;
  #recoveredAt = Number.NEGATIVE_INFINITY;

  get condition(): DiskCondition {
    if (this.#failing) return "failing";
    return this.#stalled ? "stalled" : "writable";
  }

  /** Records that a commit was passed to the disk. */
  commitStarted(now: number): void {
    this.#commitSince = now;
  }

  /** Maximum number of writes in the next commit: one after a failed commit, then doubled with each success. */
  get maxBatchWrites(): number {
    return this.#maxBatchWrites;
  }

  /** Records that the commit in progress is durable; a failing disk counts as writable once all waiting writes are done. */
  commitSucceeded(now: number, isDrained: boolean): void {
    this.#commitSince = undefined;
    this.#stalled = false;
    if (!this.#failing) return;
    this.#maxBatchWrites *= 2;
    if (!isDrained) return;
    this.#failing = false;
    this.#maxBatchWrites = Number.POSITIVE_INFINITY;
    this.#recoveredAt = now;
  }

  /** Records that the commit in progress failed; returns the delay in ms before the next attempt. */
  commitFailed(now: number): number {
    this.#commitSince = undefined;
    this.#stalled = false;
    const isRelapse = now - this.#recoveredAt < constants.diskSettlingMs;
    if (!this.#failing && !isRelapse) this.#retryDelay = constants.minDiskRetryMs;
    this.#failing = true;
    this.#maxBatchWrites = 1;
    const delay = this.#retryDelay;
    this.#retryDelay = Math.min(this.#retryDelay * 2, constants.maxDiskRetryMs);
    return delay;
  }

  /** Checks the commit in progress for a stall. Time in which this process was suspended does not count. */
  tick(now: number): void {
    const wasSuspended =
      this.#lastTickAt !== undefined && now - this.#lastTickAt > constants.minSuspensionMs;
    this.#lastTickAt = now;
    if (this.#commitSince === undefined) return;
    if (wasSuspended) this.#commitSince = now;
    if (now - this.#commitSince >= constants.diskStallTimeoutMs) this.#stalled = true;
  }
}
