import { playWorlds, summarize } from "./crew.js";
import { worlds, type WorldPlayed } from "./registry.js";

export interface WorldCommand {
  readonly world: string;
  readonly from: number;
  readonly to: number;
  readonly jobs: number | undefined;
  readonly quiet: boolean;
  readonly details: boolean;
  readonly without: string | undefined;
}

const VIOLATIONS_SHOWN = 4;

/** Plays a range of seeds of a world and prints one JSON line a seed and a summary; whether nothing broke. */
export async function runWorldCommand(command: WorldCommand): Promise<boolean> {
  const { world, from, to, jobs, quiet, details, without } = command;
  if (!Object.hasOwn(worlds, world))
    throw new Error(`no world is named ${world}; these are: ${Object.keys(worlds).join(", ")}`);
  const print = (played: WorldPlayed): void => {
    if (!quiet || played.violations.length > 0) printSeed(played, details);
  };
  const played = await playWorlds({ world, from, to, jobs, guard: without }, print);
  const summary = summarize(played);
  process.stdout.write(`${JSON.stringify({ ...summary, broken: summary.broken.length })}\n`);
  return summary.broken.length === 0;
}

function printSeed(played: WorldPlayed, details: boolean): void {
  const { seed, shape, violations, faults, counts, slowestRecovery, took } = played;
  const line = {
    seed,
    shape,
    violations: violations.length,
    first: violations.slice(0, VIOLATIONS_SHOWN),
    slowestRecovery: Math.round(slowestRecovery),
    took: Math.round(took),
    ...(details ? { faults, counts } : {}),
  };
  process.stdout.write(`${JSON.stringify(line)}\n`);
}
