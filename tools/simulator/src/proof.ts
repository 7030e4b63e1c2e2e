import { targetedFaults } from "./targeted-faults/index.js";
import { playAll, seeds, type Played } from "./crew.js";

/** Plays each row of the proof table with its guard and without (docs/testing.md §2). */

/** What a row showed. */
export interface Proof {
  readonly fault: string;
  readonly guard: string;
  readonly rule: string;
  readonly seeds: number;
  readonly strikes: number;
  readonly leastStrikes: number;
  /** Breaches of any rule with the guard in place, and alarms that were not raised: "seed: rule: facts". */
  readonly broken: readonly string[];
  /** Seeds in which the rule broke without the guard. */
  readonly brokenWithout: number;
}

/** A row of the table, and the seeds that are played. */
export interface ProofOptions {
  readonly fault: string;
  readonly guard: string;
  /** The first and the last seed with the guard. */
  readonly from: number;
  readonly to: number;
  /** Seeds without it, from the first on. */
  readonly without: number;
}

/** Plays one row with its guard, and without it. */
export async function prove({ fault, guard, from, to, without }: ProofOptions): Promise<Proof> {
  const { rule, alarm, options } = targetedFaults[fault]!;
  const held = await playAll(seeds(from, to, options, fault));
  const bare = await playAll(seeds(from, from + without - 1, options, fault), guard);
  let strikes = 0;
  let leastStrikes = Number.POSITIVE_INFINITY;
  const broken: string[] = [];
  for (const one of held) {
    strikes += one.strikes;
    leastStrikes = Math.min(leastStrikes, one.strikes);
    broken.push(...breachesOf(one, alarm));
  }
  let brokenWithout = 0;
  for (const one of bare) if (one.rules.includes(rule)) brokenWithout += 1;
  return { fault, guard, rule, seeds: held.length, strikes, leastStrikes, broken, brokenWithout };
}

/** Violations of one run, and an alarm that was not raised in it. alarm: the invariant that the fault itself breaks. */
export function breachesOf({ options, violations }: Played, alarm: string | undefined): string[] {
  const breaches: string[] = [];
  for (const { rule, facts } of violations)
    if (rule !== alarm) breaches.push(`seed ${options.seed}: ${rule}: ${facts}`);
  if (alarm !== undefined && breaches.length === violations.length)
    breaches.push(`seed ${options.seed}: ${alarm} was not counted`);
  return breaches;
}
