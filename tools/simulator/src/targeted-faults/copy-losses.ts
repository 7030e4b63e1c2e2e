import type { Campaign } from "../campaign/campaign.js";
import type { ControlMachine } from "../machines.js";
import type { Machine } from "../world.js";
import { isNoHead } from "./messages.js";

/** Targeted losses of the last copies but those that are only away, and of machines for good (docs/testing.md §2). */

/** ms. When one copy goes away, when the next is lost, and when the first may be heard again. */
const FIRST_AWAY_AT = 9_000;
const NEXT_LOST_AT = 12_500;
const PAIR_MENDED_AT = 17_000;
/** ms until a machine that lost its disk, or a blank one in its place, starts. */
const BACK_AFTER = 800;
/** ms from the loss until the third control machine is heard again: only when the other of the pair knows of the silence. */
const CONTROL_JOINS_AFTER = 2_000;
/** ms from the loss until the away copy of a queue comes back: just before the lost one is given up. */
const COPY_COMES_AFTER = 1_800;
/** ms between two looks whether the last copy goes on alone. */
const LOOK_EVERY = 1;
/** ms. When machines are lost for good, as the last fault of the run. */
const LOST_FOR_GOOD_AT = 18_500;

/** One control machine is cut off and voted out; then another loses its disk, and comes back blank or at a new address. */
export function loseDiskInPair(campaign: Campaign): void {
  const { world, controls } = campaign;
  let away: ControlMachine | undefined;
  function cut(): void {
    away = controls.find(isNoHead)!;
    world.isolate(away.address);
  }
  function lose(): void {
    const lost = controls.find(isPicked, { away, head: campaign.options.seed % 4 < 2 })!;
    const view = lost.core.view;
    if (view?.members.length === 2) campaign.strikes += 1;
    lost.kill(true);
    lost.wipe();
    function back(): void {
      lost.start();
    }
    if (campaign.options.seed % 2 === 0) world.after(BACK_AFTER, back);
    else campaign.replaceControl(lost, BACK_AFTER);
  }
  function mend(): void {
    world.mend();
  }
  world.at(FIRST_AWAY_AT, cut);
  world.at(NEXT_LOST_AT, lose);
  world.at(PAIR_MENDED_AT, mend);
}

function isPicked(
  this: { away: unknown; head: boolean },
  control: { alive: boolean; core: { isHead: boolean } },
): boolean {
  return control !== this.away && control.core.isHead === this.head;
}

/** The last fault takes the owner of a queue, the head of control and an access node for good. */
export function loseForGood(campaign: Campaign): void {
  const { world } = campaign;
  function strike(): void {
    campaign.heals = false;
    campaign.sight.healedAt = world.now;
    campaign.strikes += 1;
    for (const machine of [campaign.owner("reader"), campaign.head(), campaign.accesses[0]])
      machine?.kill(true);
    campaign.accesses.splice(0, 1);
  }
  world.at(LOST_FOR_GOOD_AT, strike);
}

/** Of a control pair one loses power; as soon as the other goes on alone it loses its disk, and the first comes back. */
export function loneControlLost(campaign: Campaign): void {
  const { world, controls } = campaign;
  function cut(): void {
    world.isolate(controls[options.seed % 3]!.address);
  }
  const { options } = campaign;
  let down: ControlMachine;
  function lose(): void {
    const pair = controls.filter(isServing);
    down = pair[(options.seed >> 1) % 2]!;
    down.kill(true);
    world.after(CONTROL_JOINS_AFTER, join);
    look();
  }
  function join(): void {
    world.mend();
  }
  function look(): void {
    const lone = controls.find(isLone);
    if (lone === undefined) return world.after(LOOK_EVERY, look);
    campaign.strikes += 1;
    lone.kill(true);
    lone.wipe();
    function back(): void {
      lone!.start();
      down.start();
      campaign.mended();
    }
    world.after(BACK_AFTER, back);
  }
  world.at(FIRST_AWAY_AT, cut);
  world.at(NEXT_LOST_AT, lose);
}

function isServing(control: ControlMachine): boolean {
  return (
    control.alive &&
    control.core.view?.members.length === 2 &&
    control.core.view.members.some(isMachine, control)
  );
}

function isLone(control: ControlMachine): boolean {
  return control.alive && control.core.view?.members.length === 1 && control.core.isHead;
}

function isMachine(this: Machine, member: { identity: string }): boolean {
  return this.folder?.identity === member.identity;
}

/** Of the copies of a queue one goes away, one is down, and as soon as the last goes on alone it loses its disk. */
export function loneQueueLost(campaign: Campaign): void {
  const { world, storages, options } = campaign;
  const [away, down, lone] = [
    storages[options.seed % 3]!,
    storages[(options.seed + 1) % 3]!,
    storages[(options.seed + 2) % 3]!,
  ];
  function first(): void {
    away.kill(true);
  }
  function come(): void {
    away.start();
  }
  function second(): void {
    down.kill(true);
    world.after(COPY_COMES_AFTER, come);
    look();
  }
  function look(): void {
    const view = lone.folder!.holdings().get("reader")?.state.view;
    if (view === undefined || view.members.length > 1) return world.after(LOOK_EVERY, look);
    campaign.strikes += 1;
    lone.kill(true);
    lone.wipe();
    function back(): void {
      lone.start();
      down.start();
      campaign.mended();
    }
    world.after(BACK_AFTER, back);
  }
  world.at(FIRST_AWAY_AT, first);
  world.at(NEXT_LOST_AT, second);
}
