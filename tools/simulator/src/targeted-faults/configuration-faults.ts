import type { Campaign } from "../campaign/campaign.js";
import { startIfDown } from "../campaign/fleet.js";
import type { ControlMachine } from "../machines.js";
import { isNoHead, type SentMessage } from "./messages.js";

/** Targeted faults of the control group and its feed as the configuration changes (docs/testing.md §2). */

/** ms. Between which a node's feed is held up. */
const HELD_FROM = 9_000;
const HELD_UNTIL = 15_000;
/** ms. When a control machine is cut off, when a node begins anew for the first and the last time, and between two times. */
const SPLIT_AT = 9_000;
const FIRST_RESTART_AT = 11_000;
const RESTARTS_UNTIL = 17_000;
const RESTART_EVERY = 2_500;
/** ms that the older snapshot is held up: a node takes no work in its first second, since a life before it may have promised (§7.4). */
const OLD_SNAPSHOT_HELD = 1_800;
/** ms that news is lost after the older snapshot. */
const NEWS_HELD = 900;
/** ms. When the head is cut off, and when that is mended. */
const HEAD_CUTS: readonly (readonly [cutAt: number, mendedAt: number])[] = [
  [9_000, 12_000],
  [15_500, 18_500],
];
/** ms. When the head dies with malformed orders under way, within how many, and until it is back. */
const MALFORMED_AT = [9_000, 15_000];
const MALFORMED_KILL = [0.5, 30] as const;
const MALFORMED_BACK = 2_500;
/** The same with two orders that race. */
const RACES_AT = [9_000, 14_000];
const RACE_KILL = [1, 40] as const;
const RACE_BACK = 2_000;

/** A node's feed is held up while its sessions go on. */
export function holdFeed(campaign: Campaign): void {
  const { world } = campaign;
  const node = campaign.accesses[0]!;
  function watch(_from: string, to: string, message: unknown): number | undefined {
    if (
      to !== node.address ||
      !(message as SentMessage).kind.startsWith("feed") ||
      world.now < HELD_FROM ||
      world.now > HELD_UNTIL
    )
      return undefined;
    campaign.strikes += 1;
    return Number.POSITIVE_INFINITY;
  }
  world.watch = watch;
}

/** A control machine cut off from the others tells a blank node its older snapshot after the newer ones, and news is late. */
export function oldSnapshot(campaign: Campaign): void {
  const { world } = campaign;
  const node = campaign.accesses[0]!;
  let lone: string | undefined;
  let newest = 0;
  let heldFrom = 0;
  function watch(from: string, to: string, message: unknown): number | undefined {
    const { kind, place } = message as SentMessage;
    if (to !== node.address || lone === undefined || !kind.startsWith("feed")) return undefined;
    if (from !== lone) {
      newest = Math.max(newest, place ?? 0);
      return world.now > heldFrom && world.now < heldFrom + NEWS_HELD
        ? Number.POSITIVE_INFINITY
        : undefined;
    }
    if (kind !== "feed-digest" || place! >= newest) return undefined;
    campaign.strikes += 1;
    heldFrom = world.now + OLD_SNAPSHOT_HELD;
    return OLD_SNAPSHOT_HELD;
  }
  world.watch = watch;
  function split(): void {
    lone = campaign.controls.find(isNoHead)!.address;
    for (const other of campaign.controls)
      if (other.address !== lone) world.cut(lone, other.address);
  }
  function again(): void {
    node.kill(false);
    newest = 0;
    node.start();
    if (world.now < RESTARTS_UNTIL) world.after(RESTART_EVERY, again);
  }
  world.at(SPLIT_AT, split);
  world.at(FIRST_RESTART_AT, again);
}

/** The head of the control chain is cut off as a change reaches it. */
export function cutHead(campaign: Campaign): void {
  const { world } = campaign;
  function strike(): void {
    const head = campaign.head();
    if (head === undefined) return;
    function cut(): void {
      for (const other of campaign.controls)
        if (other !== head) world.cut(head!.address, other.address);
      campaign.strikes += 1;
    }
    campaign.operators.change({ from: head, operators: 1, isMalformed: false, beforeOrders: cut });
  }
  function mend(): void {
    world.mend();
  }
  for (const [cutAt, mendedAt] of HEAD_CUTS) {
    world.at(cutAt, strike);
    world.at(mendedAt, mend);
  }
}

/** Operators send what is malformed through every control machine, and the head dies at that moment. */
export function malformedThenKill(campaign: Campaign): void {
  const { world } = campaign;
  function strike(): void {
    const head = campaign.head();
    for (const control of campaign.controls)
      if (control.alive)
        campaign.operators.change({ from: control, operators: 1, isMalformed: true });
    if (head !== undefined) killHead(campaign, head, MALFORMED_KILL, MALFORMED_BACK);
  }
  for (const at of MALFORMED_AT) world.at(at, strike);
}

/** Two operators build on the same mark at two control machines while the head dies. */
export function raceThenKill(campaign: Campaign): void {
  const { world } = campaign;
  function strike(): void {
    const head = campaign.head();
    if (head === undefined) return;
    campaign.operators.change({ from: head, operators: 2 });
    killHead(campaign, head, RACE_KILL, RACE_BACK);
  }
  for (const at of RACES_AT) world.at(at, strike);
}

/** The head loses power within the span given, in ms, and is back after so many. */
function killHead(
  campaign: Campaign,
  head: ControlMachine,
  within: readonly [least: number, most: number],
  back: number,
): void {
  const { world } = campaign;
  campaign.strikes += 1;
  world.after(world.chance.between(...within), () => head.kill(true));
  world.after(back, () => startIfDown(head));
}

/** Orders that were acknowledged at a later sending. */
export function countSentAgain({ sight }: Campaign): number {
  let count = 0;
  for (const { id, told } of sight.changes)
    if (told === "confirmed" && id.includes("/") && !id.endsWith("/1")) count += 1;
  return count;
}
