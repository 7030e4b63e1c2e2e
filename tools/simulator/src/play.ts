import { Campaign } from "./campaign.js";
import { worst } from "./checker.js";
import type { Play, Played } from "./crew.js";
import { playSwapped } from "./swapped.js";

/** One seeded run, told as plain data. */
export async function play({ options }: Play): Promise<Played> {
  const start = performance.now();
  if (options.aim === "runners answer for another") {
    const { violations, strikes } = await playSwapped(20);
    const none = {
      goodbyeConfirmed: -1,
      goodbyeHeard: -1,
      change: -1,
      cancel: -1,
      cancelAsked: -1,
    };
    return {
      options,
      violations,
      rules: violations.length > 0 ? ["someone-elses"] : [],
      counts: {},
      faults: [],
      strikes,
      back: 0,
      worst: none,
      ms: performance.now() - start,
    };
  }
  const { violations, counts, faults, sight, strikes } = new Campaign(options).run();
  const { live, lot, change } = sight.serviceAt;
  const never = Number.POSITIVE_INFINITY;
  const back = Math.max(live ?? never, lot ?? never, change ?? never) - sight.healedAt;
  const rules = new Set<string>();
  for (const { rule } of violations) rules.add(rule);
  return {
    options,
    violations: violations.slice(0, 20),
    rules: [...rules],
    counts,
    faults,
    strikes,
    back,
    worst: worst(sight),
    ms: performance.now() - start,
  };
}
