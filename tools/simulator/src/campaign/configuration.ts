import { configuration, type Configuration } from "@chutewick/control";
import type { Chance } from "../world.js";
import { USUAL_ALLOWANCE, USUAL_TOKENS, type CampaignOptions } from "./options.js";

/** The configurations that a campaign's operators enter. */

const BEGINS = "2020-01-01T00:00:00Z";
const LABELLED_BEGINS = "2021-01-01T00:00:00Z";
const ENDS = "2100-01-01T00:00:00Z";

/** A configuration that carries its order's name; with a season, one queue more in half of them. */
export function campaignConfiguration(
  options: CampaignOptions,
  chance: Chance,
  id: string,
): Configuration {
  const hasExtraQueue = options.season !== undefined && chance.happens(0.5);
  const checked = configuration.check({
    models: models(options, hasExtraQueue),
    ways: ways(options, hasExtraQueue, id),
    seasons: seasons(options),
  });
  if (!checked.ok) throw new Error(checked.reason);
  return checked.value;
}

function models(options: CampaignOptions, hasExtraQueue: boolean): object {
  const tokens = options.tokens ?? USUAL_TOKENS;
  return {
    reader: {
      adapters: hasExtraQueue ? ["customs", "extra"] : ["customs"],
      bucket: { tokens, windowSeconds: options.windowSeconds ?? 1, capacity: tokens },
      waiting: options.allowance ?? USUAL_ALLOWANCE,
    },
  };
}

function ways({ deadlineSeconds }: CampaignOptions, hasExtraQueue: boolean, id: string): object {
  return {
    check: { kind: "one-shot", model: "reader" },
    manifest: { kind: "stream", model: "reader" },
    label: { kind: "fetch" },
    slips: { kind: "lot", model: "reader", labels: { change: id }, deadlineSeconds },
    adapted: { kind: "lot", model: "reader", adapter: "customs", deadlineSeconds },
    ...(hasExtraQueue ? { extra: { kind: "lot", model: "reader", adapter: "extra" } } : {}),
  };
}

function seasons({ season, labelled }: CampaignOptions): object {
  if (season === undefined) return {};
  const flood = {
    start: BEGINS,
    end: ENDS,
    select: [{ label: "model", equals: "reader" }],
    waiting: season,
  };
  if (labelled !== true) return { flood };
  const night = {
    start: LABELLED_BEGINS,
    end: ENDS,
    select: [{ label: "shift", equals: "night" }],
    runners: [{ label: "pool", equals: "big" }],
    waiting: season / 2,
  };
  return { flood, night };
}
