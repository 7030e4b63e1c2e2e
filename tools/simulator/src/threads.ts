import { availableParallelism } from "node:os";
import { Worker } from "node:worker_threads";
import { guards } from "./guards.js";

/** Environment variable that bounds the threads, for a machine that is shared. */
const JOBS_VARIABLE = "SIMULATOR_JOBS";

/** Threads at most where a caller names no number: as the environment says, else one a processor. */
export function usualJobs(): number {
  const told = Number(process.env[JOBS_VARIABLE]);
  return Number.isInteger(told) && told > 0 ? told : availableParallelism();
}

/** Runs tasks of one kind on worker threads, with a guard of the product taken out where one is named. */
export interface ThreadOptions<Result> {
  /** Name of the guard that is taken out; undefined for the product as it is. */
  readonly guard?: string | undefined;
  /** Threads at most. */
  readonly jobs: number;
  /** Told of each result as it comes, in no order. */
  readonly done?: (result: Result) => void;
}

/**
 * Runs each task in a thread of the module named, which answers "ready" and then one result to each
 * task; the results in the order in which they came. Throws what a thread threw.
 */
export async function runThreads<Task, Result>(
  module: string,
  tasks: readonly Task[],
  { guard, jobs, done }: ThreadOptions<Result>,
): Promise<Result[]> {
  const cuts = guard === undefined ? [] : guards[guard]!.cuts;
  const results: Result[] = [];
  const waiting = [...tasks].reverse();
  let troubled: Error | undefined;
  function hand(worker: Worker): void {
    const task = troubled === undefined ? waiting.pop() : undefined;
    if (task === undefined) void worker.terminate();
    else worker.postMessage(task);
  }
  function work(): Promise<void> {
    const worker = new Worker(new URL(module, import.meta.url), { workerData: { cuts } });
    worker.on("message", (message: "ready" | Result) => {
      if (message !== "ready") {
        results.push(message);
        done?.(message);
      }
      hand(worker);
    });
    worker.on("error", (error: Error) => {
      troubled = error;
    });
    return new Promise((resolve) => worker.on("exit", () => resolve()));
  }
  const count = Math.min(tasks.length, jobs);
  await Promise.all(Array.from({ length: count }, work));
  if (troubled !== undefined) throw troubled;
  return results;
}
