/** Steps on live requests on passages and the choice of a runner, in virtual time (docs/design.md §13.4, §13.5). */
import { deepEqual, equal, ok } from "node:assert/strict";
import { Given, Then, When, type DataTable } from "@cucumber/cucumber";
import { configuration, type VersionedConfiguration, type Passage } from "@chutewick/control";
import {
  RunnerBalancer,
  RelayCore,
  type PassageEvent,
  type PassageOutput,
  type PassageWork,
  type NodeIdentity,
} from "@chutewick/data";
import {
  Sessions,
  policy,
  type NodeDescriptor,
  type RunnerRegistry,
  type RunnerDescriptor,
} from "@chutewick/parts";
import { requestOf } from "./relay-requests.js";

/** Stands in for what a node knows of its fleet. */
class KnownFleet {
  configuration: VersionedConfiguration = configuration.blank;
  cards: RunnerDescriptor[] = [];
  closed = new Set<string>();
  may = true;
  hasLease = true;
  registry: RunnerRegistry = { nodes: [], runners: [] };

  serves(): boolean {
    return this.may;
  }
  holds(): boolean {
    return this.may && this.hasLease;
  }
  runners(): RunnerDescriptor[] {
    return this.cards.filter(isOpen, this.closed);
  }
  isClosed(runner: string): boolean {
    return this.closed.has(runner);
  }
}

function isOpen(this: Set<string>, card: RunnerDescriptor): boolean {
  return !this.has(card.id);
}

/** Where most of the passages stand. */
export const host = "shop.example";

interface Sent {
  readonly go: number;
  readonly address: string;
  readonly work: PassageWork;
}

/** What steps on the relay share. */
export interface World {
  known: KnownFleet;
  choice: RunnerBalancer;
  core: RelayCore;
  now: number;
  outputs: PassageOutput[];
  sent: Map<string, Sent[]>;
  refusing: Set<string>;
  arrived: string[];
  room: number;
  signs: { address: string; late: number; usual: number };
}

const standing: NodeIdentity = {
  identity: "node-1",
  address: "here:1",
  kind: "access",
  zone: "north",
  http: "here:2",
};

function card(id: string, pool: string): RunnerDescriptor {
  return {
    id,
    incarnation: 1,
    url: `${id}:80`,
    kind: pool === "model" ? "model" : "plain",
    models: [],
    labels: {},
    seats: 16,
    zone: "south",
    burden: 0,
    pool,
    age: 0,
  };
}

function passages(this: World, table: DataTable): void {
  const found: Record<string, Passage> = {};
  for (const row of table.hashes()) {
    found[row["name"]!] = {
      host: row["host"]!,
      prefix: row["prefix"]!,
      kind: row["kind"] as Passage["kind"],
      pools: shares(row["pools"]!),
      rank: Number(row["rank"] ?? 0),
      goesMost: Number(row["gos"]),
      guard: Number(row["guard"]),
      aim: Number(row["aim"]),
      resumable: row["resumable"] === "yes",
      affinity: false,
      waitingTokens: 0,
      ...(row["keyless"] === "yes" ? { keyless: true } : {}),
    };
  }
  this.known = new KnownFleet();
  this.known.configuration = { mark: 1, value: { ...configuration.blank.value, passages: found } };
  this.choice = new RunnerBalancer(this.known, standing);
  this.core = new RelayCore(this.known, this.choice, policy.defaults);
  this.now = 1_000;
  this.outputs = [];
  this.sent = new Map();
  this.refusing = new Set();
}
Given("passages", passages);

function shares(text: string): Passage["pools"] {
  const found: Passage["pools"] = [];
  for (const part of text.split(", "))
    found.push({ pool: part.split(" ")[0]!, weight: Number(part.split(" ")[1]) });
  return found;
}

function runners(this: World, table: DataTable): void {
  for (const row of table.hashes()) this.known.cards.push(card(row["id"]!, row["pool"]!));
}
Given("runners", runners);

function mayNotServe(this: World): void {
  this.known.may = false;
}
Given("the node may not serve", mayNotServe);

function hasNoLease(this: World): void {
  this.known.hasLease = false;
}
Given("the node serves without a lease", hasNoLease);

function weights(this: World, name: string, text: string): void {
  const { value } = this.known.configuration;
  this.known.configuration = {
    mark: 2,
    value: {
      ...value,
      passages: { ...value.passages, [name]: { ...value.passages[name]!, pools: shares(text) } },
    },
  };
}
Given("the weights of {string} are {string}", weights);

function noRunner(this: World, pool: string): void {
  for (const each of this.known.cards) if (each.pool === pool) this.known.closed.add(each.id);
}
Given("no runner of {string} is known", noRunner);

function heardOf(this: World, id: string, pool: string): void {
  this.known.cards.push(card(id, pool));
}
When("the runner {string} of {string} is heard of", heardOf);

function refusesAll(this: World, id: string): void {
  this.refusing.add(`${id}:80`);
}
Given("the runner {string} refuses all", refusesAll);

export function takeOutputs(world: World, outputs: readonly PassageOutput[]): void {
  for (const output of outputs) {
    world.outputs.push(output);
    if (output.kind !== "pass-run") continue;
    const list = world.sent.get(output.work.request.id) ?? [];
    list.push(output);
    world.sent.set(output.work.request.id, list);
    if (
      world.refusing.has(output.address) &&
      world.core.mayStart(output.go, world.now) === undefined
    ) {
      takeOutputs(
        world,
        world.core.handleAttemptEvent(
          output.go,
          { kind: "refused", status: 503, retryAfter: 0.1, otherRunner: false },
          world.now,
        ),
      );
    }
  }
}

function arrives(this: World, id: string, host: string, path: string): void {
  takeOutputs(this, this.core.arrive(id, requestOf(id, host, path), this.now));
}
When("{string} arrives for {string} at {string}", arrives);

function arrivesWith(this: World, id: string, host: string, path: string, patience: number): void {
  takeOutputs(this, this.core.arrive(id, requestOf(id, host, path, { patience }), this.now));
}
When("{string} arrives for {string} at {string} with a patience of {int} ms", arrivesWith);

function arrivesAfter(
  this: World,
  id: string,
  host: string,
  path: string,
  resumeAfter: number,
): void {
  takeOutputs(this, this.core.arrive(id, requestOf(id, host, path, { resumeAfter }), this.now));
}
When("{string} arrives for {string} at {string} after event {int}", arrivesAfter);

function manyArrive(this: World, count: number, host: string, path: string): void {
  this.room = this.choice.freeItemSlots("model", this.now);
  this.arrived = [];
  for (let index = 0; index < count; index += 1) {
    const id = `many-${this.arrived.length}-${count}`;
    this.arrived.push(id);
    takeOutputs(this, this.core.arrive(id, requestOf(id, host, path), this.now));
    /** Their seats are free again for the next, where there are more than seats. */
    if (count > 100) takeOutputs(this, this.core.callerLeft(id, this.now));
  }
}
When("{int} inquiries arrive for {string} at {string}", manyArrive);

function sharedApart(
  this: World,
  count: number,
  name: string,
  size: number,
  host: string,
  path: string,
): void {
  sharedArrive.call(this, count, name, size, host, path, 100);
}

function sharedAtOnce(
  this: World,
  count: number,
  name: string,
  size: number,
  host: string,
  path: string,
): void {
  sharedArrive.call(this, count, name, size, host, path, 0);
}
When(
  "{int} inquiries with the shared part {string} of {int} tokens arrive for {string} at {string}, all at once",
  sharedAtOnce,
);

function sharedArrive(
  this: World,
  count: number,
  name: string,
  size: number,
  host: string,
  path: string,
  apart: number,
): void {
  this.arrived = [];
  for (let index = 0; index < count; index += 1) {
    const id = `shared-${index}`;
    this.arrived.push(id);
    takeOutputs(
      this,
      this.core.arrive(
        id,
        requestOf(id, host, path, {
          parts: [
            { name, size },
            { name: id, size: 50 },
          ],
        }),
        this.now,
      ),
    );
    if (apart === 0) continue;
    takeOutputs(this, this.core.callerLeft(id, this.now));
    this.now += apart;
  }
}
When(
  "{int} inquiries with the shared part {string} of {int} tokens arrive for {string} at {string}, one after the other",
  sharedApart,
);

function toRunners(this: World, count: number): void {
  const found = new Set<string>();
  for (const id of this.arrived)
    for (const each of this.sent.get(id) ?? []) found.add(each.address);
  equal(found.size, count);
}
Then("they are sent to {int} runners", toRunners);

function oneRunner(this: World): void {
  toRunners.call(this, 1);
}
Then("all of them are sent to one runner", oneRunner);

function roomFalls(this: World, count: number): void {
  equal(this.choice.freeItemSlots("model", this.now), this.room - count);
}
Then("the room for items on {string} falls by {int}", dropPool);

function dropPool(this: World, _pool: string, count: number): void {
  roomFalls.call(this, count);
}

function signsAfter(this: World, runner: string, late: number, usual: number): void {
  this.signs = { address: `${runner}:80`, late, usual };
}
Given("the first sign of {string} takes {int} ms, and of the others {int} ms", signsAfter);

function arriveInTurn(this: World, count: number, host: string, path: string): void {
  this.arrived = [];
  for (let index = 0; index < count; index += 1) {
    const id = `turn-${index}`;
    this.arrived.push(id);
    takeOutputs(this, this.core.arrive(id, requestOf(id, host, path), this.now));
    this.now +=
      latestOf(this, id).address === this.signs.address ? this.signs.late : this.signs.usual;
    gives.call(this, id, 200, "label");
  }
}
When("{int} inquiries arrive for {string} at {string}, one after the other", arriveInTurn);

function bothArrive(
  this: World,
  long: number,
  size: number,
  short: number,
  small: number,
  host: string,
  path: string,
): void {
  this.arrived = [];
  for (let index = 0; index < long + short; index += 1) {
    const isLong = index % Math.ceil((long + short) / long) === 0;
    const id = `${isLong ? "long" : "short"}-${index}`;
    this.arrived.push(id);
    this.now += 30;
    takeOutputs(
      this,
      this.core.arrive(
        id,
        requestOf(id, host, path, { tokensIn: isLong ? size : small }),
        this.now,
      ),
    );
    streams.call(this, id, 1, 1);
    if (index >= 6) takeOutputs(this, this.core.callerLeft(this.arrived[index - 6]!, this.now));
  }
}
When(
  "{int} inquiries of {int} tokens and {int} of {int} tokens arrive for {string} at {string} in turn",
  bothArrive,
);

function noneHasBoth(this: World): void {
  const kinds = new Map<string, Set<string>>();
  for (const id of this.arrived) {
    const { address } = latestOf(this, id);
    const found = kinds.get(address) ?? new Set<string>();
    found.add(id.split("-")[0]!);
    kinds.set(address, found);
  }
  for (const [address, found] of kinds) equal(found.size, 1, address);
  ok(kinds.size >= 3, `${kinds.size} runners had work`);
}
Then("no runner has both", noneHasBoth);

function toRunner(this: World, least: number, most: number, runner: string): void {
  let count = 0;
  for (const id of this.arrived) if (latestOf(this, id).address === `${runner}:80`) count += 1;
  ok(count >= least && count <= most, `${count}`);
}
Then("{int} to {int} of them are sent to the runner {string}", toRunner);

function othersHave(this: World, first: number, one: string, second: number, other: string): void {
  const node: NodeDescriptor = {
    ...standing,
    identity: "node-2",
    place: 1,
    free: true,
    leaving: false,
    telling: {
      burdens: [
        [one, first, 0],
        [other, second, 0],
      ],
    },
  };
  /** What this node told itself is no part of what it hears of the others. */
  const here: NodeDescriptor = {
    ...standing,
    place: 1,
    free: true,
    leaving: false,
    telling: {
      burdens: [
        [one, 3, 1],
        [other, 70, 0],
      ],
    },
  };
  const sessions = new Sessions();
  for (const card of [node, here]) sessions.recordHeartbeat(card, 1_000, undefined, 0, 0);
  this.known.registry = sessions.registryForNodes(1_100, here.identity);
  deepEqual(
    this.known.registry.others,
    [
      [one, first, 0],
      [other, second, 0],
    ].filter(isUnderWay),
  );
}

function isUnderWay(load: readonly (string | number)[]): boolean {
  return Number(load[1]) + Number(load[2]) > 0;
}
Given("another node has {int} live inquiries at {string} and {int} at {string}", othersHave);

function allows(this: World, pool: string, connections: number): void {
  const { value } = this.known.configuration;
  this.known.configuration = {
    mark: 2,
    value: {
      ...value,
      pools: { ...value.pools, [pool]: { models: [], connections, probePath: "/health" } },
    },
  };
}
Given("the pool {string} allows {int} connections", allows);

function mayConnect(this: World, count: number, runner: string): void {
  this.choice.freeItemSlots("plain", this.now);
  equal(this.choice.connectionLimit(`${runner}:80`), count);
}
Then("this node may have {int} connections to {string}", mayConnect);

function connectionIsOpen(this: World, runner: string): void {
  this.choice.useConnections((address) => (address === `${runner}:80` ? 1 : 0));
}
Given("a connection to {string} is open", connectionIsOpen);

function countsAre(this: World, table: DataTable): void {
  const counts: Readonly<Record<string, number>> = { ...this.choice.counts };
  for (const { count, value } of table.hashes()) equal(counts[count!], Number(value), count);
}
Then("the counts of its choices are", countsAre);

function poolOf(world: World, sent: Sent): string | undefined {
  for (const each of world.known.cards) if (each.url === sent.address) return each.pool;
  return undefined;
}

export function latestOf(world: World, id: string): Sent {
  const found = world.sent.get(id)?.at(-1);
  ok(found !== undefined, `${id} was sent nowhere`);
  return found;
}

function sentToPool(this: World, id: string, pool: string): void {
  equal(poolOf(this, latestOf(this, id)), pool);
}
Then("{string} is sent to the pool {string}", sentToPool);

function countToPool(this: World, least: number, most: number, pool: string): void {
  let count = 0;
  for (const id of this.arrived) if (poolOf(this, latestOf(this, id)) === pool) count += 1;
  ok(count >= least && count <= most, `${count}`);
}
Then("{int} to {int} of them are sent to the pool {string}", countToPool);

function sentFirst(this: World, count: number, runner: string): void {
  let found = 0;
  for (const id of this.arrived) if (this.sent.get(id)![0]!.address === `${runner}:80`) found += 1;
  equal(found, count);
}
Then("{int} of them were sent to {string} first", sentFirst);

function sentTimes(this: World, id: string, count: number): void {
  equal(this.sent.get(id)?.length, count);
}
Then("{string} was sent to {int} runner(s)", sentTimes);

function tells(world: World, id: string, ...all: PassageEvent[]): void {
  const { go } = latestOf(world, id);
  for (const told of all) takeOutputs(world, world.core.handleAttemptEvent(go, told, world.now));
}

function begins(world: World, id: string): void {
  equal(world.core.mayStart(latestOf(world, id).go, world.now), undefined);
}

function bytes(text: string): Uint8Array {
  return Buffer.from(text);
}

function gives(this: World, id: string, status: number, body: string): void {
  begins(this, id);
  tells(
    this,
    id,
    { kind: "head", status, headers: ["X", "1"], stamped: true },
    { kind: "data", bytes: bytes(body) },
    { kind: "end" },
  );
}
When("the runner of {string} answers {int} with {string}", gives);

function givesHalf(this: World, id: string, body: string): void {
  begins(this, id);
  tells(this, id, { kind: "head", status: 200, headers: [], stamped: true });
  tells(this, id, { kind: "data", bytes: bytes(body) });
}
When("the go of {string} gets a head and {string}", givesHalf);

function unstamped(this: World, id: string, status: number): void {
  begins(this, id);
  tells(
    this,
    id,
    { kind: "head", status, headers: [], stamped: false },
    { kind: "data", bytes: bytes("stray") },
    { kind: "end" },
  );
}
When("the runner of {string} answers {int} without a stamp", unstamped);

function refused(this: World, id: string, wait: number): void {
  begins(this, id);
  tells(this, id, { kind: "refused", status: 503, retryAfter: wait, otherRunner: false });
}
When("the go of {string} is refused with a wait of {float} s", refused);

function unsent(this: World, id: string): void {
  tells(this, id, { kind: "unsent", reason: "nobody is there" });
}
When("the go of {string} was not sent", unsent);

function breaks(this: World, id: string): void {
  begins(this, id);
  tells(this, id, { kind: "broken", reason: "reset" });
}
When("the go of {string} breaks", breaks);

function ends(this: World, id: string): void {
  tells(this, id, { kind: "end" });
}
When("the go of {string} ends", ends);

function streams(this: World, id: string, from: number, to: number): void {
  begins(this, id);
  tells(this, id, { kind: "head", status: 200, headers: [], stamped: true });
  for (let number = from; number <= to; number += 1)
    tells(this, id, { kind: "event", number, data: "", bytes: bytes(`event ${number}`) });
}
When("the runner of {string} streams events {int} to {int}", streams);

function streamsNone(this: World, id: string): void {
  streams.call(this, id, 1, 0);
}
When("the runner of {string} streams no events", streamsNone);

function streamsUnnumbered(this: World, id: string): void {
  streamsNone.call(this, id);
  tells(this, id, { kind: "event", number: undefined, data: "", bytes: bytes("event") });
}
When("the runner of {string} streams an event without a number", streamsUnnumbered);

function deregisters(this: World, id: string): void {
  this.known.closed.add(latestOf(this, id).work.runner);
}
When("the runner of {string} says goodbye", deregisters);

function mayNotStart(this: World, id: string, reason: string): void {
  equal(this.core.mayStart(latestOf(this, id).go, this.now), reason);
}
Then("the go of {string} may not start: {string}", mayNotStart);

function mayStart(this: World, id: string): void {
  begins(this, id);
}
Then("the go of {string} may start", mayStart);

function goesOnAfter(this: World, id: string, number: number): void {
  equal(latestOf(this, id).work.resumeAfter, number);
}
Then("the go of {string} goes on after event {int}", goesOnAfter);

function has(this: World, id: string, left: number): void {
  equal(latestOf(this, id).work.until - this.now, left);
}
Then("the runner of {string} has {int} ms", has);

function pass(this: World, span: number): void {
  this.now += span;
  takeOutputs(this, this.core.tick(this.now));
}
When("{int} ms pass", pass);

function gets(this: World, id: string, expected: string): void {
  const told: string[] = [];
  for (const output of this.outputs) {
    if (!("ticket" in output) || output.ticket !== id) continue;
    if (output.kind === "pass-head") told.push(`head ${output.status}`);
    else if (output.kind === "pass-bytes") told.push(Buffer.from(output.bytes).toString());
    else if (output.kind === "pass-end") told.push("end");
    else if (output.kind === "pass-cut") told.push("cut");
    else if (output.kind === "pass-refused")
      told.push(
        `refused ${output.status}${output.retryAfter === undefined ? "" : ` after ${output.retryAfter}`}`,
      );
  }
  equal(told.join("; "), expected);
}
Then("the caller of {string} gets {string}", gets);

function linkDoes(world: World, id: string, kind: PassageOutput["kind"]): void {
  const { go } = latestOf(world, id);
  let found = false;
  for (const output of world.outputs)
    if (output.kind === kind && "go" in output && output.go === go) found = true;
  ok(found, kind);
}

function brokenOff(this: World, id: string): void {
  linkDoes(this, id, "pass-abandon");
}
Then("the link of {string} is broken off", brokenOff);
function wasBrokenOff(this: World, id: string): void {
  let found = 0;
  for (const output of this.outputs)
    if (output.kind === "pass-abandon" && output.go === this.sent.get(id)![0]!.go) found += 1;
  equal(found, 1);
}
Then("the link of {string} was broken off", wasBrokenOff);
function pauses(this: World, id: string): void {
  linkDoes(this, id, "pass-pause");
}
Then("the link of {string} pauses", pauses);
function resumes(this: World, id: string): void {
  linkDoes(this, id, "pass-resume");
}
Then("the link of {string} goes on", resumes);
function slow(this: World, id: string): void {
  takeOutputs(this, this.core.pause(id));
}
When("the caller of {string} reads slowly", slow);
function ready(this: World, id: string): void {
  takeOutputs(this, this.core.resume(id));
}
When("the caller of {string} reads again", ready);
function leaves(this: World, id: string): void {
  takeOutputs(this, this.core.callerLeft(id, this.now));
}
When("the caller of {string} leaves", leaves);

function nothing(this: World): void {
  equal(this.core.requestCount, 0);
  deepEqual(this.choice.loads(), []);
}
Then("nothing is under way", nothing);
