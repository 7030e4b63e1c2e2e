/** Steps of features/lot-directory.feature: the records of the lot directory, and fleets whose routes move. */
import { deepEqual, equal, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { configuration, keys } from "@chutewick/control";
import {
  LotAssigner,
  PendingCalls,
  type AccessOutput,
  type LotReply,
  type Membership,
} from "@chutewick/data";
import {
  Ledger,
  QueueMachine,
  assignmentLifetimeMs,
  type AssignLotCommand,
  type QueueResult,
} from "@chutewick/parts";
import { PassPlay, type Fault } from "@chutewick/simulator";
import { handInAfter, handInWhileMoving, ownerReply, type RouteChange } from "./moved-routes.js";
import { apply, submission, type World } from "./passlot.js";

const MS_PER_HOUR = 3_600_000;
/** ms. For how long items of the lots in these steps may run. */
const KEEPS = 40_000;

interface DirectoryWorld extends World {
  assignments: QueueResult[];
}

function aDirectory(this: DirectoryWorld): void {
  this.ledger = new Ledger();
  this.machine = new QueueMachine();
  this.now = 0;
  this.assignments = [];
}
Given("a lot directory", aDirectory);

function assign(world: DirectoryWorld, command: Omit<AssignLotCommand, "kind" | "keeps">): void {
  world.assignments.push(apply(world, { kind: "assign-lot", keeps: KEEPS, ...command }));
}

function isAssigned(this: DirectoryWorld, lot: string, group: string, queue: string): void {
  assign(this, { lot, group, queue });
}
When("the lot {string} of the group {string} is assigned, and {string} is proposed", isAssigned);

function isAssignedWithoutQueue(this: DirectoryWorld, lot: string, group: string): void {
  assign(this, { lot, group });
}
When(
  "the lot {string} of the group {string} is assigned, and nothing is proposed",
  isAssignedWithoutQueue,
);

function isFound(this: DirectoryWorld, lot: string, group: string, queue: string): void {
  assign(this, { lot, group, queue, isFixed: true });
}
When("the lot {string} of the group {string} is found in {string}", isFound);

function directoryRestarts(this: DirectoryWorld): void {
  const records = this.ledger.snapshot();
  this.ledger = new Ledger();
  this.ledger.applyChanges(records);
  this.machine = new QueueMachine();
  this.machine.rebuild(this.ledger);
}
When("the directory starts again from its records", directoryRestarts);

function hoursPass(this: DirectoryWorld, hours: number): void {
  this.now += hours * MS_PER_HOUR;
  if (this.machine.isExpiryDue(this.ledger, this.now)) apply(this, { kind: "expire" });
}
When("{int} hours pass in the directory", hoursPass);

function describe(result: QueueResult): string {
  if (result.kind !== "LOT_ASSIGNED") return "none";
  return `"${result.queue}"${result.again ? " again" : ""}`;
}

function assignmentsAre(this: DirectoryWorld, expected: string): void {
  equal(this.assignments.map(describe).join(", "), expected);
}
Then(/^the assignments are (.+)$/, assignmentsAre);

function eachHoldsLongEnough(this: DirectoryWorld): void {
  for (const result of this.assignments)
    ok(result.kind === "LOT_ASSIGNED" && result.knownFor >= assignmentLifetimeMs(KEEPS));
}
Then("each assignment holds until a queue has forgotten the lot", eachHoldsLongEnough);

function holdsNothing(this: DirectoryWorld): void {
  deepEqual(this.ledger.snapshot(), []);
}
Then("the directory holds no record", holdsNothing);

function assignedLotIsHandedIn(this: World, lot: string, count: number, tokens: number): void {
  const command = submission(lot, count, tokens, this.allowance);
  this.told.push(apply(this, { ...command, knownFor: assignmentLifetimeMs(command.keeps) }));
}
When(
  "the lot {string} with {int} items of {int} tokens, assigned by the directory, is handed in",
  assignedLotIsHandedIn,
);

/** What a queue tells of a lot that it does not hold. */
function unknownLot(world: World, lot: string): Extract<QueueResult, { kind: "UNKNOWN_LOT" }> {
  const result = apply(world, { kind: "results", lot, from: 0 });
  ok(result.kind === "UNKNOWN_LOT", result.kind);
  return result;
}

function directoryIsComplete(this: World): void {
  deepEqual(unknownLot(this, "unknown"), { kind: "UNKNOWN_LOT", isDirectoryComplete: true });
}
Then("the queue says that the directory knows all its lots", directoryIsComplete);

function directoryIsIncomplete(this: World): void {
  deepEqual(unknownLot(this, "unknown"), { kind: "UNKNOWN_LOT" });
}
Then("the queue does not say that the directory knows all its lots", directoryIsIncomplete);

function rememberedLot(this: World, lot: string): void {
  directoryIsIncomplete.call(this);
  deepEqual(unknownLot(this, lot), { kind: "UNKNOWN_LOT", wasAccepted: true });
}
Then(
  "the queue does not say that the directory knows all its lots, and says that it accepted {string}",
  rememberedLot,
);

interface PlayWorld extends World {
  plays: PassPlay[];
  answers: (LotReply | undefined)[];
  refusal: string;
}

/** ms. Until the fleet has its configuration and leases. */
const FLEET_STANDS_AT = 6_500;

function aFleet(this: PlayWorld): void {
  const play = new PassPlay({ seed: 1, stormy: 0, calm: 0, faults: [], access: 2 });
  play.begin();
  play.world.run(FLEET_STANDS_AT);
  this.plays = [play];
}
Given("a fleet with lots on a passage", aFleet);

function handedInAtOwner(this: PlayWorld): void {
  this.refusal = ownerReply(this.plays[0]!, submission("a", 1, 10, 0));
}
When("a lot is handed in at the owner of its queue as the release before does", handedInAtOwner);

function handedInKnownFor(this: PlayWorld, hours: number): void {
  const knownFor = hours * MS_PER_HOUR;
  this.refusal = ownerReply(this.plays[0]!, { ...submission("a", 1, 10, 0), knownFor });
}
When("a lot is handed in at the owner of its queue, known for {int} hour", handedInKnownFor);

function isRefusedBecause(this: PlayWorld, reason: string): void {
  equal(this.refusal, reason);
}
Then("it is refused because {string}", isRefusedBecause);

interface NodeWorld extends PlayWorld {
  assigner: LotAssigner;
  outputs: AccessOutput[];
}

/** A node that has received the view of one queue and nothing else. */
function aNodeThatKnows(this: NodeWorld, queue: string): void {
  const key = keys.queue + queue;
  const view = { mark: 1, members: [{ identity: "s", address: "storage-1" }] };
  const follower = {
    read: (asked: string) => (asked === key ? view : undefined),
    under: () => [[key, view]],
  };
  const node = { identity: "n", follower, holds: () => true } as unknown as Membership;
  this.assigner = new LotAssigner(node, new PendingCalls(node));
}
Given("a node that knows the queue {string} but not the lot directory", aNodeThatKnows);

function lotIsAssigned(this: NodeWorld): void {
  const onRefused = (reason: string): AccessOutput[] => {
    this.refusal = reason;
    return [];
  };
  const queue = configuration.poolQueue("m");
  const request = { lot: "a", group: "slips m", queue, keeps: KEEPS, onRefused };
  this.outputs = this.assigner.assign({ ...request, onAssigned: () => [] }, 0);
}
When("a lot is assigned there", lotIsAssigned);

function nothingWasSent(this: NodeWorld): void {
  deepEqual(this.outputs, []);
}
Then("the node sent nothing", nothingWasSent);

function handedInAgainAfter(this: PlayWorld, change: string, first: string, last: string): void {
  this.plays = [];
  this.answers = [];
  for (let seed = Number(first); seed <= Number(last); seed += 1) {
    const { play, answers } = handInAfter(change as RouteChange, seed);
    this.plays.push(play);
    this.answers.push(...answers);
  }
}
When(
  /^a lot is handed in again at every node after (.+), with seeds (\d+) to (\d+)$/,
  handedInAgainAfter,
);

function itemsRunAgain({ lots }: PassPlay): string[] {
  const found: string[] = [];
  for (const { items } of lots)
    for (const { id, runs } of items.values()) if (runs > 1) found.push(`${id} ran ${runs} times`);
  return found;
}

function nothingRunsTwice(this: PlayWorld): void {
  const found: string[] = [];
  for (const play of this.plays)
    for (const violation of [...play.violations, ...itemsRunAgain(play)])
      found.push(`seed ${play.options.seed}: ${violation}`);
  deepEqual(found.slice(0, 5), []);
}
Then("no item runs twice, and all nodes list the same results", nothingRunsTwice);

function acceptedAndNothingRunsTwice(this: PlayWorld): void {
  ok(this.answers.length > 0);
  for (const answer of this.answers) equal(answer?.kind, "taken");
  nothingRunsTwice.call(this);
}
Then(
  "every node accepts it, no item runs again, and all nodes list the same results",
  acceptedAndNothingRunsTwice,
);

function handedInWhileMoving(this: PlayWorld, first: number, last: number): void {
  this.plays = [];
  for (let seed = first; seed <= last; seed += 1) this.plays.push(handInWhileMoving(seed));
}
When(
  "new lots are handed in at every node while their route moves, with seeds {int} to {int}",
  handedInWhileMoving,
);

function playedUnderFaults(this: PlayWorld, named: string, first: string, last: string): void {
  const faults = named.split(", ") as Fault[];
  this.plays = [];
  for (let seed = Number(first); seed <= Number(last); seed += 1)
    this.plays.push(
      new PassPlay({
        seed,
        stormy: 18_000,
        calm: 20_000,
        faults,
        moves: true,
        hasPlainPool: true,
        resubmits: true,
        allowance: 700,
        lotEvery: 300,
      }).run(),
    );
  for (const fault of faults) ok(total(this.plays, `fault ${fault}`) > 0, fault);
}
When(
  /^lots are handed in again and again while their route moves, under ([a-z, -]+), with seeds (\d+) to (\d+)$/,
  { timeout: 120_000 },
  playedUnderFaults,
);

function total(plays: readonly PassPlay[], name: string): number {
  let sum = 0;
  for (const { counts } of plays) sum += counts[name] ?? 0;
  return sum;
}

function mostAreAccepted(this: PlayWorld): void {
  const accepted = total(this.plays, "resubmission taken");
  let others = 0;
  for (const kind of ["refused", "later", "missing", "silence"])
    others += total(this.plays, `resubmission ${kind}`);
  ok(accepted > others, `${accepted} accepted, ${others} not`);
}
Then("most lots that are handed in again are accepted", mostAreAccepted);
