import { availableParallelism } from "node:os";
import { Worker } from "node:worker_threads";
import type { CampaignOptions } from "./campaign.js";
import type { Violation, Worst } from "./checker.js";
import { guards } from "./guards.js";

/** Plays many seeds on all processors: each play is one seeded run of its own, so the order of ending does not matter. */
export interface Play {
  readonly options: CampaignOptions;
}

export interface Played {
  readonly options: CampaignOptions;
  readonly violations: readonly Violation[];
  /** Rules that broke. */
  readonly rules: readonly string[];
  readonly counts: Readonly<Record<string, number>>;
  readonly faults: readonly string[];
  /** How often the fault that was aimed struck while the rule was at stake. */
  readonly strikes: number;
  /** ms from the last fault until live work, lots and changes were all served again. */
  readonly back: number;
  readonly worst: Worst;
  readonly ms: number;
}

interface Ready {
  readonly worker: Worker;
}

/** Plays all, with the named guard taken out where there is one. */
export async function playAll(
  plays: readonly Play[],
  guard?: string,
  jobs = availableParallelism(),
): Promise<Played[]> {
  const cuts = guard === undefined ? [] : guards[guard]!.cuts;
  const results: Played[] = [];
  let next = 0;
  let troubled: Error | undefined;
  function hand({ worker }: Ready): void {
    if (next >= plays.length || troubled !== undefined) void worker.terminate();
    else {
      worker.postMessage(plays[next]);
      next += 1;
    }
  }
  function work(): Promise<void> {
    function started(resolve: () => void): void {
      const worker = new Worker(new URL("./player.js", import.meta.url), { workerData: { cuts } });
      function told(message: "ready" | Played): void {
        if (message !== "ready") results.push(message);
        hand({ worker });
      }
      function failed(error: Error): void {
        troubled = error;
      }
      worker.on("message", told);
      worker.on("error", failed);
      worker.on("exit", resolve);
    }
    return new Promise<void>(started);
  }
  const threads: Promise<void>[] = [];
  for (let number = 0; number < Math.min(plays.length, jobs); number += 1) threads.push(work());
  await Promise.all(threads);
  if (troubled !== undefined) throw troubled;
  results.sort(bySeed);
  return results;
}

function bySeed(left: Played, right: Played): number {
  return left.options.seed - right.options.seed;
}

export function seeds(from: number, to: number, options: Partial<CampaignOptions>): Play[] {
  const plays: Play[] = [];
  for (let seed = from; seed <= to; seed += 1)
    plays.push({ options: { seed, faults: true, ...options } });
  return plays;
}
