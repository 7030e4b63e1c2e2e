/** Fleets in virtual time whose route changes after a lot was accepted on it. */
import { ok } from "node:assert/strict";
import type { DataMessage, LotReply } from "@chutewick/data";
import { configuration } from "@chutewick/control";
import { lotDirectoryQueue, type Change, type QueueCommand } from "@chutewick/parts";
import {
  PassPlay,
  type AccessMachine,
  type LotSight,
  type StorageMachine,
} from "@chutewick/simulator";

/** ms. Until the fleet has its configuration and leases. */
const FLEET_STANDS_AT = 6_500;
/** ms until a change is in force everywhere, until the items of a lot are done, and until all answers are there. */
const CHANGE_TAKES = 2_500;
const LOT_TAKES = 3_000;
const ANSWERS_TAKE = 4_500;
/** Share of attempts that runners refuse while all items are to wait. */
const ALL_REFUSED = 1;

/** What happens between the submissions of a lot. */
export type RouteChange =
  | "its route moved to runners without a model"
  | "its route moved there and back"
  | "its route was split"
  | "its route was renamed and moved"
  | "its route was removed and added anew elsewhere"
  | "its route moved and all its items wait"
  | "its first acceptance was lost and its route moved"
  | "its client ended it and its route moved"
  | "the release before accepted it and its route moved";

type Stage = (play: PassPlay, lot: LotSight) => void;

/** The changes, one after another; the lot is handed in again after each. */
const stages: Record<RouteChange, readonly Stage[]> = {
  "its route moved to runners without a model": [moveTo("others")],
  "its route moved there and back": [moveTo("others"), moveTo("readers")],
  "its route was split": [moveTo("readers", "others"), moveTo("others")],
  "its route was renamed and moved": [rename, moveTo("others"), moveTo("readers")],
  "its route was removed and added anew elsewhere": [removeAndAddElsewhere],
  "its route moved and all its items wait": [moveTo("others"), moveTo("readers")],
  "its first acceptance was lost and its route moved": [moveTo("others")],
  "its client ended it and its route moved": [end, moveTo("others")],
  "the release before accepted it and its route moved": [forgetAssignments, moveTo("others")],
};

/** A fleet without troubles of runners, whose second pool has no models. */
function aFleet(seed: number): PassPlay {
  const options = { seed, stormy: 0, calm: 0, faults: [], endedShare: 0 };
  const play = new PassPlay({ ...options, moves: true, hasPlainPool: true });
  Object.assign(play.manner, { trouble: 0, tear: 0, turnAway: 0 });
  play.begin();
  play.world.run(FLEET_STANDS_AT);
  return play;
}

/** Hands in a lot, changes its route, and hands the lot in again at every node after each change. */
export function handInAfter(
  change: RouteChange,
  seed: number,
): { play: PassPlay; answers: (LotReply | undefined)[] } {
  const play = aFleet(seed);
  const { world, manner } = play;
  const answers: (LotReply | undefined)[] = [];
  if (change === "its route moved and all its items wait") manner.turnAway = ALL_REFUSED;
  if (change === "its client ended it and its route moved") manner.pieceMs *= 10;
  if (change === "its first acceptance was lost and its route moved") loseAcceptances(play);
  const lot = play.lotClients.handIn();
  world.run(world.now + LOT_TAKES);
  for (const stage of stages[change]) {
    stage(play, lot);
    world.run(world.now + CHANGE_TAKES);
    world.watch = undefined;
    for (const node of play.accesses)
      play.lotClients.handInAgain(lot, (answer) => answers.push(answer), node);
    world.run(world.now + ANSWERS_TAKE);
  }
  manner.turnAway = 0;
  world.run(world.now + LOT_TAKES);
  readEverywhere(play, lot);
  play.judgeLots();
  return { play, answers };
}

/** New lots are handed in at every node at once, while nodes learn of a move one after another. */
export function handInWhileMoving(seed: number): PassPlay {
  const play = aFleet(seed);
  const { world, accesses } = play;
  const late = world.chance.pick(accesses).address;
  /** ms by which one node learns later, which is less than its lease. */
  const delay = world.chance.between(100, 700);
  world.watch = (_from, to, message) =>
    to === late && (message as DataMessage).kind === "feed" ? delay : undefined;
  for (const pool of ["others", "readers", "others"]) {
    moveTo(pool)(play);
    for (let round = 0; round < 20; round += 1) {
      const lot = play.lotClients.handIn();
      for (const node of accesses) play.lotClients.handInAgain(lot, () => undefined, node);
      world.run(world.now + 100);
    }
  }
  world.watch = undefined;
  world.run(world.now + ANSWERS_TAKE + LOT_TAKES);
  for (const lot of play.lots) readEverywhere(play, lot);
  play.judgeLots();
  return play;
}

/** The reason for which the owner of the model's queue refuses a command. */
export function ownerReply(play: PassPlay, command: QueueCommand): string {
  const queue = configuration.poolQueue("m");
  for (const { core } of play.storages) {
    const message: DataMessage = { kind: "queue-inquiry", ticket: "t", queue, command };
    for (const output of core.receive(message, "access-1", play.world.now)) {
      if (output.kind !== "send" || output.message.kind !== "queue-result") continue;
      const { outcome } = output.message;
      if (outcome.kind === "elsewhere" && outcome.reason.startsWith("the lot directory"))
        return outcome.reason;
    }
  }
  return "nobody refused it";
}

function moveTo(...pools: string[]): (play: PassPlay) => void {
  return (play) => {
    play.pools = pools;
    play.enterConfiguration(undefined);
  };
}

function rename(play: PassPlay): void {
  play.passageName = "notes";
  play.enterConfiguration(undefined);
}

function removeAndAddElsewhere(play: PassPlay): void {
  const { world } = play;
  play.passageName = undefined;
  play.enterConfiguration(undefined);
  world.run(world.now + CHANGE_TAKES);
  play.passageName = "slips";
  moveTo("others")(play);
}

function end(play: PassPlay, lot: LotSight): void {
  ok(play.endLot(lot.id));
}

/** Nobody hears that a lot was accepted. */
function loseAcceptances(play: PassPlay): void {
  play.world.watch = (_from, _to, message) => {
    const { kind, outcome } = message as { kind: string; outcome?: { value?: { kind: string } } };
    const isAcceptance = kind === "queue-result" && outcome?.value?.kind === "HANDED";
    return isAcceptance ? Number.POSITIVE_INFINITY : undefined;
  };
}

/** The data folders become those of the release before, which knew no assignments. */
function forgetAssignments(play: PassPlay): void {
  const { storages, accesses, world } = play;
  for (const machine of storages) {
    machine.kill(true);
    forgetAssignmentsIn(machine);
  }
  for (const machine of accesses) machine.kill(false);
  for (const machine of [...storages, ...accesses]) machine.start();
  world.run(world.now + CHANGE_TAKES * 2);
}

function forgetAssignmentsIn({ folder }: StorageMachine): void {
  for (const [chain, { state, records, entries }] of folder!.holdings()) {
    const changes: Change[] = [];
    for (const [key, value] of records) {
      if (chain === lotDirectoryQueue) changes.push([key, undefined]);
      else if (key.startsWith("handed/")) {
        const { assigned: _assigned, ...earlier } = value as { assigned?: boolean };
        changes.push([key, earlier]);
      }
    }
    ok(entries.every(({ place }) => place <= state.place));
    folder!.write(chain, { clear: false, changes, entries: [], drop: [], state });
  }
}

/** Reads the whole list of a lot at each node; the judge of its history compares the answers. */
function readEverywhere(play: PassPlay, lot: LotSight): void {
  for (const node of play.accesses) readAt(play, lot, node);
  play.world.run(play.world.now + ANSWERS_TAKE);
}

function readAt(play: PassPlay, lot: LotSight, node: AccessMachine): void {
  play.lotReader.read(lot, { from: 0, hold: 0, at: node }, () => undefined);
}
