import { constants } from "@chutewick/parts";

/**
 * Phases of a planned stop of a node that answers callers, without I/O (docs/design.md §8.6):
 * - `taking`: callers do not know yet that it is not ready, and are served;
 * - `refusing`: new requests are refused at once, those taken before go on;
 * - `last-answers`: time is up, so those under way get their last answers;
 * - `closed`: nothing is under way, or the process would be killed soon.
 */
export type StopPhase = "taking" | "refusing" | "last-answers" | "closed";

/** Bounds of the phases, in ms after the stop began. */
export interface StopTimes {
  readonly takesFor: number;
  /** Until when it does not close, though nothing is under way. */
  readonly staysFor: number;
  readonly answersFor: number;
  readonly closesWithin: number;
}

/** stopWithin in ms; `hasCallersElsewhere`: others send callers here, and learn only later that this node is not ready. */
export function stopTimes(stopWithin: number, hasCallersElsewhere: boolean): StopTimes {
  const answersFor = stopWithin - constants.lastAnswersBefore;
  const closesWithin = stopWithin - constants.closeBefore;
  if (!hasCallersElsewhere) return { takesFor: 0, staysFor: 0, answersFor, closesWithin };
  const takesFor = Math.min(constants.unreadyLasts, stopWithin * constants.stopTakesPart);
  const staysFor = Math.min(takesFor + constants.refusesLeast, answersFor);
  return { takesFor, staysFor, answersFor, closesWithin };
}

/** One planned stop; a phase is never gone back to. */
export class PlannedStop {
  readonly #times: StopTimes;
  readonly #begunAt: number;
  #phase: StopPhase = "taking";

  constructor(times: StopTimes, now: number) {
    this.#times = times;
    this.#begunAt = now;
  }

  get phase(): StopPhase {
    return this.#phase;
  }

  /** underWay: requests and calls that are not finished. */
  advance(now: number, underWay: number): StopPhase {
    const passed = now - this.#begunAt;
    const { takesFor, staysFor, answersFor, closesWithin } = this.#times;
    if (this.#phase === "closed" || passed < takesFor) return this.#phase;
    if (passed >= closesWithin) this.#phase = "closed";
    else if (this.#phase === "taking") this.#phase = "refusing";
    /** What comes at the turn of the phase is seen at the next look. */
    else if (underWay === 0 && passed >= staysFor) this.#phase = "closed";
    else if (passed >= answersFor) this.#phase = "last-answers";
    return this.#phase;
  }
}
