import type { Campaign } from "../campaign/campaign.js";
import type { Manner } from "../runners.js";

/** Targeted faults of runners and of the links to them (docs/testing.md §2). */

/** ms. When the last runner's links begin to break. */
const LAST_LINKS_BREAK_AT = 9_000;
/** ms. When all model runners die, how long they stay away, and between two counts of what waits. */
const RUNNERS_DIE_AT = [9_000, 13_000, 17_000];
const RUNNERS_AWAY = 1_500;
const COUNTS_FROM = 8_000;
const COUNT_EVERY = 100;
/** ms. Between which one node cannot reach the model runners. */
const CUT_FROM = 9_000;
const CUT_UNTIL = 15_000;
/** ms from the cut until what lots' prompts begin is counted. */
const COUNTED_AFTER = 500;
/**
 * Prompts of lots that begin meanwhile at least: seats are free, so lots must go on, for 5.5 s at 10 a
 * second from each of two queues, with a tenth and more to spare.
 */
const BEGUN_LEAST = 50;

/** Changes how all runners behave. */
export function changeManner(campaign: Campaign, change: Partial<Manner>): void {
  for (const runner of campaign.runners) runner.manner = { ...runner.manner, ...change };
}

/** Links to runners break right after the first byte, again and again. */
export function breakLinks(campaign: Campaign): void {
  changeManner(campaign, { tear: 0.3 });
}

/** Live runs whose link broke. */
export function countTornLive(campaign: Campaign): number {
  let count = 0;
  for (const run of campaign.sight.runs)
    if (run.ending === "torn" && typeof run.prompt === "string") count += 1;
  return count;
}

/** One model runner is left, and its links break: there is no other to try. */
export function breakLastLinks(campaign: Campaign): void {
  function strike(): void {
    for (const runner of campaign.runners) {
      if (runner.id === "model-1") runner.manner = { ...runner.manner, tear: 0.7 };
      else if (runner.kind === "model") runner.crash();
    }
  }
  campaign.world.at(LAST_LINKS_BREAK_AT, strike);
}

/** Streams are closed although their last piece never came. */
export function closeShort(campaign: Campaign): void {
  changeManner(campaign, { short: 0.3 });
}

/** Streams that were closed short. */
export function countShortStreams(campaign: Campaign): number {
  let count = 0;
  for (const runner of campaign.runners) count += runner.shorts;
  return count;
}

/** Runners leave pieces out. */
export function skipPieces(campaign: Campaign): void {
  changeManner(campaign, { lie: 0.3 });
}

/** Requests told that they may have run. */
export function countMayHaveRun(campaign: Campaign): number {
  let count = 0;
  for (const request of campaign.sight.inquiries) if (request.told === "may-have-run") count += 1;
  return count;
}

/** All model runners die at once with lots' prompts under way, which come back to queues that were filled again meanwhile. */
export function killRunners(campaign: Campaign): void {
  const { world } = campaign;
  changeManner(campaign, { pieceMs: 250 });
  function strike(): void {
    for (const runner of campaign.runners) {
      if (runner.kind !== "model") continue;
      campaign.strikes += runner.load;
      runner.crash();
    }
    world.after(RUNNERS_AWAY, back);
  }
  function back(): void {
    for (const runner of campaign.runners) if (!runner.alive) runner.restart();
  }
  function watch(): void {
    campaign.observer.countWaiting();
    world.after(COUNT_EVERY, watch);
  }
  for (const at of RUNNERS_DIE_AT) world.at(at, strike);
  world.at(COUNTS_FROM, watch);
}

/** One access node cannot reach the model runners, which are free. */
export function cutRunners(campaign: Campaign): void {
  const { world } = campaign;
  const node = campaign.accesses[0]!;
  function cut(): void {
    for (const runner of campaign.runners)
      if (runner.kind === "model") world.cut(node.address, runner.address);
  }
  function mend(): void {
    world.mend();
  }
  world.at(CUT_FROM, cut);
  world.at(CUT_UNTIL, mend);
}

/** Live requests that did not run meanwhile; a violation where lots did not go on either. */
export function countNotRun(campaign: Campaign): number {
  let count = 0;
  let began = 0;
  for (const request of campaign.sight.inquiries)
    if (request.told === "not-run" && request.askedAt > CUT_FROM && request.askedAt < CUT_UNTIL)
      count += 1;
  for (const run of campaign.sight.runs)
    if (typeof run.prompt !== "string" && run.at > CUT_FROM + COUNTED_AFTER && run.at < CUT_UNTIL)
      began += 1;
  if (began < BEGUN_LEAST)
    campaign.violations.push({
      rule: "pace",
      facts: `only ${began} prompts of lots began while runners were free`,
    });
  return count;
}
