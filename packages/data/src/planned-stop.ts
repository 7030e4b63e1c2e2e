/** Timing of a planned stop. */
import { constants } from "@chutewick/parts";

/**
 * Phases of a planned stop of a node that serves callers, without I/O (docs/design.md §8.6):
 * - `taking`: callers do not know yet that the node is not ready, so new requests are still accepted;
 * - `refusing`: new requests are rejected at once, and those accepted earlier continue;
 * - `last-answers`: the time is up, so requests in progress get their last replies;
 * - `closed`: no request is in progress, or the process is about to be killed.
 */
export type StopPhase = "taking" | "refusing" | "last-answers" | "closed";

/** Bounds of the phases, in ms after the stop began. */
export interface StopTimes {
  /** How long new requests are accepted. */
  readonly acceptsForMs: number;
  /** The node does not close earlier, even if no request is in progress. */
  readonly staysOpenForMs: number;
  /** How long requests in progress may run before they get their last replies. */
  readonly answersForMs: number;
  /** When the node closes, whatever is in progress. */
  readonly closesWithinMs: number;
}

/**
 * Bounds of the phases of a stop that may take `stopWithinMs`.
 * With `hasExternalRouter`, other systems route callers to this node and learn only later that it is not ready.
 */
export function stopTimes(stopWithinMs: number, hasExternalRouter: boolean): StopTimes {
  const answersForMs = stopWithinMs - constants.finalRepliesBeforeEndMs;
  const closesWithinMs = stopWithinMs - constants.closeBeforeEndMs;
  if (!hasExternalRouter)
    return { acceptsForMs: 0, staysOpenForMs: 0, answersForMs, closesWithinMs };
  const acceptsForMs = Math.min(
    constants.unreadyPropagationMs,
    stopWithinMs * constants.stopAcceptFraction,
  );
  const staysOpenForMs = Math.min(acceptsForMs + constants.minRefusalMs, answersForMs);
  return { acceptsForMs, staysOpenForMs, answersForMs, closesWithinMs };
}

/** One planned stop; it never returns to an earlier phase. */
export class PlannedStop {
  readonly #times: StopTimes;
  readonly #startedAt: number;
  #phase: StopPhase = "taking";

  constructor(times: StopTimes, now: number) {
    this.#times = times;
    this.#startedAt = now;
  }

  /** The phase after the last call of `advance`. */
  get phase(): StopPhase {
    return this.#phase;
  }

  /** Moves on to the phase due now. `inProgress` is the number of unfinished requests and calls. */
  advance(now: number, inProgress: number): StopPhase {
    const elapsedMs = now - this.#startedAt;
    const { acceptsForMs, staysOpenForMs, answersForMs, closesWithinMs } = this.#times;
    if (this.#phase === "closed" || elapsedMs < acceptsForMs) return this.#phase;
    if (elapsedMs >= closesWithinMs) this.#phase = "closed";
    else if (this.#phase === "taking") this.#phase = "refusing";
    // Requests that arrive at the change of phase are counted at the next call.
    else if (inProgress === 0 && elapsedMs >= staysOpenForMs) this.#phase = "closed";
    else if (elapsedMs >= answersForMs) this.#phase = "last-answers";
    return this.#phase;
  }
}
