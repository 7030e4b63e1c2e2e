import { constants } from "@chutewick/parts";

/** Exponential backoff with full jitter between the attempts of one operation. */
export class Backoff {
  readonly #random: () => number;
  #failures = 0;
  #until = Number.NEGATIVE_INFINITY;

  /** @param random yields numbers from 0 to 1 */
  constructor(random: () => number) {
    this.#random = random;
  }

  isOver(now: number): boolean {
    return now >= this.#until;
  }

  failed(now: number): void {
    const maxPause = Math.min(
      constants.maxDutyRetryMs,
      constants.maxFirstDutyRetryMs * 2 ** this.#failures,
    );
    this.#failures += 1;
    this.pause(constants.minDutyRetryMs + maxPause * this.#random(), now);
  }

  /** Pauses for a number of ms without counting a failure. */
  pause(durationMs: number, now: number): void {
    this.#until = Math.max(this.#until, now + durationMs);
  }

  succeeded(): void {
    this.#failures = 0;
    this.#until = Number.NEGATIVE_INFINITY;
  }
}
