import { targetedFaults } from "./targeted-faults/index.js";
import { playAll, seeds } from "./crew.js";

/** Plays each row of the proof table with its guard and without (docs/testing.md §2). */
export interface Proof {
  readonly fault: string;
  readonly guard: string;
  readonly rule: string;
  readonly seeds: number;
  readonly strikes: number;
  readonly leastStrikes: number;
  /** Breaches of any rule with the guard in place: "seed: rule: facts". */
  readonly broken: readonly string[];
  /** Seeds in which the rule broke without the guard. */
  readonly brokenWithout: number;
}

export async function prove(
  fault: string,
  guard: string,
  from: number,
  to: number,
  without: number,
): Promise<Proof> {
  const { rule, options } = targetedFaults[fault]!;
  const held = await playAll(seeds(from, to, options, fault));
  const bare = await playAll(seeds(from, from + without - 1, options, fault), guard);
  let strikes = 0;
  let leastStrikes = Number.POSITIVE_INFINITY;
  const broken: string[] = [];
  for (const one of held) {
    strikes += one.strikes;
    leastStrikes = Math.min(leastStrikes, one.strikes);
    for (const violation of one.violations)
      broken.push(`seed ${one.options.seed}: ${violation.rule}: ${violation.facts}`);
  }
  let brokenWithout = 0;
  for (const one of bare) if (one.rules.includes(rule)) brokenWithout += 1;
  return { fault, guard, rule, seeds: held.length, strikes, leastStrikes, broken, brokenWithout };
}
