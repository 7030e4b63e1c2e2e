import type { Campaign, TargetedFault } from "../campaign/campaign.js";
import { poolOf } from "../campaign/fleet.js";
import type { CampaignOptions } from "../campaign/options.js";
import { allDisks, fullOverPowerLoss, oneControlDisk, oneStorageDisk } from "./disk-troubles.js";
import {
  cutStorage,
  emptyThenWipe,
  freezeStorage,
  killAll,
  loneControlLost,
  loneQueueLost,
  powerAll,
  replaceStorage,
  wipeControlAndPower,
  wipeStorage,
  wipeStorageAndPower,
} from "./losses.js";
import type { AccessMachine } from "../machines.js";

type Told = {
  readonly kind: string;
  readonly ticket?: string;
  readonly command?: { kind: string };
  readonly outcome?: { kind: string; value?: { kind: string; lot?: string; mark?: number } };
  readonly place?: number;
};

const calm: Partial<CampaignOptions> = { faults: false, stormy: 14_000, calm: 14_000 };
/** On disks as slow as the slowest of the deployments. */
const losses: Partial<CampaignOptions> = {
  faults: false,
  stormy: 16_000,
  calm: 26_000,
  syncTakes: [5, 12],
};

function manner(campaign: Campaign, change: Partial<Campaign["runners"][number]["manner"]>): void {
  for (const runner of campaign.runners) runner.manner = { ...runner.manner, ...change };
}

/** Links to runners break right after the first byte, again and again. */
function breakLinks(campaign: Campaign): void {
  manner(campaign, { tear: 0.3 });
}

function tornLive(campaign: Campaign): number {
  let count = 0;
  for (const run of campaign.sight.runs)
    if (run.ending === "torn" && typeof run.prompt === "string") count += 1;
  return count;
}

/** One model runner is left, and its links break: there is no other to try. */
function breakLastLinks(campaign: Campaign): void {
  function strike(): void {
    for (const runner of campaign.runners) {
      if (runner.id === "model-1") runner.manner = { ...runner.manner, tear: 0.7 };
      else if (runner.kind === "model") runner.crash();
    }
  }
  campaign.world.at(9_000, strike);
}

function closeShort(campaign: Campaign): void {
  manner(campaign, { short: 0.3 });
}

function shorts(campaign: Campaign): number {
  let count = 0;
  for (const runner of campaign.runners) count += runner.shorts;
  return count;
}

function skipPieces(campaign: Campaign): void {
  manner(campaign, { lie: 0.3 });
}

function troubledRuns(campaign: Campaign): number {
  let count = 0;
  for (const request of campaign.sight.inquiries) if (request.told === "may-have-run") count += 1;
  return count;
}

/** A dispatcher sleeps past every time-out while it holds claims, and its runners' results wait for it. */
function freezeDispatchers(campaign: Campaign): void {
  const { world } = campaign;
  let asleep: AccessMachine | undefined;
  function watch(_from: string, to: string, message: unknown): undefined {
    const { kind, outcome } = message as Told;
    if (kind !== "queue-result" || outcome?.kind !== "confirmed") return;
    if (outcome.value?.kind === "STALE") campaign.strikes += 1;
    if (
      outcome.value?.kind !== "TAKEN" ||
      asleep !== undefined ||
      world.now < 8_000 ||
      world.now > 15_000
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
    world.after(60, sleep);
    world.after(5_500, wake);
  }
  world.watch = watch;
}

/** All storage machines lose power at the moment when a caller hears that a lot is accepted. */
function powerAfterPromise(campaign: Campaign): void {
  const { world } = campaign;
  let struckAt = 8_000;
  function watch(_from: string, _to: string, message: unknown): undefined {
    const { kind, outcome } = message as Told;
    if (kind === "queue-inquiry" && world.now < 17_000)
      for (const storage of campaign.storages) storage.slowUntil = world.now + 200;
    if (
      kind !== "queue-result" ||
      outcome?.value?.kind !== "ADMITTED" ||
      world.now < struckAt ||
      world.now > 17_000
    )
      return;
    struckAt = world.now + 4_000;
    function strike(): void {
      campaign.strikes += 1;
      for (const storage of campaign.storages) storage.kill(true);
    }
    function back(): void {
      for (const storage of campaign.storages) storage.start();
    }
    world.after(5, strike);
    world.after(800, back);
  }
  world.watch = watch;
}

/** The owner of a queue is cut from its chain as an admission reaches it, and then loses its disk. */
function diskAfterPromise(campaign: Campaign): void {
  const { world } = campaign;
  let done = false;
  function watch(_from: string, to: string, message: unknown): undefined {
    const { kind, command } = message as Told;
    if (kind !== "queue-inquiry" || command?.kind !== "admit" || done || world.now < 9_000) return;
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
    world.after(700, lose);
    world.after(2_000, back);
  }
  world.watch = watch;
}

function tearPrompts(campaign: Campaign): void {
  manner(campaign, { tear: 0.6, trouble: 0 });
}

/** Items whose link broke three times and more. */
function tornItems(campaign: Campaign): number {
  const torn = new Map<string, number>();
  for (const run of campaign.sight.runs)
    if (run.ending === "torn" && typeof run.prompt !== "string")
      torn.set(JSON.stringify(run.prompt), (torn.get(JSON.stringify(run.prompt)) ?? 0) + 1);
  let count = 0;
  for (const times of torn.values()) if (times >= 3) count += 1;
  return count;
}

/** The owner sleeps as a hand-in comes to a full queue, wakes, refuses it, and then meets its second sending with room. */
function refuseThenAdmit(campaign: Campaign): void {
  const { world } = campaign;
  let restsUntil = 8_000;
  const sendings = new Map<string, number>();
  function watch(_from: string, to: string, message: unknown): number | undefined {
    const { kind, command, ticket, outcome } = message as Told;
    if (
      kind === "queue-result" &&
      (sendings.get(ticket!) ?? 0) > 1 &&
      outcome?.value?.kind === "FULL"
    )
      campaign.strikes += 1;
    if (kind !== "queue-inquiry" || command?.kind !== "admit" || world.now > 18_000)
      return undefined;
    sendings.set(ticket!, (sendings.get(ticket!) ?? 0) + 1);
    const owner = campaign.storages.find(isAt, { address: to });
    /** Other hand-ins would take the room that this one is to meet. */
    if (owner === undefined || world.now < restsUntil)
      return sendings.get(ticket!)! > 1 ? 0 : 1_300;
    restsUntil = world.now + 2_500;
    function wake(): void {
      owner!.wake();
    }
    owner.freeze();
    world.after(1_150, wake);
    return undefined;
  }
  world.watch = watch;
}

/** The word that a prompt was taken is held up on its way for seconds, and its lot is cancelled meanwhile. */
function delayGrants(campaign: Campaign): void {
  const { world } = campaign;
  function watch(_from: string, _to: string, message: unknown): number | undefined {
    const { kind, outcome } = message as Told;
    if (
      kind !== "queue-result" ||
      outcome?.value?.kind !== "TAKEN" ||
      world.now < 8_000 ||
      world.now > 17_000 ||
      !world.chance.happens(0.05)
    )
      return undefined;
    for (const lot of campaign.sight.lots) {
      if (lot.lot !== outcome.value.lot || lot.cancelAskedAt !== undefined) continue;
      campaign.strikes += 1;
      campaign.lotClients.cancel(lot);
    }
    return 3_600;
  }
  world.watch = watch;
}

/** A node's feed is held up while its sessions go on. */
function holdFeed(campaign: Campaign): void {
  const { world } = campaign;
  const node = campaign.accesses[0]!;
  function watch(_from: string, to: string, message: unknown): number | undefined {
    if (
      to !== node.address ||
      !(message as Told).kind.startsWith("feed") ||
      world.now < 9_000 ||
      world.now > 15_000
    )
      return undefined;
    campaign.strikes += 1;
    return Number.POSITIVE_INFINITY;
  }
  world.watch = watch;
}

/** A control machine cut off from the others tells a blank node its older snapshot after the newer ones, and news is late. */
function oldSnapshot(campaign: Campaign): void {
  const { world } = campaign;
  const node = campaign.accesses[0]!;
  let lone: string | undefined;
  let newest = 0;
  let heldFrom = 0;
  function watch(from: string, to: string, message: unknown): number | undefined {
    const { kind, place } = message as Told;
    if (to !== node.address || lone === undefined || !kind.startsWith("feed")) return undefined;
    if (from !== lone) {
      newest = Math.max(newest, place ?? 0);
      return world.now > heldFrom && world.now < heldFrom + 900
        ? Number.POSITIVE_INFINITY
        : undefined;
    }
    if (kind !== "feed-digest" || place! >= newest) return undefined;
    campaign.strikes += 1;
    /** A node takes no work in its first second, since a life before it may have promised (§7.4). */
    heldFrom = world.now + 1_800;
    return 1_800;
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
    if (world.now < 17_000) world.after(2_500, again);
  }
  world.at(9_000, split);
  world.at(11_000, again);
}

/** The head of the control chain is cut off as a change reaches it. */
function cutHead(campaign: Campaign): void {
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
  world.at(9_000, strike);
  world.at(12_000, mend);
  world.at(15_500, strike);
  world.at(18_500, mend);
}

/** Operators send what is malformed through every control machine, and the head dies at that moment. */
function malformedThenKill(campaign: Campaign): void {
  const { world } = campaign;
  function strike(): void {
    const head = campaign.head();
    for (const control of campaign.controls)
      if (control.alive)
        campaign.operators.change({ from: control, operators: 1, isMalformed: true });
    if (head === undefined) return;
    campaign.strikes += 1;
    function kill(): void {
      head!.kill(true);
    }
    function back(): void {
      if (!head!.alive) head!.start();
    }
    world.after(world.chance.between(0.5, 30), kill);
    world.after(2_500, back);
  }
  world.at(9_000, strike);
  world.at(15_000, strike);
}

/** Two operators build on the same mark at two control machines while the head dies. */
function raceThenKill(campaign: Campaign): void {
  const { world } = campaign;
  function strike(): void {
    const head = campaign.head();
    if (head === undefined) return;
    campaign.strikes += 1;
    campaign.operators.change({ from: head, operators: 2 });
    function kill(): void {
      head!.kill(true);
    }
    function back(): void {
      if (!head!.alive) head!.start();
    }
    world.after(world.chance.between(1, 40), kill);
    world.after(2_000, back);
  }
  world.at(9_000, strike);
  world.at(14_000, strike);
}

/** Queues that a season selects come and go, and the owners of those that must give back are frozen. */
function moveShares(campaign: Campaign): void {
  const { world } = campaign;
  let restsUntil = 8_000;
  function watch(_from: string, _to: string, message: unknown): undefined {
    if ((message as Told).kind !== "feed" || world.now < restsUntil || world.now > 17_000) return;
    restsUntil = world.now + 3_000;
    const owner = campaign.owner("reader");
    if (owner === undefined || !owner.alive || owner.frozen) return;
    campaign.strikes += 1;
    function sleep(): void {
      owner!.freeze();
    }
    function wake(): void {
      owner!.wake();
    }
    world.after(1, sleep);
    world.after(900, wake);
  }
  world.watch = watch;
}

/** All model runners die at once with lots' prompts under way, which come back to queues that were filled again meanwhile. */
function killRunners(campaign: Campaign): void {
  const { world } = campaign;
  manner(campaign, { pieceMs: 250 });
  function strike(): void {
    for (const runner of campaign.runners) {
      if (runner.kind !== "model") continue;
      campaign.strikes += runner.load;
      runner.crash();
    }
    world.after(1_500, back);
  }
  function back(): void {
    for (const runner of campaign.runners) if (!runner.alive) runner.restart();
  }
  function watch(): void {
    campaign.observer.countWaiting();
    world.after(100, watch);
  }
  for (const at of [9_000, 13_000, 17_000]) world.at(at, strike);
  world.at(8_000, watch);
}

/** A runner deregisters once, to a node that dies before it told anybody, while the head of control is dead. */
function killHearers(campaign: Campaign): void {
  const { world } = campaign;
  function strike(): void {
    const hearer = world.chance.pick(campaign.accesses);
    const runner = campaign.runners.find(isStaying);
    const head = campaign.head();
    if (!hearer.alive || runner === undefined) return;
    campaign.strikes += 1;
    for (const other of campaign.machines)
      if (other !== hearer) world.cut(hearer.address, other.address);
    campaign.runnerReports.deregister(runner, { first: hearer, triesMost: 1 });
    hearer.kill(true);
    head?.kill(true);
    world.after(4_500, back);
    function back(): void {
      world.mend();
      hearer.start();
      head?.start();
      runner!.crash();
      runner!.restart();
    }
  }
  world.at(9_000, strike);
  world.at(15_000, strike);
}

/** A deregistration is sent while the control group is out of reach, to a node that other nodes cannot hear. */
function deregistrationWithoutControl(campaign: Campaign): void {
  const { world } = campaign;
  function strike(): void {
    const hearer = world.chance.pick(campaign.accesses);
    for (const other of campaign.machines)
      if (other !== hearer) world.cut(hearer.address, other.address);
    for (const runner of campaign.runners)
      if (isStaying(runner) && campaign.strikes < 2) {
        campaign.strikes += 1;
        campaign.runnerReports.deregister(runner, { first: hearer, triesMost: 1 });
      }
  }
  function away(): void {
    campaign.networkFaults.cutControl(8_000);
  }
  world.at(9_000, away);
  world.at(11_500, strike);
}

/** An access node sleeps with a runner's announcement in its buffer, and wakes when the runner has long deregistered. */
function oldAnnouncement(campaign: Campaign): void {
  const { world } = campaign;
  function strike(): void {
    const node = campaign.accesses[0]!;
    const runner = campaign.runners.find(isStaying);
    if (runner === undefined || !node.alive) return;
    node.freeze();
    /** All its announcements from now on go to the frozen one. */
    const all = campaign.accesses.splice(1);
    function say(): void {
      campaign.accesses.push(...all);
      campaign.strikes += 1;
      /** It dies before anybody else has heard. */
      for (const other of campaign.machines)
        if (other !== all[0]) world.cut(all[0]!.address, other.address);
      campaign.runnerReports.deregister(runner!, { first: all[0], triesMost: 1 });
      all[0]!.kill(true);
    }
    function wake(): void {
      world.mend();
      node.wake();
      all[0]!.start();
    }
    world.after(700, say);
    world.after(4_000, wake);
  }
  world.at(9_000, strike);
  world.at(16_000, strike);
}

function isStaying(runner: Campaign["runners"][number]): boolean {
  return runner.alive && !runner.leaving && runner.kind === "model";
}

/** Lots with little time meet the whole storm. */
function nothing(): void {
  // The storm itself is the fault.
}

function outOfTime(campaign: Campaign): number {
  let count = 0;
  for (const lot of campaign.sight.lots)
    for (const item of lot.views.at(-1)?.items ?? [])
      if (item.reason?.includes("time ran out") === true) count += 1;
  return count;
}

/** Lots are cancelled with prompts under way, whose links break; every third time the owner dies as it is told. */
function cancelAndBreak(campaign: Campaign): void {
  const { world } = campaign;
  manner(campaign, { tear: 0.6, pieceMs: 250 });
  function calmDown(): void {
    manner(campaign, { tear: 0.03, pieceMs: 25 });
  }
  world.at(18_000, calmDown);
  let cancels = 0;
  function watch(_from: string, to: string, message: unknown): undefined {
    const { kind, outcome, command } = message as Told;
    if (kind === "queue-inquiry" && command?.kind === "cancel") {
      cancels += 1;
      const owner = campaign.storages.find(isAt, { address: to });
      function kill(): void {
        owner!.kill(false);
      }
      function back(): void {
        if (!owner!.alive) owner!.start();
      }
      if (owner === undefined || cancels % 3 !== 0 || world.now > 17_000) return;
      world.after(world.chance.between(0.5, 6), kill);
      world.after(1_000, back);
    }
    if (
      kind !== "queue-result" ||
      outcome?.value?.kind !== "TAKEN" ||
      world.now < 8_000 ||
      world.now > 17_000 ||
      !world.chance.happens(0.2)
    )
      return;
    for (const lot of campaign.sight.lots) {
      if (lot.lot !== outcome.value.lot || lot.cancelAskedAt !== undefined) continue;
      function cancel(): void {
        campaign.lotClients.cancel(lot);
      }
      world.after(100, cancel);
    }
  }
  world.watch = watch;
}

/** Prompts that were under way as their lot was cancelled, and came back. */
function backToCancelled(campaign: Campaign): number {
  const cancelled = new Map<string, number>();
  for (const lot of campaign.sight.lots)
    if (lot.cancelledAt !== undefined) cancelled.set(lot.key, lot.cancelledAt);
  let count = 0;
  for (const run of campaign.sight.runs)
    if (
      run.ending === "torn" &&
      typeof run.prompt !== "string" &&
      run.at < (cancelled.get((run.prompt as { key: string } | null)?.key ?? "") ?? 0)
    )
      count += 1;
  return count;
}

/** One access node cannot reach the model runners, which are free. */
function cutRunners(campaign: Campaign): void {
  const { world } = campaign;
  const node = campaign.accesses[0]!;
  function cut(): void {
    for (const runner of campaign.runners)
      if (runner.kind === "model") world.cut(node.address, runner.address);
  }
  function mend(): void {
    world.mend();
  }
  world.at(9_000, cut);
  world.at(15_000, mend);
}

/** Seats were free all the while, so lots must go on: 5.5 s at 10 a second from each of two queues, with a tenth and more to spare. */
function notRun(campaign: Campaign): number {
  let count = 0;
  let began = 0;
  for (const request of campaign.sight.inquiries)
    if (request.told === "not-run" && request.askedAt > 9_000 && request.askedAt < 15_000)
      count += 1;
  for (const run of campaign.sight.runs)
    if (typeof run.prompt !== "string" && run.at > 9_500 && run.at < 15_000) began += 1;
  if (began < 50)
    campaign.violations.push({
      rule: "pace",
      facts: `only ${began} prompts of lots began while runners were free`,
    });
  return count;
}

/** One control machine is cut off and voted out; then another loses its disk, and comes back blank or at a new address. */
function loseDiskInPair(campaign: Campaign): void {
  const { world, controls } = campaign;
  let away: (typeof controls)[number] | undefined;
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
    if (campaign.options.seed % 2 === 0) world.after(800, back);
    else campaign.replaceControl(lost, 800);
  }
  function mend(): void {
    world.mend();
  }
  world.at(9_000, cut);
  world.at(12_500, lose);
  world.at(17_000, mend);
}

function isPicked(
  this: { away: unknown; head: boolean },
  control: { alive: boolean; core: { isHead: boolean } },
): boolean {
  return control !== this.away && control.core.isHead === this.head;
}

/** Prompts of lots whose season chose runners of one pool, and where they ran. */
function ranInPool(campaign: Campaign): number {
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

/** The last fault takes the owner of a queue, the head of control and an access node for good. */
function loseForGood(campaign: Campaign): void {
  const { world } = campaign;
  function strike(): void {
    campaign.heals = false;
    campaign.sight.healedAt = world.now;
    campaign.strikes += 1;
    for (const machine of [campaign.owner("reader"), campaign.head(), campaign.accesses[0]])
      machine?.kill(true);
    campaign.accesses.splice(0, 1);
  }
  world.at(18_500, strike);
}

function isAt(this: { address: string }, machine: { address: string }): boolean {
  return machine.address === this.address;
}

function isNoHead(machine: { core: { isHead: boolean } }): boolean {
  return !machine.core.isHead;
}

/** Orders that were acknowledged at a later sending. */
function sentAgain({ sight }: Campaign): number {
  let count = 0;
  for (const { id, told } of sight.changes)
    if (told === "confirmed" && id.includes("/") && !id.endsWith("/1")) count += 1;
  return count;
}

export const targetedFaults: Readonly<Record<string, TargetedFault>> = {
  "links break after the first byte": {
    rule: "runs-twice",
    options: calm,
    set: breakLinks,
    struck: tornLive,
  },
  "streams break with the caller still there": {
    rule: "stream-pieces",
    options: calm,
    set: breakLinks,
    struck: tornLive,
  },
  "the last runner's links break": {
    rule: "not-run-ran",
    options: calm,
    set: breakLastLinks,
    struck: tornLive,
  },
  "streams close short": {
    rule: "partial-looks-whole",
    options: calm,
    set: closeShort,
    struck: shorts,
  },
  "runners skip pieces": {
    rule: "stream-pieces",
    options: calm,
    set: skipPieces,
    struck: troubledRuns,
  },
  "dispatchers sleep on their claims": {
    rule: "result-changed",
    options: { ...calm, tokens: 100 },
    set: freezeDispatchers,
  },
  "power is lost after a promise": { rule: "lot-items", options: calm, set: powerAfterPromise },
  "the disk is lost after a promise": { rule: "lot-items", options: calm, set: diskAfterPromise },
  "links break three times and more": {
    rule: "given-up-early",
    options: calm,
    set: tearPrompts,
    struck: tornItems,
  },
  "a refused hand-in meets room": {
    rule: "refused-lot-ran",
    options: {
      ...calm,
      calm: 34_000,
      tokens: 3,
      allowance: 20,
      lotItems: 1,
      lotTries: 1,
      lotEvery: [40, 160],
    },
    set: refuseThenAdmit,
  },
  "grants come late to cancelled lots": {
    rule: "cancelled-lot-ran",
    options: { ...calm, tokens: 10 },
    set: delayGrants,
  },
  "a node's feed is held up": { rule: "change-ignored", options: calm, set: holdFeed },
  "an old digest comes last": { rule: "slips-back", options: calm, set: oldSnapshot },
  "the head is cut off with a change half confirmed": {
    rule: "confirmed-gone",
    options: calm,
    set: cutHead,
  },
  "malformed changes while the head dies": {
    rule: "refused-takes-effect",
    options: calm,
    set: malformedThenKill,
  },
  "two operators race while the head dies": {
    rule: "two-winners",
    options: calm,
    set: raceThenKill,
  },
  "eight operators race and lose most answers": {
    rule: "taken-then-refused",
    options: { ...calm, racing: { operators: 8, lostAnswers: 0.7 } },
    set: nothing,
    struck: sentAgain,
  },
  "shares move while owners sleep": {
    rule: "allowance",
    options: { calm: 70_000, season: 60, tokens: 4, lotEvery: [30, 150] },
    set: moveShares,
  },
  "all runners die with prompts under way": {
    rule: "allowance",
    options: { ...calm, calm: 26_000, season: 30, tokens: 40, lotItems: 4, lotEvery: [20, 80] },
    set: killRunners,
  },
  "the node that heard a goodbye dies": { rule: "goodbye", options: calm, set: killHearers },
  "a goodbye is heard without control": {
    rule: "goodbye",
    options: calm,
    set: deregistrationWithoutControl,
  },
  "an announcement is read after the goodbye": {
    rule: "goodbye",
    options: calm,
    set: oldAnnouncement,
  },
  "short times across the storm": {
    rule: "given-up-early",
    options: { deadlineSeconds: 4, tokens: 3, allowance: 200 },
    set: nothing,
    struck: outOfTime,
  },
  "prompts come back to cancelled lots": {
    rule: "cancelled-lot-ran",
    options: { ...calm, calm: 24_000, tokens: 10 },
    set: cancelAndBreak,
    struck: backToCancelled,
  },
  "runners that one node cannot reach": {
    rule: "pace",
    options: { ...calm, calm: 34_000, tokens: 10, lotItems: 14, lotEvery: [250, 450] },
    set: cutRunners,
    struck: notRun,
  },
  "a control disk is lost while another is away": {
    rule: "service",
    options: { ...calm, stormy: 13_000, calm: 26_000 },
    set: loseDiskInPair,
  },
  "seasons select lots and runners by labels": {
    rule: "season-runners",
    options: { season: 60, tokens: 6, labelled: true, stormy: 20_000, calm: 40_000 },
    set: nothing,
    struck: ranInPool,
  },
  /** Real links over sockets, not a simulated fleet (../swapped.ts). */
  "runners answer for another": { rule: "someone-elses", options: {}, set: nothing },
  "the lone control machine loses its disk": {
    rule: "service",
    options: { ...calm, stormy: 16_000, calm: 26_000 },
    set: loneControlLost,
  },
  "the lone copy of a queue loses its disk": {
    rule: "service",
    options: { ...calm, stormy: 16_000, calm: 26_000 },
    set: loneQueueLost,
  },
  "all processes are killed at once": { rule: "service", options: losses, set: killAll },
  "all machines lose power at once": { rule: "service", options: losses, set: powerAll },
  "a storage disk is lost and all other machines lose power": {
    rule: "service",
    options: losses,
    set: wipeStorageAndPower,
  },
  "a control disk is lost and all other machines lose power": {
    rule: "service",
    options: losses,
    set: wipeControlAndPower,
  },
  "a storage machine loses its disk right after a promise": {
    rule: "service",
    options: losses,
    set: wipeStorage,
  },
  "a storage machine is replaced by an empty one elsewhere": {
    rule: "service",
    options: losses,
    set: replaceStorage,
  },
  "a storage machine is frozen for 3 s": { rule: "service", options: losses, set: freezeStorage },
  "a storage disk is full for 8 s": {
    rule: "service",
    options: losses,
    set: oneStorageDisk("full"),
  },
  "a storage disk does not answer for 8 s": {
    rule: "service",
    options: losses,
    set: oneStorageDisk("stalled"),
  },
  "a control disk is full for 8 s": {
    rule: "service",
    options: losses,
    set: oneControlDisk("full"),
  },
  "a control disk does not answer for 8 s": {
    rule: "service",
    options: losses,
    set: oneControlDisk("stalled"),
  },
  "all disks are full for 4 s": { rule: "service", options: losses, set: allDisks("full") },
  "all disks do not answer for 4 s": {
    rule: "service",
    options: losses,
    set: allDisks("stalled"),
  },
  "two disks are full as all machines lose power": {
    rule: "service",
    options: losses,
    set: fullOverPowerLoss,
  },
  "a storage machine is cut off for 5 s": { rule: "service", options: losses, set: cutStorage },
  "a storage machine is emptied and then another loses its disk": {
    rule: "service",
    options: losses,
    set: emptyThenWipe,
  },
  "machines are lost for good": {
    rule: "service",
    options: { ...calm, stormy: 14_000, calm: 26_000 },
    set: loseForGood,
  },
};
