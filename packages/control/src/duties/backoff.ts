import { constants } from "@chutewick/parts";

/** Exponential backoff with full jitter: pauses between tries of one thing. */
export class Backoff {
  readonly #random: () => number;
  #failures = 0;
  #until = Number.NEGATIVE_INFINITY;

  /** The source of chance gives numbers from 0 to 1. */
  constructor(random: () => number) {
    this.#random = random;
  }

  isOver(now: number): boolean {
    return now >= this.#until;
  }

  failed(now: number): void {
    const most = Math.min(constants.dutyPauseMost, constants.dutyPauseFirst * 2 ** this.#failures);
    this.#failures += 1;
    this.pause(constants.dutyPauseLeast + most * this.#random(), now);
  }

  /** A pause of a given length, in ms, that is no failure. */
  pause(length: number, now: number): void {
    this.#until = Math.max(this.#until, now + length);
  }

  succeeded(): void {
    this.#failures = 0;
    this.#until = Number.NEGATIVE_INFINITY;
  }
}
