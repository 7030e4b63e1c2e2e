import fc from "fast-check";
import { apply } from "./actions.js";
import { format, type Action } from "./schedule.js";
import { enabledActions, isFault } from "./enabled.js";
import type { Violation } from "./history.js";
import { checkRecovery } from "./liveness.js";
import { forgetLosses, type Counterexample, type SearchResult } from "./search.js";
import type { World } from "./world.js";

/** Random schedules of bounded length, the same for the same seed; fast-check shortens what fails. */
export interface RandomOptions {
  readonly runs: number;
  readonly seed: number;
  /** Steps of one schedule. */
  readonly depth: number;
  readonly faults: number;
}

/** Choices are taken from the enabled actions by the remainder. */
const CHOICES = 1 << 16;

interface Walk {
  readonly schedule: readonly string[];
  readonly violation: Violation | undefined;
}

export function searchAtRandom(start: World, options: RandomOptions): SearchResult {
  const choices = fc.array(fc.nat({ max: CHOICES }), {
    minLength: options.depth,
    maxLength: options.depth,
    size: "max",
  });
  let steps = 0;
  let found: Counterexample | undefined;
  const property = fc.property(choices, (numbers) => {
    const { schedule, violation } = walk(start, numbers, options.faults);
    steps += schedule.length;
    if (violation !== undefined) found = { ...violation, schedule };
    return violation === undefined;
  });
  const { runs, seed } = options;
  const { numRuns } = fc.check(property, { numRuns: runs, seed, endOnFailure: true });
  return { states: steps, sampled: numRuns, merged: 0, isComplete: true, counterexample: found };
}

function walk(start: World, numbers: readonly number[], faultsMost: number): Walk {
  const world = start.fork();
  const schedule: string[] = [];
  let faults = 0;
  for (const number of numbers) {
    const action = choose(enabledActions(world), number, faults < faultsMost);
    if (isFault(action)) faults += 1;
    schedule.push(format(action));
    apply(world, action);
    forgetLosses(world);
    if (world.history.violation !== undefined)
      return { schedule, violation: world.history.violation };
  }
  return { schedule, violation: checkRecovery(world) };
}

/** First a kind of action, so that many messages under way do not crowd out the rest; then one of that kind. */
function choose(enabled: readonly Action[], number: number, withFaults: boolean): Action {
  const allowed = withFaults ? enabled : enabled.filter((action) => !isFault(action));
  const kinds = [...new Set(allowed.map(({ kind }) => kind))];
  const kind = kinds[number % kinds.length]!;
  const ofKind = allowed.filter((action) => action.kind === kind);
  return ofKind[Math.floor(number / kinds.length) % ofKind.length]!;
}
