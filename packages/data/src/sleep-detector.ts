/** Detects that this process was suspended, from an unusually long gap between two ticks (docs/design.md §7.5). */
import { constants } from "@chutewick/parts";

/** Times are in ms of the monotonic clock. */
export class SleepDetector {
  #lastObservedAt: number;
  #resumedAt = Number.NEGATIVE_INFINITY;

  /** @param lastObservedAt start of the first gap; +∞ if the first gap starts with the first observation */
  constructor(lastObservedAt: number) {
    this.#lastObservedAt = lastObservedAt;
  }

  /** Records that this process is running. */
  observe(now: number): void {
    if (now - this.#lastObservedAt > constants.minSuspensionMs) this.#resumedAt = now;
    this.#lastObservedAt = now;
  }

  /** Time since the end of the last suspension, in ms; infinite if there was none. */
  awakeFor(now: number): number {
    return now - this.#resumedAt;
  }
}
