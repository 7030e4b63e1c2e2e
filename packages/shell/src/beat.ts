import { constants } from "@chutewick/parts";
import { metrics } from "./metrics.js";

/** The beat of a process: monotonic time for cores, wall time for seasons alone (docs/design.md §10.5). */
export class Beat {
  #handle: NodeJS.Timeout | undefined;

  start(strike: (now: number) => void): void {
    let due = performance.now() + constants.beatEvery;
    function beat(): void {
      const now = performance.now();
      metrics.beatCame(now - due);
      due = now + constants.beatEvery;
      strike(now);
    }
    this.#handle = setInterval(beat, constants.beatEvery);
  }

  stop(): void {
    clearInterval(this.#handle);
  }
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
