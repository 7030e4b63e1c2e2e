/** Caches the desired numbers of runners between planning rounds. */
import { constants } from "@chutewick/parts";
import type { ScalingOrder } from "../scaling/pool-scaler.js";
import type { ScalingFacts } from "../scaling/scaling-facts.js";
import { ScalingPlanner } from "../scaling/scaling-planner.js";
import type { ScalingDemand } from "./scaling-orders.js";

/** The orders of the planner, recomputed at intervals only, because each computation reads all sessions. */
export class PlannedScaling implements ScalingDemand {
  readonly #planner = new ScalingPlanner();
  readonly #facts: (now: number) => ScalingFacts;
  #orders: readonly ScalingOrder[] = [];
  #plannedAt = Number.NEGATIVE_INFINITY;

  constructor(facts: (now: number) => ScalingFacts) {
    this.#facts = facts;
  }

  desired(now: number): readonly ScalingOrder[] {
    if (now - this.#plannedAt < constants.scalingPlanIntervalMs) return this.#orders;
    this.#plannedAt = now;
    this.#orders = this.#planner.orders(this.#facts(now), now);
    return this.#orders;
  }
}
