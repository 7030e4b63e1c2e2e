import { deepEqual, equal, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  ControlZones,
  NodeHeartbeats,
  keys,
  type HeartbeatAnswer,
  type LeaseMessage,
  type SessionMessage,
} from "@chutewick/control";
import { Membership, MembershipLog } from "@chutewick/data";
import { Feed, Sessions, constants, type ChainView, type NodeDescriptor } from "@chutewick/parts";
import { Deployment, configurationOf, type AccessMachine } from "@chutewick/simulator";

interface World {
  deployment: Deployment;
  node: AccessMachine;
  sessions: Sessions;
  heartbeats: NodeHeartbeats;
  answer: HeartbeatAnswer;
  membership: Membership;
  log: MembershipLog;
  /** ms. */
  now: number;
}

// Control machines that start again

const VERSION = 2;

function order(deployment: Deployment, version: number): void {
  const value = configurationOf(1);
  const word = `change ${version}`;
  const command = { kind: "put", expected: version - 1, mark: version, value, word } as const;
  const { told } = deployment.order(command, deployment.one(), 8_000);
  ok(told?.kind === "confirmed" && told.value.kind === "IN_FORCE", JSON.stringify(told));
}

function cutOffNode(this: World, controls: number): void {
  const losses = controls === 5 ? 2 : 1;
  this.deployment = new Deployment(78, {
    controls,
    storages: 3,
    accesses: 2,
    losses,
    seeds: controls,
  });
  const { deployment } = this;
  for (const machine of deployment.machines) machine.start();
  deployment.founded();
  deployment.after(8);
  equal(deployment.members.length, controls);
  order(deployment, VERSION - 1);
  deployment.after(1);
  this.node = deployment.accesses[0]!;
  deployment.world.isolate(this.node.address);
  deployment.after(3);
  order(deployment, VERSION);
}
Given(
  "an access node that is cut off from {int} control machines while a change is acknowledged",
  { timeout: 60_000 },
  cutOffNode,
);

function powerLost(this: World, back: number): void {
  const { deployment, node } = this;
  const { members } = deployment.head!.core.view!;
  for (const machine of deployment.controls) machine.kill(true);
  deployment.after(0.05);
  for (const { address } of members.slice(0, back))
    deployment.controls.find((machine) => machine.address === address)!.start();
  deployment.world.mend();
  equal(deployment.mark(node), VERSION - 1);
}
When(
  "all control machines lose power, the first {int} of their chain are back at once, and the cut ends",
  powerLost,
);

/** ms. */
const LOOK_EVERY = 5;

function neverBehind(this: World, seconds: number): void {
  const { deployment, node } = this;
  const { world } = deployment;
  const since = world.now;
  const behind: number[] = [];
  while (world.now < since + seconds * 1_000) {
    world.run(world.now + LOOK_EVERY);
    if (node.core.membership.holds(node.now) && deployment.mark(node) < VERSION)
      behind.push(world.now - since);
  }
  deepEqual(behind, [], "ms at which it holds a lease without the change");
  equal(deployment.mark(node), VERSION);
  ok(node.core.membership.holds(node.now), "it holds a lease in the end");
}
Then(
  "for {int} s the node never holds a lease without that change, and then it has it",
  { timeout: 60_000 },
  neverBehind,
);

// What a control machine knows of its leases

const FEED_PLACE = 10;
const GRANTED_AT = 10_000;

function cardOf(identity: string, place: number, free = true): NodeDescriptor {
  return {
    identity,
    address: "node:1",
    kind: "access",
    zone: "a",
    http: "node:2",
    leaving: false,
    free,
    place,
    telling: {},
  };
}

function leaseGranted(this: World, place: number): void {
  this.sessions = new Sessions();
  const leaseUntil = GRANTED_AT + constants.leaseDurationMs;
  this.sessions.recordHeartbeat(cardOf("second-life", place), GRANTED_AT, leaseUntil, 0, 0, 500);
}
Given("a control machine that granted a lease to a node at place {int}", leaseGranted);

function hearsay(this: World, place: number): void {
  const nodes = [{ card: cardOf("first-life", place), age: constants.heartbeatIntervalMs }];
  this.sessions.merge({ nodes, runners: [] }, GRANTED_AT + 10, 0);
}
When(
  "another control machine tells of an earlier life at the same address, at place {int}",
  hearsay,
);

function startsAgain(this: World, place: number): void {
  const now = GRANTED_AT + 400;
  const leaseUntil = now + constants.leaseDurationMs;
  this.sessions.recordHeartbeat(cardOf("third-life", place), now, leaseUntil, 0, 0, 300);
}
When("the node starts again and says place {int}", startsAgain);

function countedAt(this: World, place: number): void {
  equal(this.sessions.coveredIndex(FEED_PLACE, GRANTED_AT + 401), place);
}
Then("the holders of its leases count as being at place {int}", countedAt);

const MEMBERS = ["control-1", "control-2", "control-3"].map((name) => ({
  identity: name,
  address: name,
}));
const VIEW: ChainView = { mark: 1, members: MEMBERS };

function hears(world: World, askedAt: number, free: boolean): HeartbeatAnswer {
  const message: SessionMessage = { kind: "session", card: cardOf("node-1", 0, free), askedAt };
  return world.heartbeats.answer(message, {
    self: "control-1",
    life: "life",
    view: VIEW,
    isMember: true,
    mayGrant: true,
    controls: [],
    zones: new ControlZones(MEMBERS[0]!, undefined),
    feed: new Feed(),
    sessions: world.sessions,
    wall: GRANTED_AT,
    now: GRANTED_AT,
  });
}

function bound(this: World, askedAt: string): void {
  this.sessions = new Sessions();
  this.heartbeats = new NodeHeartbeats();
  equal(hears(this, numberOf(askedAt), false).isLeaseGranted, false);
}
Given(
  "a control machine that heard a node say at its {word} ms that it is bound by a promise",
  bound,
);

function comesLate(this: World, askedAt: string): void {
  this.answer = hears(this, numberOf(askedAt), true);
}
When("the node's heartbeat of its {word} ms comes after that, from before the promise", comesLate);

function unanswered(this: World): void {
  deepEqual(this.answer, { messages: [], isLeaseGranted: false });
}
Then("nothing is answered, and no lease is granted", unanswered);

function numberOf(text: string): number {
  return Number(text.replace(",", ""));
}

// What a node counts as a lease

function started(this: World, ago: number, place: number): void {
  const { address, kind, zone, http } = cardOf("node-1", place);
  const standing = { identity: "node-1", address, kind, zone, http };
  this.membership = new Membership(standing, ["control-1"], 0, () => ({}));
  this.log = new MembershipLog(this.membership);
  this.now = ago;
  this.membership.receive({ kind: "feed-digest", place, records: [] }, "control-1", this.now);
  this.membership.sendHeartbeats(this.now);
}
Given("a node that started {int} ms ago and has the feed up to place {int}", started);

function startedInFleet(this: World, ago: number, place: number, fleet: string): void {
  started.call(this, ago, place - 1);
  feedBrings(this, fleet, place);
}
Given(
  "a node that started {int} ms ago and has the feed up to place {int}, in the fleet {string}",
  startedInFleet,
);

function feedBrings({ membership, now }: World, fleet: string, place: number): void {
  const changes = [[keys.fleet, { addresses: fleet.split(", "), previous: [] }]] as const;
  const entries = [{ place, changes }];
  ok(membership.receive({ kind: "feed", entries }, "control-1", now));
}

function feedBringsFleet(this: World, fleet: string, place: number): void {
  feedBrings(this, fleet, place);
}
When("the feed brings the fleet {string} at place {int}", feedBringsFleet);

function controlIsAway(this: World, lasts: string, promisers: string): void {
  this.now += numberOf(lasts);
  const asks = this.membership
    .tick(this.now)
    .filter(({ message }) => message.kind === "fellow-ask");
  equal(asks.length, 6);
  promise(this, promisers);
}
When("control is away for {word} ms, and {string} promise to take nothing from it", controlIsAway);

/** They answer what it has just asked, and know no more than it does. */
function promise({ membership, now }: World, promisers: string): void {
  for (const from of promisers.split(", "))
    membership.receiveFromPeer(
      { kind: "fellow-tell", askedAt: now, place: 3, promises: true, runners: [], closed: [] },
      from,
      now,
    );
}

function promisesToo(this: World, promiser: string): void {
  promise(this, promiser);
}
When("{string} promises it too", promisesToo);

function answered({ membership, now }: World, askedAt: number): void {
  for (const { identity } of MEMBERS) {
    const message: LeaseMessage = {
      kind: "lease",
      identity,
      view: VIEW,
      askedAt,
      place: membership.follower.place,
      roll: { nodes: [], runners: [] },
      controls: [],
    };
    membership.receive(message, identity, now);
  }
}

function answersEarlierLife(this: World, askedAt: string): void {
  answered(this, numberOf(askedAt));
}
When(
  "all control machines answer a heartbeat that was sent {word} ms after the start of the life before",
  answersEarlierLife,
);

function answersNow(this: World): void {
  answered(this, this.now);
}
When("all control machines answer the heartbeat that it has just sent", answersNow);

function holdsNone(this: World): void {
  equal(this.membership.holds(this.now), false);
}
Then("the node holds no lease", holdsNone);

function holdsOne(this: World): void {
  equal(this.membership.holds(this.now), true);
}
Then("the node holds a lease", holdsOne);

function answersLate(this: World, lasts: string, first: string): void {
  const since = this.now;
  while (this.now < since + numberOf(lasts)) {
    this.now += constants.heartbeatIntervalMs;
    this.membership.sendHeartbeats(this.now);
  }
  for (
    let askedAt = since;
    askedAt <= since + numberOf(first);
    askedAt += constants.heartbeatIntervalMs
  )
    answered(this, askedAt);
}
When(
  "it goes on sending heartbeats for {word} ms, and the answers to those of the first {word} ms come only then",
  answersLate,
);

function near(this: World): void {
  equal(this.membership.hasQuorumContact(this.now), true);
}
Then("control counts as near", near);

function away(this: World): void {
  equal(this.membership.hasQuorumContact(this.now), false);
}
Then("control counts as away", away);

// What a node logs

function logsStanding(this: World, text: string): void {
  const logged = this.log.reportIfChanged(this.now);
  ok(logged !== undefined);
  const { version, place, ground, granters } = logged;
  const by = granters.length === 0 ? ground : `${ground} of ${granters.join(" ")}`;
  equal(`version ${version} at place ${place}, by ${by}`, text);
}
Then("it logs {string}", logsStanding);

function logsNothing(this: World): void {
  for (let beat = 1; beat <= 5; beat += 1)
    equal(this.log.reportIfChanged(this.now + beat * constants.tickIntervalMs), undefined);
}
Then("it logs nothing more while nothing changes", logsNothing);

function refusalsLogged(this: World, refusals: number, status: number, logged: number): void {
  let lines = 0;
  for (let refusal = 0; refusal < refusals; refusal += 1)
    if (this.log.reportIfRejected(status, this.now + refusal) !== undefined) lines += 1;
  equal(lines, logged);
}
Then("of {int} callers refused with {int} within a second it logs {int}", refusalsLogged);
