import type { Campaign } from "../campaign/campaign.js";
import { isAt, type SentMessage } from "./messages.js";

/** Targeted faults that strike as a client is told that its lot is accepted (docs/testing.md §2). */

/** ms. Between which power is lost, and between two losses. */
const STRIKES_FROM = 8_000;
const STRIKES_UNTIL = 17_000;
const STRIKES_EVERY = 4_000;
/** ms that disks are slow for a hand-in, until power is lost after the promise, and until it is back. */
const SLOW_DISK = 200;
const POWER_LOST_AFTER = 5;
const POWER_BACK_AFTER = 800;
/** ms. From when on an owner is cut off; from there until its disk is lost, and until it is back. */
const CUT_FROM = 9_000;
const DISK_LOST_AFTER = 700;
const DISK_BACK_AFTER = 2_000;

/** All storage machines lose power at the moment when a caller hears that a lot is accepted. */
export function powerAfterPromise(campaign: Campaign): void {
  const { world } = campaign;
  let restsUntil = STRIKES_FROM;
  function watch(_from: string, _to: string, message: unknown): undefined {
    const { kind, outcome } = message as SentMessage;
    if (kind === "queue-inquiry" && world.now < STRIKES_UNTIL)
      for (const storage of campaign.storages) storage.slowUntil = world.now + SLOW_DISK;
    if (
      kind !== "queue-result" ||
      outcome?.value?.kind !== "ADMITTED" ||
      world.now < restsUntil ||
      world.now > STRIKES_UNTIL
    )
      return;
    restsUntil = world.now + STRIKES_EVERY;
    function strike(): void {
      campaign.strikes += 1;
      for (const storage of campaign.storages) storage.kill(true);
    }
    function back(): void {
      for (const storage of campaign.storages) storage.start();
    }
    world.after(POWER_LOST_AFTER, strike);
    world.after(POWER_BACK_AFTER, back);
  }
  world.watch = watch;
}

/** The owner of a queue is cut from its chain as an admission reaches it, and then loses its disk. */
export function diskAfterPromise(campaign: Campaign): void {
  const { world } = campaign;
  let done = false;
  function watch(_from: string, to: string, message: unknown): undefined {
    const { kind, command } = message as SentMessage;
    if (kind !== "queue-inquiry" || command?.kind !== "admit" || done || world.now < CUT_FROM)
      return;
    const owner = campaign.storages.find(isAt, { address: to });
    if (owner === undefined) return;
    done = true;
    campaign.strikes += 1;
    for (const other of campaign.storages)
      if (other !== owner) world.cut(owner.address, other.address);
    function lose(): void {
      owner!.kill(true);
      owner!.wipe();
    }
    function back(): void {
      world.mend();
      owner!.start();
    }
    world.after(DISK_LOST_AFTER, lose);
    world.after(DISK_BACK_AFTER, back);
  }
  world.watch = watch;
}
