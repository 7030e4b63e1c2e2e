import type { Campaign } from "../campaign/campaign.js";
import { poolOf } from "../campaign/fleet.js";
import type { AccessMachine } from "../machines.js";
import { isAt, type SentMessage } from "./messages.js";
import { changeManner } from "./runner-faults.js";

/** Targeted faults of lots: of claims, of hand-ins that were refused, of cancels and of seasons (docs/testing.md §2). */

/** ms. Between which these faults strike. */
const STRIKES_FROM = 8_000;
const STRIKES_UNTIL = 17_000;
/** ms. Until when dispatchers fall asleep, since one must wake in time; how long from a claim on, and until it wakes. */
const SLEEPS_UNTIL = 15_000;
const SLEEPS_AFTER = 60;
const WAKES_AFTER = 5_500;
/** ms. Until when owners sleep over hand-ins, how long, and how long they then rest. */
const REFUSALS_UNTIL = 18_000;
const OWNER_SLEEPS = 1_150;
const OWNER_RESTS = 2_500;
/** ms by which other hand-ins are held up, which would take the room that this one is to meet. */
const OTHERS_HELD = 1_300;
/** Share of grants that are held up, and for how many ms. */
const HELD_GRANTS_SHARE = 0.05;
const GRANT_HELD = 3_600;
/** ms between two owners that fall asleep as shares move, how long after the change, and until they wake. */
const SHARES_EVERY = 3_000;
const SHARES_SLEEP_AFTER = 1;
const SHARES_WAKE_AFTER = 900;
/** Breaks of an item's link that count. */
const BREAKS_LEAST = 3;

/** A dispatcher sleeps past every time-out while it holds claims, and its runners' results wait for it. */
export function freezeDispatchers(campaign: Campaign): void {
  const { world } = campaign;
  let asleep: AccessMachine | undefined;
  function watch(_from: string, to: string, message: unknown): undefined {
    const { kind, outcome } = message as SentMessage;
    if (kind !== "queue-result" || outcome?.kind !== "confirmed") return;
    if (outcome.value?.kind === "STALE") campaign.strikes += 1;
    if (
      outcome.value?.kind !== "TAKEN" ||
      asleep !== undefined ||
      world.now < STRIKES_FROM ||
      world.now > SLEEPS_UNTIL
    )
      return;
    asleep = campaign.accesses.find(isAt, { address: to });
    function sleep(): void {
      asleep!.freeze();
    }
    function wake(): void {
      asleep!.wake();
      asleep = undefined;
    }
    world.after(SLEEPS_AFTER, sleep);
    world.after(WAKES_AFTER, wake);
  }
  world.watch = watch;
}

/** Links break with most prompts under way. */
export function tearPrompts(campaign: Campaign): void {
  changeManner(campaign, { tear: 0.6, trouble: 0 });
}

/** Items whose link broke three times and more. */
export function countTornItems(campaign: Campaign): number {
  const torn = new Map<string, number>();
  for (const run of campaign.sight.runs)
    if (run.ending === "torn" && typeof run.prompt !== "string")
      torn.set(JSON.stringify(run.prompt), (torn.get(JSON.stringify(run.prompt)) ?? 0) + 1);
  let count = 0;
  for (const times of torn.values()) if (times >= BREAKS_LEAST) count += 1;
  return count;
}

/** The owner sleeps as a hand-in comes to a full queue, wakes, refuses it, and then meets its second sending with room. */
export function refuseThenAdmit(campaign: Campaign): void {
  const { world } = campaign;
  let restsUntil = STRIKES_FROM;
  const sendings = new Map<string, number>();
  function watch(_from: string, to: string, message: unknown): number | undefined {
    const { kind, command, ticket, outcome } = message as SentMessage;
    if (
      kind === "queue-result" &&
      (sendings.get(ticket!) ?? 0) > 1 &&
      outcome?.value?.kind === "FULL"
    )
      campaign.strikes += 1;
    if (kind !== "queue-inquiry" || command?.kind !== "admit" || world.now > REFUSALS_UNTIL)
      return undefined;
    sendings.set(ticket!, (sendings.get(ticket!) ?? 0) + 1);
    const owner = campaign.storages.find(isAt, { address: to });
    if (owner === undefined || world.now < restsUntil)
      return sendings.get(ticket!)! > 1 ? 0 : OTHERS_HELD;
    restsUntil = world.now + OWNER_RESTS;
    function wake(): void {
      owner!.wake();
    }
    owner.freeze();
    world.after(OWNER_SLEEPS, wake);
    return undefined;
  }
  world.watch = watch;
}

/** The word that a prompt was taken is held up on its way for seconds, and its lot is cancelled meanwhile. */
export function delayGrants(campaign: Campaign): void {
  const { world } = campaign;
  function watch(_from: string, _to: string, message: unknown): number | undefined {
    const { kind, outcome } = message as SentMessage;
    if (
      kind !== "queue-result" ||
      outcome?.value?.kind !== "TAKEN" ||
      world.now < STRIKES_FROM ||
      world.now > STRIKES_UNTIL ||
      !world.chance.happens(HELD_GRANTS_SHARE)
    )
      return undefined;
    for (const lot of campaign.sight.lots) {
      if (lot.lot !== outcome.value.lot || lot.cancelAskedAt !== undefined) continue;
      campaign.strikes += 1;
      campaign.lotClients.cancel(lot);
    }
    return GRANT_HELD;
  }
  world.watch = watch;
}

/** Queues that a season selects come and go, and the owners of those that must give back are frozen. */
export function moveShares(campaign: Campaign): void {
  const { world } = campaign;
  let restsUntil = STRIKES_FROM;
  function watch(_from: string, _to: string, message: unknown): undefined {
    if (
      (message as SentMessage).kind !== "feed" ||
      world.now < restsUntil ||
      world.now > STRIKES_UNTIL
    )
      return;
    restsUntil = world.now + SHARES_EVERY;
    const owner = campaign.owner("reader");
    if (owner === undefined || !owner.alive || owner.frozen) return;
    campaign.strikes += 1;
    function sleep(): void {
      owner!.freeze();
    }
    function wake(): void {
      owner!.wake();
    }
    world.after(SHARES_SLEEP_AFTER, sleep);
    world.after(SHARES_WAKE_AFTER, wake);
  }
  world.watch = watch;
}

/** Sets nothing: what the options bring is the fault, or the whole storm. */
export function nothing(): void {
  // The storm itself is the fault.
}

/** Items whose time ran out. */
export function countOutOfTime(campaign: Campaign): number {
  let count = 0;
  for (const lot of campaign.sight.lots)
    for (const item of lot.views.at(-1)?.items ?? [])
      if (item.reason?.includes("time ran out") === true) count += 1;
  return count;
}

/** Prompts of lots whose season chose runners of one pool, and where they ran. */
export function countRanInPool(campaign: Campaign): number {
  const night = new Set<string>();
  for (const lot of campaign.sight.lots) if (lot.labels !== undefined) night.add(lot.key);
  let count = 0;
  for (const run of campaign.sight.runs) {
    if (
      typeof run.prompt === "string" ||
      !night.has((run.prompt as { key: string } | null)?.key ?? "")
    )
      continue;
    count += 1;
    if (poolOf(run.runner) !== "big")
      campaign.violations.push({
        rule: "season-runners",
        facts: `${run.inquiry} ran at ${run.runner}`,
      });
  }
  return count;
}
