import type { CampaignOptions } from "./campaign/options.js";
import type { Violation, Worst } from "./checker.js";
import { runThreads, usualJobs } from "./threads.js";

/** Plays many seeds on all processors: each play is one seeded run of its own, so the order of ending does not matter. */

/** One run that is to be played. */
export interface Play {
  readonly options: CampaignOptions;
  /** Name of the targeted fault, which strikes at the moment that matters. */
  readonly fault?: string | undefined;
}

/** What one run showed, as plain data. */
export interface Played {
  readonly options: CampaignOptions;
  readonly violations: readonly Violation[];
  /** Rules that broke. */
  readonly rules: readonly string[];
  readonly counts: Readonly<Record<string, number>>;
  readonly faults: readonly string[];
  /** How often the targeted fault struck while the rule was at stake. */
  readonly strikes: number;
  /** ms from the last fault until live work, lots and changes were all served again. */
  readonly back: number;
  readonly worst: Worst;
  readonly ms: number;
}

/** Plays all, with the named guard taken out where there is one. */
export async function playAll(
  plays: readonly Play[],
  guard?: string,
  jobs = usualJobs(),
): Promise<Played[]> {
  const results = await runThreads<Play, Played>("./player.js", plays, { guard, jobs });
  return results.sort(bySeed);
}

function bySeed(left: Played, right: Played): number {
  return left.options.seed - right.options.seed;
}

/** A play of each seed from the first to the last, with a targeted fault where one is named. */
export function seeds(
  from: number,
  to: number,
  options: Partial<CampaignOptions>,
  fault?: string,
): Play[] {
  const plays: Play[] = [];
  for (let seed = from; seed <= to; seed += 1)
    plays.push({ options: { seed, faults: true, ...options }, fault });
  return plays;
}
