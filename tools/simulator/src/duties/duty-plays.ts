import { runThreads, usualJobs } from "../threads.js";
import type { DutyPlay, DutyPlayed } from "./duty-rounds.js";

/** Plays the model of duties for each seed, with a guard of the product taken out where one is named. */
export function playDutySeeds(first: number, last: number, guard?: string): Promise<DutyPlayed[]> {
  const plays: DutyPlay[] = [];
  for (let seed = first; seed <= last; seed += 1) plays.push({ seed });
  return runThreads<DutyPlay, DutyPlayed>("./duties/duty-player.js", plays, {
    guard,
    jobs: usualJobs(),
  });
}
