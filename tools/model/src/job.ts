import { Worker } from "node:worker_threads";
import { guardRows, type GuardRow } from "./guards.js";
import type { SearchOptions } from "./search.js";
import type { Report } from "./explorer.js";

/** One exploration in a thread of its own, on the product whole or with a guard taken out. */
export interface Job extends SearchOptions {
  readonly machines: number;
  readonly start: string;
  /** Random schedules of so many steps in place of the exhaustive search; 0 for that. */
  readonly runs: number;
  readonly seed: number;
  /** A schedule to be replayed in place of a search. */
  readonly schedule?: readonly string[];
  readonly guard?: string;
  /** The one invariant that is looked at; all where it is left out. */
  readonly watched?: string;
}

export const usualJob: Job = {
  machines: 3,
  start: "formed",
  depth: 2,
  faults: 2,
  sampleEvery: 20,
  statesMost: Number.POSITIVE_INFINITY,
  runs: 0,
  seed: 1,
};

/** Random schedules on the product without one guard, until its invariant is violated. */
export function guardJob({ guard, invariant, start }: GuardRow): Job {
  return { ...usualJob, guard, start, watched: invariant, runs: 2_000, depth: 14, faults: 4 };
}

/** Runs one job; the thread loads the product anew, so a guard that is out in one is in place in others. */
export function runJob(job: Job): Promise<Report> {
  const row = guardRows.find(({ guard }) => guard === job.guard);
  if (job.guard !== undefined && row === undefined) throw new Error(`no guard "${job.guard}"`);
  const workerData = { job, cuts: row?.cuts ?? [] };
  return new Promise<Report>((resolve, reject) => {
    const worker = new Worker(new URL("./thread.js", import.meta.url), { workerData });
    worker.once("message", resolve);
    worker.once("error", reject);
  });
}
