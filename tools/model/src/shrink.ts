import { apply } from "./actions.js";
import { parse } from "./schedule.js";
import type { Violation } from "./history.js";
import { checkRecovery } from "./liveness.js";
import { forgetLosses, type Counterexample } from "./search.js";
import type { World } from "./world.js";

/** Replays schedules and takes out of a counterexample what it does not need. */

/** What a schedule violates; where asked for, the group must also come back after its last step. */
export function replay(
  start: World,
  schedule: readonly string[],
  withRecovery = true,
): Violation | undefined {
  const world = start.fork();
  for (const line of schedule) {
    apply(world, parse(line));
    if (world.history.violation !== undefined) return world.history.violation;
    forgetLosses(world);
  }
  return withRecovery ? checkRecovery(world) : undefined;
}

/** The same violation with as few actions as can be: one after another is left out, until none can be. */
export function shorten(start: World, found: Counterexample): Counterexample {
  const withRecovery = replay(start, found.schedule, false) === undefined;
  let best = found;
  for (let index = 0; index < best.schedule.length;) {
    const schedule = best.schedule.filter((_line, place) => place !== index);
    const violation = replay(start, schedule, withRecovery);
    if (violation?.invariant === found.invariant) {
      best = { ...violation, schedule };
      index = 0;
    } else index += 1;
  }
  return best;
}
