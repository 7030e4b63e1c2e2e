/** Notices that this process slept: its signs, which come every beat, were far apart (docs/design.md §7.5). */
import { constants } from "@chutewick/parts";

/** Moments are in ms of the monotonic clock. */
export class SleepDetector {
  #lastSignAt: number;
  #wokeAt = Number.NEGATIVE_INFINITY;

  /** lastSignAt: the moment from which the first sleep counts; +∞ where it counts from the first sign. */
  constructor(lastSignAt: number) {
    this.#lastSignAt = lastSignAt;
  }

  /** A sign that this process runs. */
  observe(now: number): void {
    if (now - this.#lastSignAt > constants.sleptLeast) this.#wokeAt = now;
    this.#lastSignAt = now;
  }

  /** ms since the last sleep ended. */
  awakeFor(now: number): number {
    return now - this.#wokeAt;
  }
}
