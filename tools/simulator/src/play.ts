import { Campaign } from "./campaign.js";
import { worst } from "./checker.js";
import type { Play, Played } from "./crew.js";

/** One seeded run, told as plain data. */
export function play({ options }: Play): Played {
  const start = performance.now();
  const { violations, counts, faults, sight, strikes } = new Campaign(options).run();
  const { live, lot, change } = sight.serviceAt;
  const never = Number.POSITIVE_INFINITY;
  const back = Math.max(live ?? never, lot ?? never, change ?? never) - sight.healedAt;
  const rules = new Set<string>();
  for (const { rule } of violations) rules.add(rule);
  return { options, violations: violations.slice(0, 20), rules: [...rules], counts, faults, strikes, back, worst: worst(sight), ms: performance.now() - start };
}
