/** Counts violations of invariants that this process detects; its status reports the counts (docs/testing.md). */
import type { Log } from "./log.js";

const counts = new Map<string, number>();
let log: Log | undefined;

/** Sets the log to which violations are reported. */
function reportTo(target: Log): void {
  log = target;
}

/** Counts a violation of an invariant, and logs the first one of each name. */
function violated(name: string, facts: Readonly<Record<string, unknown>>): void {
  const count = (counts.get(name) ?? 0) + 1;
  counts.set(name, count);
  if (count === 1) log?.error({ ...facts, invariant: name }, "an invariant is violated");
}

/** Violations since the start of the process, by the name of the invariant. */
function violations(): Record<string, number> {
  return Object.fromEntries(counts);
}

/** Resets all counts, for tests. */
function reset(): void {
  counts.clear();
}

export const invariants = { reportTo, violated, counts: violations, reset };
