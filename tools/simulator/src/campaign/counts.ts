import type { Fleet } from "./fleet.js";
import type { Sight } from "../checker.js";

/** ms from when control is away until leases would have run out. */
const LEASES_RUN_OUT = 2_000;

/** Virtual times, in ms, between which control was out of reach. */
export interface AwaySpan {
  readonly from: number;
  readonly to: number;
}

type Counts = Record<string, number>;

/** What a run met and how it ended, counted by name. */
export function countsOf({ world, sight, faults }: Fleet, awaySpans: readonly AwaySpan[]): Counts {
  const counts: Counts = {
    events: world.events,
    messages: world.messages,
    runs: sight.runs.length,
    inquiries: sight.inquiries.length,
    lots: sight.lots.length,
    changes: sight.changes.length,
    faults: faults.length,
  };
  for (const span of awaySpans) countAway(counts, sight, span);
  for (const { told } of sight.inquiries) count(counts, `inquiry ${told ?? "nothing"}`);
  countWaits(counts, sight);
  for (const { told } of sight.changes) count(counts, `change ${told ?? "nothing"}`);
  return counts;
}

function count(counts: Counts, name: string): void {
  counts[name] = (counts[name] ?? 0) + 1;
}

function countAway(counts: Counts, sight: Sight, { from, to }: AwaySpan): void {
  for (const { askedAt, told } of sight.inquiries) {
    if (askedAt < from + LEASES_RUN_OUT || askedAt > to) continue;
    count(counts, `away ${told === "not-run" || told === "done" ? told : "other"}`);
  }
}

/** Tries made as soon as a refusal's wait had passed. */
function countWaits(counts: Counts, { lots }: Sight): void {
  for (const { tries } of lots)
    for (const [place, told] of tries.entries())
      if (tries[place - 1] === "refused") count(counts, `lot waited, then ${told}`);
}
