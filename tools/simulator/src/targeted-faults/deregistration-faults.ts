import type { Campaign } from "../campaign/campaign.js";
import type { AccessMachine } from "../machines.js";
import type { Runner } from "../runners.js";

/** Targeted faults of runners that deregister, to nodes that cannot tell it on (docs/testing.md §2). */

/** ms. When the node that heard it dies, and until it is back. */
const HEARERS_DIE_AT = [9_000, 15_000];
const HEARER_BACK_AFTER = 4_500;
/** ms. When control goes out of reach, for how long, and when runners then deregister. */
const AWAY_AT = 9_000;
const AWAY_LASTS = 8_000;
const DEREGISTERED_AT = 11_500;
const DEREGISTERED_RUNNERS = 2;
/** ms. When a node falls asleep, from there until its runner deregisters, and until it wakes. */
const SLEEPS_AT = [9_000, 16_000];
const DEREGISTERED_AFTER = 700;
const WAKES_AFTER = 4_000;

/** A runner deregisters once, to a node that dies before it told anybody, while the head of control is dead. */
export function killHearers(campaign: Campaign): void {
  const { world } = campaign;
  function strike(): void {
    const hearer = world.chance.pick(campaign.accesses);
    const runner = campaign.runners.find(isStaying);
    const head = campaign.head();
    if (!hearer.alive || runner === undefined) return;
    campaign.strikes += 1;
    cutFromMachines(campaign, hearer);
    campaign.runnerReports.deregister(runner, { first: hearer, triesMost: 1 });
    hearer.kill(true);
    head?.kill(true);
    world.after(HEARER_BACK_AFTER, back);
    function back(): void {
      world.mend();
      hearer.start();
      head?.start();
      runner!.crash();
      runner!.restart();
    }
  }
  for (const at of HEARERS_DIE_AT) world.at(at, strike);
}

/** A deregistration is sent while the control group is out of reach, to a node that other nodes cannot hear. */
export function deregistrationWithoutControl(campaign: Campaign): void {
  const { world } = campaign;
  function strike(): void {
    const hearer = world.chance.pick(campaign.accesses);
    cutFromMachines(campaign, hearer);
    for (const runner of campaign.runners)
      if (isStaying(runner) && campaign.strikes < DEREGISTERED_RUNNERS) {
        campaign.strikes += 1;
        campaign.runnerReports.deregister(runner, { first: hearer, triesMost: 1 });
      }
  }
  function away(): void {
    campaign.networkFaults.cutControl(AWAY_LASTS);
  }
  world.at(AWAY_AT, away);
  world.at(DEREGISTERED_AT, strike);
}

/** An access node sleeps with a runner's announcement in its buffer, and wakes when the runner has long deregistered. */
export function oldAnnouncement(campaign: Campaign): void {
  const { world } = campaign;
  function strike(): void {
    const node = campaign.accesses[0]!;
    const runner = campaign.runners.find(isStaying);
    if (runner === undefined || !node.alive) return;
    node.freeze();
    /** All its announcements from now on go to the frozen one. */
    const others = campaign.accesses.splice(1);
    const [hearer] = others;
    function say(): void {
      campaign.accesses.push(...others);
      campaign.strikes += 1;
      /** It dies before anybody else has heard. */
      cutFromMachines(campaign, hearer!);
      campaign.runnerReports.deregister(runner!, { first: hearer, triesMost: 1 });
      hearer!.kill(true);
    }
    function wake(): void {
      world.mend();
      node.wake();
      hearer!.start();
    }
    world.after(DEREGISTERED_AFTER, say);
    world.after(WAKES_AFTER, wake);
  }
  for (const at of SLEEPS_AT) world.at(at, strike);
}

/** A node is cut from all machines, and still hears runners. */
function cutFromMachines(campaign: Campaign, node: AccessMachine): void {
  for (const other of campaign.machines)
    if (other !== node) campaign.world.cut(node.address, other.address);
}

function isStaying(runner: Runner): boolean {
  return runner.alive && !runner.leaving && runner.kind === "model";
}
