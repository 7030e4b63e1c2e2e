import { command, flag, number, option, optional, run, string } from "cmd-ts";
import { guardRows } from "./guards.js";
import { guardJob, runJob, usualJob, type Job } from "./job.js";
import type { Report } from "./explorer.js";

/** `npm run model -- --machines 3 --depth 3`: explores each start state and prints states, depth and rate. */

const STARTS = [
  "formed",
  "ordering",
  "stalled",
  "severed",
  "deposed",
  "electing",
  "pair",
  "joining",
  "rejoining",
  "retiring",
  "lone",
];

function line(
  name: string,
  job: Job,
  { states, merged, sampled, isComplete, seconds }: Report,
): string {
  const rate = Math.round(states / Math.max(seconds, 0.001));
  const how =
    job.runs > 0 ? `${job.runs} random schedules of ${job.depth} steps` : `depth ${job.depth}`;
  const end = isComplete ? "complete" : "stopped at the bound of states";
  return `${name}: ${how}, ${job.faults} faults, ${states} states, ${merged} merged, ${sampled} recoveries, ${seconds.toFixed(1)} s, ${rate} states/s, ${end}`;
}

/** Prints one report; whether nothing was found. */
function print(name: string, job: Job, report: Report): boolean {
  process.stdout.write(`${line(name, job, report)}\n`);
  const { counterexample } = report;
  if (counterexample === undefined) return true;
  const { invariant, facts, schedule } = counterexample;
  process.stdout.write(`  violated: ${invariant}: ${facts}\n`);
  for (const step of schedule) process.stdout.write(`    ${step}\n`);
  return false;
}

interface Arguments {
  readonly machines: number;
  readonly depth: number;
  readonly faults: number;
  readonly sampleEvery: number;
  readonly statesMost: number;
  readonly runs: number;
  readonly seed: number;
  readonly start: string | undefined;
  readonly table: boolean;
}

async function explore({ start, table, ...given }: Arguments): Promise<void> {
  if (table) return printTable();
  let isClean = true;
  for (const name of start === undefined ? STARTS : [start]) {
    const job: Job = { ...usualJob, ...given, start: name };
    isClean = print(name, job, await runJob(job)) && isClean;
  }
  process.exitCode = isClean ? 0 : 1;
}

/** Each guard taken out in turn: states until the checker finds its invariant violated. */
async function printTable(): Promise<void> {
  let isWhole = true;
  for (const row of guardRows) {
    const { states, counterexample, seconds } = await runJob(guardJob(row));
    if (counterexample?.invariant !== row.invariant) isWhole = false;
    const found = counterexample?.invariant === row.invariant ? String(states) : "not found";
    const schedule = counterexample?.schedule.join("; ") ?? "";
    const time = `${seconds.toFixed(1)} s`;
    const cells = [row.invariant, row.guard, row.start, found, time, schedule];
    process.stdout.write(`| ${cells.join(" | ")} |\n`);
  }
  process.exitCode = isWhole ? 0 : 1;
}

const whole = { type: number } as const;

void run(
  command({
    name: "model",
    description: "a model checker that drives the product's own state machines",
    handler: explore,
    args: {
      machines: option({ ...whole, long: "machines", defaultValue: () => 3 }),
      depth: option({ ...whole, long: "depth", defaultValue: () => 2 }),
      faults: option({ ...whole, long: "faults", defaultValue: () => 2 }),
      sampleEvery: option({ ...whole, long: "sample-every", defaultValue: () => 20 }),
      statesMost: option({ ...whole, long: "states-most", defaultValue: () => 1_000_000 }),
      runs: option({
        ...whole,
        long: "runs",
        defaultValue: () => 0,
        description: "random schedules in place of the exhaustive search",
      }),
      seed: option({ ...whole, long: "seed", defaultValue: () => 1 }),
      start: option({ type: optional(string), long: "start", description: STARTS.join(", ") }),
      table: flag({ long: "table", description: "take each guard out in turn" }),
    },
  }),
  process.argv.slice(2),
);
