import { SWAPPED_FAULT, targetedFaults } from "./targeted-faults/index.js";
import { Campaign } from "./campaign/campaign.js";
import type { CampaignResult } from "./campaign/options.js";
import { worst, type Worst } from "./checker.js";
import type { Play, Played } from "./crew.js";
import { playSwapped } from "./swapped.js";

const SWAPPED_REQUESTS = 20;
/** Violations told of one run at most. */
const VIOLATIONS_TOLD = 20;
/** What a run without a fleet has for the worst delays. */
const NO_WORST: Worst = {
  goodbyeConfirmed: -1,
  goodbyeHeard: -1,
  change: -1,
  cancel: -1,
  cancelAsked: -1,
};

/** One seeded run, told as plain data. */
export async function play({ options, fault }: Play): Promise<Played> {
  const start = performance.now();
  const shown =
    fault === SWAPPED_FAULT
      ? await swapped()
      : campaignShown(
          new Campaign(options).run(fault === undefined ? undefined : targetedFaults[fault]!),
        );
  return { options, ...shown, ms: performance.now() - start };
}

type Shown = Omit<Played, "options" | "ms">;

async function swapped(): Promise<Shown> {
  const { violations, strikes } = await playSwapped(SWAPPED_REQUESTS);
  const rules = violations.length > 0 ? ["someone-elses"] : [];
  return { violations, rules, counts: {}, faults: [], strikes, back: 0, worst: NO_WORST };
}

function campaignShown({ violations, counts, faults, sight, strikes }: CampaignResult): Shown {
  const { live, lot, change } = sight.serviceAt;
  const never = Number.POSITIVE_INFINITY;
  const back = Math.max(live ?? never, lot ?? never, change ?? never) - sight.healedAt;
  const rules = new Set<string>();
  for (const { rule } of violations) rules.add(rule);
  return {
    violations: violations.slice(0, VIOLATIONS_TOLD),
    rules: [...rules],
    counts,
    faults,
    strikes,
    back,
    worst: worst(sight),
  };
}
