/** Counts what must never happen, as seen by this process itself; the counts stand in its status (docs/testing.md). */
import type { Log } from "./log.js";

const counts = new Map<string, number>();
let log: Log | undefined;

/** Where violations are logged from now on. */
function reportTo(chosen: Log): void {
  log = chosen;
}

/** Something happened that must never happen: counted, and logged the first time. */
function violated(name: string, facts: Readonly<Record<string, unknown>>): void {
  const count = (counts.get(name) ?? 0) + 1;
  counts.set(name, count);
  if (count === 1) log?.error({ ...facts, invariant: name }, "an invariant is violated");
}

/** Violations since the start of the process, by the name of the invariant. */
function violations(): Record<string, number> {
  return Object.fromEntries(counts);
}

/** Forgets all counts, for tests. */
function reset(): void {
  counts.clear();
}

export const invariants = { reportTo, violated, counts: violations, reset };
