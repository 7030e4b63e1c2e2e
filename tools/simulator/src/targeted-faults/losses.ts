import type { Campaign } from "../campaign/campaign.js";
import type { ControlMachine, StorageMachine } from "../machines.js";
import type { Machine } from "../world.js";

/** Losses of many machines at one moment, and of the last copy but those that are only away (docs/testing.md §3). */

/** ms. When the loss may strike, once the fleet serves. */
const strikeFrom = 12_000;

/** Right after an operator heard that a change is in force. */
function afterChange(campaign: Campaign, strike: () => void): void {
  const { world, sight } = campaign;
  function look(): void {
    for (const change of sight.changes)
      if (change.told === "confirmed" && change.endedAt! >= strikeFrom) return strike();
    world.after(0.2, look);
  }
  world.at(strikeFrom, look);
}

/** Right after a caller heard that a lot is accepted. */
function afterLot(campaign: Campaign, strike: () => void): void {
  const { world, sight } = campaign;
  function look(): void {
    for (const lot of sight.lots)
      if (lot.acceptedAt !== undefined && lot.acceptedAt >= strikeFrom) return strike();
    world.after(0.2, look);
  }
  world.at(strikeFrom, look);
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
    world.after(world.chance.between(300, 2_000), back);
  }
}

export function killAll(campaign: Campaign): void {
  function strike(): void {
    downTogether(campaign, campaign.machines, false, []);
  }
  afterChange(campaign, strike);
}

export function powerAll(campaign: Campaign): void {
  function strike(): void {
    downTogether(campaign, campaign.machines, true, []);
  }
  afterLot(campaign, strike);
}

export function wipeStorageAndPower(campaign: Campaign): void {
  function strike(): void {
    downTogether(campaign, campaign.machines, true, [storageBySeed(campaign)]);
  }
  afterLot(campaign, strike);
}

export function wipeControlAndPower(campaign: Campaign): void {
  function strike(): void {
    downTogether(campaign, campaign.machines, true, [
      campaign.controls[campaign.options.seed % 3]!,
    ]);
  }
  afterChange(campaign, strike);
}

export function wipeStorage(campaign: Campaign): void {
  function strike(): void {
    const lost = storageBySeed(campaign);
    downTogether(campaign, [lost], true, [lost]);
  }
  afterLot(campaign, strike);
}

/** Gone for good; an empty one starts at another address. */
export function replaceStorage(campaign: Campaign): void {
  function strike(): void {
    campaign.strikes += 1;
    const gone = storageBySeed(campaign);
    gone.kill(true);
    gone.wipe();
    function started(): void {
      campaign.mended();
    }
    campaign.replaceStorage(gone, 1_000, started);
  }
  afterLot(campaign, strike);
}

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
    world.after(3_000, wake);
  }
  afterLot(campaign, strike);
}

/** Cut off from its peers alone, or from everybody. */
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
    world.after(5_000, join);
  }
  afterLot(campaign, strike);
}

/** One of four is emptied and taken away; right then another loses its disk and the rest lose power. */
export function emptyThenWipe(campaign: Campaign): void {
  const { world } = campaign;
  let emptied: StorageMachine;
  function begin(): void {
    campaign.addStorage();
    world.after(2_500, ask);
  }
  function ask(): void {
    emptied = storageBySeed(campaign);
    const { identity } = emptied.folder!;
    function told(outcome: Parameters<Parameters<ControlMachine["inquire"]>[1]>[0]): void {
      if (outcome?.kind === "confirmed" && outcome.value.kind === "DONE") return leave();
      world.after(300, ask);
    }
    campaign.controls[0]!.inquire({ kind: "empty", identity, wanted: true }, told);
  }
  function leave(): void {
    if (emptied.core.held > 0) return world.after(50, leave);
    emptied.kill(true);
    emptied.wipe();
    emptied.retired = true;
    campaign.storages.splice(campaign.storages.indexOf(emptied), 1);
    downTogether(campaign, campaign.machines, true, [storageBySeed(campaign)]);
  }
  world.at(7_000, begin);
}

function storageBySeed({ options, storages }: Campaign): StorageMachine {
  return storages[options.seed % storages.length]!;
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
    /** The third is heard again only when the other of the pair knows of the silence. */
    world.after(2_000, join);
    look();
  }
  function join(): void {
    world.mend();
  }
  function look(): void {
    const lone = controls.find(isLone);
    if (lone === undefined) return world.after(1, look);
    campaign.strikes += 1;
    lone.kill(true);
    lone.wipe();
    function back(): void {
      lone!.start();
      down.start();
      campaign.mended();
    }
    world.after(800, back);
  }
  world.at(9_000, cut);
  world.at(12_500, lose);
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

/** The same with the last two copies of a queue. */
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
    /** Heard just before the other is given up. */
    world.after(1_800, come);
    look();
  }
  function look(): void {
    const view = lone.folder!.holdings().get("reader")?.state.view;
    if (view === undefined || view.members.length > 1) return world.after(1, look);
    campaign.strikes += 1;
    lone.kill(true);
    lone.wipe();
    function back(): void {
      lone.start();
      down.start();
      campaign.mended();
    }
    world.after(800, back);
  }
  world.at(9_000, first);
  world.at(12_500, second);
}
