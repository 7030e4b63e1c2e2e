import { runThreads, usualJobs } from "../threads.js";
import type { WorldPlay, WorldPlayed } from "./registry.js";

export interface WorldRange {
  readonly world: string;
  readonly from: number;
  readonly to: number;
  /** Threads at most; as many as there are processors where not told. */
  readonly jobs?: number | undefined;
  /** A guard of the product that is taken out. */
  readonly guard?: string | undefined;
}

/** What a range of seeds of one world showed, added up. */
export interface WorldSummary {
  readonly world: string;
  readonly from: number;
  readonly to: number;
  /** How often each kind of fault was played. */
  readonly faults: Readonly<Record<string, number>>;
  /** Seeds in which a rule broke. */
  readonly broken: readonly number[];
  /** Rules that broke, with the number of seeds in which they did. */
  readonly rules: Readonly<Record<string, number>>;
  /** ms. The slowest recovery, and its seed. */
  readonly slowestRecovery: number;
  readonly slowestSeed: number;
}

/** Plays each seed of a range in threads of its own; the result is the same however many there are. */
export async function playWorlds(
  { world, from, to, jobs = usualJobs(), guard }: WorldRange,
  done?: (played: WorldPlayed) => void,
): Promise<WorldPlayed[]> {
  const plays: WorldPlay[] = [];
  for (let seed = from; seed <= to; seed += 1) plays.push({ world, seed });
  const options = { guard, jobs, ...(done === undefined ? {} : { done }) };
  const played = await runThreads<WorldPlay, WorldPlayed>("./worlds/player.js", plays, options);
  return played.sort((left, right) => left.seed - right.seed);
}

export function summarize(played: readonly WorldPlayed[]): WorldSummary {
  const faults: Record<string, number> = {};
  const rules: Record<string, number> = {};
  for (const one of played) {
    for (const [kind, count] of Object.entries(one.faults))
      faults[kind] = (faults[kind] ?? 0) + count;
    for (const rule of new Set(one.violations.map((violation) => violation.rule)))
      rules[rule] = (rules[rule] ?? 0) + 1;
  }
  const slowest = played.reduce((left, right) =>
    right.slowestRecovery > left.slowestRecovery ? right : left,
  );
  return {
    world: slowest.world,
    from: played[0]!.seed,
    to: played.at(-1)!.seed,
    faults,
    broken: played.filter(({ violations }) => violations.length > 0).map(({ seed }) => seed),
    rules,
    slowestRecovery: Math.round(slowest.slowestRecovery),
    slowestSeed: slowest.seed,
  };
}
