import type { Job } from "./job.js";
import { searchAtRandom } from "./random.js";
import { Search, type Counterexample, type SearchResult } from "./search.js";
import { replay, shorten } from "./shrink.js";
import { setupOf, startState } from "./start.js";
import type { World } from "./world.js";

/** What one exploration found. */
export interface Report extends SearchResult {
  readonly seconds: number;
}

export function explore(job: Job): Report {
  const start = startState(setupOf(job.machines), job.start, job.watched);
  const began = performance.now();
  const result = resultOf(job, start);
  const seconds = (performance.now() - began) / 1_000;
  const { counterexample } = result;
  return {
    ...result,
    seconds,
    counterexample: counterexample === undefined ? undefined : shorten(start, counterexample),
  };
}

function resultOf(job: Job, start: World): SearchResult {
  if (job.schedule !== undefined) return replayed(start, job.schedule);
  return job.runs > 0 ? searchAtRandom(start, job) : new Search(job).run(start);
}

function replayed(start: World, schedule: readonly string[]): SearchResult {
  const violation = replay(start, schedule);
  const counterexample: Counterexample | undefined =
    violation === undefined ? undefined : { ...violation, schedule };
  return { states: schedule.length, sampled: 1, merged: 0, isComplete: true, counterexample };
}
