import { command, flag, number, option, optional, run, string } from "cmd-ts";
import type { CampaignOptions } from "./campaign/options.js";
import { playAll, seeds } from "./crew.js";
import { runWorldCommand } from "./worlds/command.js";

/** What the command line gave. */
interface Given {
  readonly from: number;
  readonly to: number;
  readonly stormy: number;
  readonly calm: number;
  readonly calmOnly: boolean;
  readonly details: boolean;
  readonly quiet: boolean;
  readonly losses: boolean;
  readonly twoLost: boolean;
  readonly allowance: number;
  readonly tokens: number;
  readonly season: number | undefined;
  readonly access: number | undefined;
  readonly jobs: number | undefined;
  readonly racing: number | undefined;
  readonly lostAnswers: number;
  readonly world: string | undefined;
  readonly without: string | undefined;
}

/** A firm's size, as in features/storm.feature, with so many access nodes. */
function firmSize(access: number) {
  return {
    access,
    modelRunners: 13,
    plainRunners: 3,
    seats: 8,
    requestEvery: [4, 20],
  } satisfies Partial<CampaignOptions>;
}

/** Storms of losses on disks as slow as the slowest of the deployments. */
const lossOptions = { losses: true, syncTakes: [5, 12] } satisfies Partial<CampaignOptions>;

/**
 * The options of each campaign. A spread is not checked for unknown names, so each object that is
 * spread here is checked by itself.
 */
function campaignOptions(given: Given): Partial<CampaignOptions> {
  const { stormy, calm, allowance, tokens, season, twoLost, racing, lostAnswers } = given;
  return {
    faults: !given.calmOnly,
    stormy,
    calm,
    allowance,
    tokens,
    season,
    ...(given.access === undefined ? {} : firmSize(given.access)),
    twoLost,
    racing: racing === undefined ? undefined : { operators: racing, lostAnswers },
    ...(given.losses ? lossOptions : {}),
  } satisfies Partial<CampaignOptions>;
}

/** `npm run simulator -- --from 1 --to 100` */
async function play(given: Given): Promise<void> {
  const { world } = given;
  if (world !== undefined) {
    const held = await runWorldCommand({ ...given, world });
    process.exit(held ? 0 : 1);
  }
  let broken = 0;
  const recovery: number[] = [];
  for (const played of await playAll(
    seeds(given.from, given.to, campaignOptions(given)),
    undefined,
    given.jobs,
  )) {
    recovery.push(played.back);
    if (given.quiet && played.violations.length === 0) continue;
    if (played.violations.length > 0) broken += 1;
    process.stdout.write(
      `${JSON.stringify({ seed: played.options.seed, violations: played.violations.length, first: played.violations.slice(0, 4), back: Math.round(played.back), worst: played.worst, ms: Math.round(played.ms), ...(given.details ? { counts: played.counts, faults: played.faults } : {}) })}\n`,
    );
  }
  recovery.sort(ascending);
  process.stdout.write(
    `${JSON.stringify({ seeds: recovery.length, broken, backMedian: Math.round(recovery[recovery.length >> 1]!), backMost: Math.round(recovery.at(-1)!) })}\n`,
  );
  process.exit(broken === 0 ? 0 : 1);
}

function ascending(left: number, right: number): number {
  return left - right;
}
function one(): number {
  return 1;
}
function ten(): number {
  return 10;
}
function stormyUsual(): number {
  return 30_000;
}
function calmUsual(): number {
  return 26_000;
}
function lostAnswersUsual(): number {
  return 0.7;
}
function tokensUsual(): number {
  return 40;
}
function allowanceUsual(): number {
  return 1_000;
}

void run(
  command({
    name: "simulator",
    description: "the fleet's own machines under virtual time, faults and a checker",
    handler: play,
    args: {
      from: option({ type: number, long: "from", defaultValue: one }),
      to: option({ type: number, long: "to", defaultValue: ten }),
      stormy: option({
        type: number,
        long: "stormy",
        defaultValue: stormyUsual,
        description: "ms with faults",
      }),
      calm: option({
        type: number,
        long: "calm",
        defaultValue: calmUsual,
        description: "ms after mending",
      }),
      calmOnly: flag({ long: "calm-only" }),
      details: flag({ long: "details" }),
      losses: flag({
        long: "losses",
        description: "storms of losses, on disks of 5 to 12 ms a sync",
      }),
      twoLost: flag({ long: "two-lost", description: "two machines may be lost at once" }),
      quiet: flag({ long: "quiet", description: "tell only seeds that broke a rule" }),
      allowance: option({ type: number, long: "allowance", defaultValue: allowanceUsual }),
      tokens: option({ type: number, long: "tokens", defaultValue: tokensUsual }),
      access: option({
        type: optional(number),
        long: "access",
        description: "access nodes, with the firms' 13 and 3 runners: 7 or 9",
      }),
      world: option({
        type: optional(string),
        long: "world",
        description: "a named world in place of the usual storms (docs/testing.md)",
      }),
      without: option({
        type: optional(string),
        long: "without",
        description: "of a world: a guard that is taken out of the product",
      }),
      jobs: option({ type: optional(number), long: "jobs", description: "seeds played at once" }),
      racing: option({
        type: optional(number),
        long: "racing",
        description: "operators who race each other beside the usual ones",
      }),
      lostAnswers: option({
        type: number,
        long: "lost-answers",
        defaultValue: lostAnswersUsual,
        description: "share of the racing operators' answers that are lost",
      }),
      season: option({
        type: optional(number),
        long: "season",
        description: "waiting items a season over all queues allows",
      }),
    },
  }),
  process.argv.slice(2),
);
