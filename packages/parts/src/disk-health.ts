import { constants } from "./constants.js";

/**
 * What a machine's disk can do now (docs/design.md §10.2): `failing` refuses writes, as a full disk does; `stalled` has left a commit
 * without an answer for `constants.diskStallAfter`.
 */
export type DiskCondition = "writable" | "failing" | "stalled";

/** Judges a disk by its commits, and paces retries after failed ones. No I/O; all times in ms of a monotonic clock. */
export class DiskHealth {
  #failing = false;
  #stalled = false;
  #commitSince: number | undefined;
  #beatAt: number | undefined;
  #retryPause: number = constants.diskRetryLeast;
  #batchMost = Number.POSITIVE_INFINITY;
  #recoveredAt = Number.NEGATIVE_INFINITY;

  get condition(): DiskCondition {
    if (this.#failing) return "failing";
    return this.#stalled ? "stalled" : "writable";
  }

  /** A commit was handed to the disk. */
  began(now: number): void {
    this.#commitSince = now;
  }

  /** Writes that the next commit may hold: after a failed one the smallest write of use is tried alone, then twice as many each time. */
  get batchMost(): number {
    return this.#batchMost;
  }

  /** The commit in flight is durable; a failing disk counts as writable again once nothing is left that waited for it. */
  committed(now: number, isDrained: boolean): void {
    this.#commitSince = undefined;
    this.#stalled = false;
    if (!this.#failing) return;
    this.#batchMost *= 2;
    if (!isDrained) return;
    this.#failing = false;
    this.#batchMost = Number.POSITIVE_INFINITY;
    this.#recoveredAt = now;
  }

  /** The commit in flight failed; returns the pause in ms before the next attempt. */
  failed(now: number): number {
    this.#commitSince = undefined;
    this.#stalled = false;
    const isRelapse = now - this.#recoveredAt < constants.diskSettles;
    if (!this.#failing && !isRelapse) this.#retryPause = constants.diskRetryLeast;
    this.#failing = true;
    this.#batchMost = 1;
    const pause = this.#retryPause;
    this.#retryPause = Math.min(this.#retryPause * 2, constants.diskRetryMost);
    return pause;
  }

  /** Looks at the commit in flight. Time during which this process was not run says nothing about the disk. */
  beat(now: number): void {
    const slept = this.#beatAt !== undefined && now - this.#beatAt > constants.sleptLeast;
    this.#beatAt = now;
    if (this.#commitSince === undefined) return;
    if (slept) this.#commitSince = now;
    if (now - this.#commitSince >= constants.diskStallAfter) this.#stalled = true;
  }
}
