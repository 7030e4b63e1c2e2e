import type { Violation } from "../checker.js";
import { playControlCut } from "./control-cut.js";
import { judge } from "./judge.js";
import { playManyChanges } from "./many-changes.js";
import { playNodeLeases } from "./node-leases.js";
import { playRacingOrders } from "./racing-orders.js";
import { playSecondLoss } from "./second-loss.js";
import type { Site } from "./site.js";
import { playWrongAnswers } from "./wrong-answers.js";

/** Named simulated worlds: each brings one kind of trouble about, as chance has it by a seed. */
export const worlds: Readonly<Record<string, (seed: number) => Site>> = {
  "control-cut": playControlCut,
  "racing-orders": playRacingOrders,
  "second-loss": playSecondLoss,
  "many-changes": playManyChanges,
  "wrong-answers": playWrongAnswers,
  "node-leases": playNodeLeases,
};

export interface WorldPlay {
  readonly world: string;
  readonly seed: number;
}

export interface WorldPlayed extends WorldPlay {
  readonly shape: string;
  readonly violations: readonly Violation[];
  readonly faults: Readonly<Record<string, number>>;
  readonly counts: Readonly<Record<string, number>>;
  /** ms. The longest recovery after all was mended. */
  readonly slowestRecovery: number;
  /** ms of real time. */
  readonly took: number;
}

const VIOLATIONS_TOLD = 20;

export function playWorld({ world, seed }: WorldPlay): WorldPlayed {
  const start = performance.now();
  const site = worlds[world]!(seed);
  const { history, shape, boundsName } = site;
  const { cores, losses, lostAtOnce } = shape;
  return {
    world,
    seed,
    shape: `${cores} cores, ${losses} tolerated, ${lostAtOnce} lost at once, ${boundsName} bounds`,
    violations: judge(history).slice(0, VIOLATIONS_TOLD),
    faults: history.faults,
    counts: history.counts,
    slowestRecovery: Math.max(0, ...history.recoveries.map(({ took }) => took)),
    took: performance.now() - start,
  };
}
