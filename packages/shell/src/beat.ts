import { constants } from "@chutewick/parts";
import { metrics } from "./metrics.js";

/** How often a process that may rest between beats is given one: usually, and while nothing is under way in it. */
export interface BeatPace {
  /** Whether nothing that has a deadline is under way. */
  readonly isIdle: () => boolean;
}

const alwaysBusy: BeatPace = { isIdle: () => false };

/** The beat of a process: monotonic time for cores, wall time for seasons alone (docs/design.md §10.5). */
export class Beat {
  readonly #pace: BeatPace;
  #strike: (now: number) => void = nothing;
  #handle: NodeJS.Timeout | undefined;
  #isResting = false;
  /** ms, monotonic. */
  #due = 0;

  /** Without a pace each beat comes after the usual time. */
  constructor(pace: BeatPace = alwaysBusy) {
    this.#pace = pace;
  }

  start(strike: (now: number) => void): void {
    this.#strike = strike;
    this.#schedule(constants.beatEvery);
  }

  stop(): void {
    clearTimeout(this.#handle);
  }

  /** Something may have begun: if so, the next beat comes after the usual time from now at the latest. */
  hasten(): void {
    if (this.#isResting && !this.#pace.isIdle()) this.#schedule(constants.beatEvery);
  }

  #schedule(after: number): void {
    clearTimeout(this.#handle);
    this.#isResting = after > constants.beatEvery;
    this.#due = performance.now() + after;
    const beat = (): void => this.#beat();
    this.#handle = setTimeout(beat, after);
  }

  #beat(): void {
    const now = performance.now();
    metrics.beatCame(now - this.#due);
    /** First, since the beat may stop it. */
    this.#schedule(this.#pace.isIdle() ? constants.idleBeatEvery : constants.beatEvery);
    this.#strike(now);
  }
}

function nothing(): void {
  // Until it is started.
}

export function monotonic(): number {
  return performance.now();
}

/** Looks with each beat until something holds. */
export function settled(holds: () => boolean): Promise<void> {
  function begin(resolve: () => void): void {
    function look(): void {
      if (!holds()) return;
      clearInterval(handle);
      resolve();
    }
    const handle = setInterval(look, constants.beatEvery);
  }
  return new Promise<void>(begin);
}
