import type { ControlOutcome } from "@chutewick/control";
import type { Campaign } from "../campaign/campaign.js";
import type { StorageMachine } from "../machines.js";
import type { Machine } from "../world.js";

/** Targeted losses of storage machines, and of many machines at one moment (docs/testing.md §3). */

/** ms. When the loss may strike, once the fleet serves. */
const STRIKES_FROM = 12_000;
/** ms between two looks whether the moment has come. */
const LOOK_EVERY = 0.2;
/** ms within which each machine of those that went down together is started again. */
const BACK_AFTER = [300, 2_000] as const;
/** ms until the empty machine starts, the frozen one wakes, and the one cut off is heard again. */
const REPLACED_AFTER = 1_000;
const FROZEN_FOR = 3_000;
const CUT_FOR = 5_000;
/** ms. When a machine is added, from there until one is emptied, and between two orders and two looks. */
const ADDED_AT = 7_000;
const EMPTIED_AFTER = 2_500;
const EMPTY_PAUSE = 300;
const EMPTY_LOOK_EVERY = 50;

/** Right after an operator heard that a change is in force. */
function afterChange(campaign: Campaign, strike: () => void): void {
  const { world, sight } = campaign;
  function look(): void {
    for (const change of sight.changes)
      if (change.told === "confirmed" && change.endedAt! >= STRIKES_FROM) return strike();
    world.after(LOOK_EVERY, look);
  }
  world.at(STRIKES_FROM, look);
}

/** Right after a caller heard that a lot is accepted. */
function afterLot(campaign: Campaign, strike: () => void): void {
  const { world, sight } = campaign;
  function look(): void {
    for (const lot of sight.lots)
      if (lot.acceptedAt !== undefined && lot.acceptedAt >= STRIKES_FROM) return strike();
    world.after(LOOK_EVERY, look);
  }
  world.at(STRIKES_FROM, look);
}

/** They go down at one moment, those named lose their disks, and each is started again within two seconds. */
function downTogether(
  campaign: Campaign,
  machines: readonly Machine[],
  power: boolean,
  wiped: readonly Machine[],
): void {
  const { world } = campaign;
  campaign.strikes += 1;
  for (const machine of machines) machine.kill(power);
  for (const machine of wiped) machine.wipe();
  let left = machines.length;
  for (const machine of machines) {
    function back(): void {
      machine.start();
      left -= 1;
      if (left === 0) campaign.mended();
    }
    world.after(world.chance.between(...BACK_AFTER), back);
  }
}

/** All processes end right after a change is in force. */
export function killAll(campaign: Campaign): void {
  function strike(): void {
    downTogether(campaign, campaign.machines, false, []);
  }
  afterChange(campaign, strike);
}

/** All machines lose power right after a lot is accepted. */
export function powerAll(campaign: Campaign): void {
  function strike(): void {
    downTogether(campaign, campaign.machines, true, []);
  }
  afterLot(campaign, strike);
}

/** All machines lose power, and one storage machine its disk. */
export function wipeStorageAndPower(campaign: Campaign): void {
  function strike(): void {
    downTogether(campaign, campaign.machines, true, [storageBySeed(campaign)]);
  }
  afterLot(campaign, strike);
}

/** All machines lose power, and one control machine its disk. */
export function wipeControlAndPower(campaign: Campaign): void {
  function strike(): void {
    downTogether(campaign, campaign.machines, true, [
      campaign.controls[campaign.options.seed % 3]!,
    ]);
  }
  afterChange(campaign, strike);
}

/** One storage machine loses its disk right after a lot is accepted. */
export function wipeStorage(campaign: Campaign): void {
  function strike(): void {
    const lost = storageBySeed(campaign);
    downTogether(campaign, [lost], true, [lost]);
  }
  afterLot(campaign, strike);
}

/** One storage machine is gone for good; an empty one starts at another address. */
export function replaceStorage(campaign: Campaign): void {
  function strike(): void {
    campaign.strikes += 1;
    const gone = storageBySeed(campaign);
    gone.kill(true);
    gone.wipe();
    function started(): void {
      campaign.mended();
    }
    campaign.replaceStorage(gone, REPLACED_AFTER, started);
  }
  afterLot(campaign, strike);
}

/** One storage machine sleeps right after a lot is accepted. */
export function freezeStorage(campaign: Campaign): void {
  const { world } = campaign;
  function strike(): void {
    campaign.strikes += 1;
    const machine = storageBySeed(campaign);
    machine.freeze();
    function wake(): void {
      machine.wake();
      campaign.mended();
    }
    world.after(FROZEN_FOR, wake);
  }
  afterLot(campaign, strike);
}

/** One storage machine is cut off from its peers alone, or from everybody. */
export function cutStorage(campaign: Campaign): void {
  const { world } = campaign;
  function strike(): void {
    campaign.strikes += 1;
    const machine = storageBySeed(campaign);
    const others: readonly Machine[] =
      campaign.options.seed % 4 < 2 ? campaign.storages : campaign.machines;
    for (const other of others) if (other !== machine) world.cut(machine.address, other.address);
    function join(): void {
      world.mend();
      campaign.mended();
    }
    world.after(CUT_FOR, join);
  }
  afterLot(campaign, strike);
}

/** One of four is emptied and taken away; right then another loses its disk and the rest lose power. */
export function emptyThenWipe(campaign: Campaign): void {
  const { world } = campaign;
  let emptied: StorageMachine;
  function begin(): void {
    campaign.addStorage();
    world.after(EMPTIED_AFTER, ask);
  }
  function ask(): void {
    emptied = storageBySeed(campaign);
    const { identity } = emptied.folder!;
    function told(outcome: ControlOutcome | undefined): void {
      if (outcome?.kind === "confirmed" && outcome.value.kind === "DONE") return leave();
      world.after(EMPTY_PAUSE, ask);
    }
    campaign.controls[0]!.inquire({ kind: "empty", identity, wanted: true }, told);
  }
  function leave(): void {
    if (emptied.core.memberQueueCount > 0) return world.after(EMPTY_LOOK_EVERY, leave);
    emptied.kill(true);
    emptied.wipe();
    emptied.retired = true;
    campaign.storages.splice(campaign.storages.indexOf(emptied), 1);
    downTogether(campaign, campaign.machines, true, [storageBySeed(campaign)]);
  }
  world.at(ADDED_AT, begin);
}

/** The storage machine that is struck, another one with each seed. */
function storageBySeed({ options, storages }: Campaign): StorageMachine {
  return storages[options.seed % storages.length]!;
}
