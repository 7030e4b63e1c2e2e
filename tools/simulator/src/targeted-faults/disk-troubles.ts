import type { Campaign } from "../campaign/campaign.js";
import { isHeadOf } from "../machines.js";
import type { Machine } from "../world.js";

/** Targeted faults of disks that refuse writes, as a full one does, or answer nothing for a time (docs/testing.md §3). */

/** ms. When the first trouble may strike, once the fleet serves. */
const STRIKES_AT = 12_000;
/** ms. How long the disk of one machine, or the disks of all of a kind, are in trouble. */
const ONE_LASTS = 8_000;
const ALL_LAST = 4_000;
/** ms from the trouble until all machines lose power, by seed, and until power is back. */
const POWER_LOST_AFTER = [200, 1_100, 3_000];
const POWER_BACK_AFTER = 1_000;

/** Whether a disk takes no writes, or answers nothing. */
type DiskTrouble = "full" | "stalled";

function trouble(machine: Machine, kind: DiskTrouble, lasts: number): void {
  const until = machine.world.now + lasts;
  if (kind === "full") machine.diskFullUntil = until;
  else machine.diskStalledUntil = until;
}

/** The disk of one storage machine; service is to be back while the trouble lasts. */
export function oneStorageDisk(kind: DiskTrouble): (campaign: Campaign) => void {
  function set(campaign: Campaign): void {
    const { world, storages, options } = campaign;
    function strike(): void {
      campaign.strikes += 1;
      trouble(storages[options.seed % storages.length]!, kind, ONE_LASTS);
      campaign.mended();
    }
    world.at(STRIKES_AT, strike);
  }
  return set;
}

/** The disk of the head of the control group, or of another member with every third seed. */
export function oneControlDisk(kind: DiskTrouble): (campaign: Campaign) => void {
  function set(campaign: Campaign): void {
    const { world, controls, options } = campaign;
    function strike(): void {
      campaign.strikes += 1;
      const head = controls.find(isHeadOf) ?? controls[0]!;
      const struck = options.seed % 3 === 0 ? controls[options.seed % controls.length]! : head;
      trouble(struck, kind, ONE_LASTS);
      campaign.mended();
    }
    world.at(STRIKES_AT, strike);
  }
  return set;
}

/** The disks of all machines of both kinds; service counts from the end of the trouble. */
export function allDisks(kind: DiskTrouble): (campaign: Campaign) => void {
  function set(campaign: Campaign): void {
    const { world, controls, storages } = campaign;
    function strike(): void {
      campaign.strikes += 1;
      for (const machine of [...controls, ...storages]) trouble(machine, kind, ALL_LAST);
      world.after(ALL_LAST, mended);
    }
    function mended(): void {
      campaign.mended();
    }
    world.at(STRIKES_AT, strike);
  }
  return set;
}

/** One disk of each kind is full; then all machines lose power while they are. */
export function fullOverPowerLoss(campaign: Campaign): void {
  const { world, controls, storages, options, machines } = campaign;
  function strike(): void {
    campaign.strikes += 1;
    trouble(controls[options.seed % controls.length]!, "full", ONE_LASTS);
    trouble(storages[options.seed % storages.length]!, "full", ONE_LASTS);
    world.after(POWER_LOST_AFTER[options.seed % 3]!, losePower);
  }
  function losePower(): void {
    for (const machine of machines) machine.kill(true);
    world.after(POWER_BACK_AFTER, start);
  }
  function start(): void {
    for (const machine of machines) machine.start();
    campaign.mended();
  }
  world.at(STRIKES_AT, strike);
}
