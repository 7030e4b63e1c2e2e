import { deepEqual, equal, ok } from "node:assert/strict";
import { createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { After, Given, Then, When, type DataTable } from "@cucumber/cucumber";
import { configuration, type MarkedConfiguration, type Passage } from "@chutewick/control";
import {
  Choice,
  PassConnections,
  RelayCore,
  WholeEvent,
  ownDialect,
  type PassEvent,
  type PassRequest,
  type PassOutput,
  type PassWork,
  type Standing,
} from "@chutewick/data";
import {
  Sessions,
  policy,
  type NodeCard,
  type RunnerRegistry,
  type RunnerCard,
} from "@chutewick/parts";
import { monotonic, settled } from "@chutewick/shell";

/** Stands in for what a node knows of its fleet. */
class KnownFleet {
  configuration: MarkedConfiguration = configuration.blank;
  cards: RunnerCard[] = [];
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
  runners(): RunnerCard[] {
    return this.cards.filter(isOpen, this.closed);
  }
  isClosed(runner: string): boolean {
    return this.closed.has(runner);
  }
}

function isOpen(this: Set<string>, card: RunnerCard): boolean {
  return !this.has(card.id);
}

interface Sent {
  readonly go: number;
  readonly address: string;
  readonly work: PassWork;
}

interface World {
  known: KnownFleet;
  choice: Choice;
  core: RelayCore;
  now: number;
  outputs: PassOutput[];
  sent: Map<string, Sent[]>;
  refusing: Set<string>;
  arrived: string[];
  room: number;
  server: Server;
  sockets: Socket[];
  /** Bytes of each connection as they came. */
  read: string[];
  inquiries: number;
  script: Script;
  address: string;
  links: PassConnections;
  events: Map<number, PassEvent[]>;
  works: number;
  share: number;
  look: string | undefined;
  held: number;
  /** bytes. Of the body that hangs. */
  size: number;
  idle: string;
  signs: { address: string; late: number; usual: number };
}

const standing: Standing = {
  identity: "node-1",
  address: "here:1",
  kind: "access",
  zone: "north",
  http: "here:2",
};

function card(id: string, pool: string): RunnerCard {
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
      rank: 0,
      goesMost: Number(row["gos"]),
      guard: Number(row["guard"]),
      aim: Number(row["aim"]),
      resumable: row["resumable"] === "yes",
      affinity: false,
      waitingTokens: 0,
    };
  }
  this.known = new KnownFleet();
  this.known.configuration = { mark: 1, value: { ...configuration.blank.value, passages: found } };
  this.choice = new Choice(this.known, standing);
  this.core = new RelayCore(this.known, this.choice, policy.usual);
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

function requestOf(
  id: string,
  host: string,
  path: string,
  more: Partial<PassRequest> = {},
): PassRequest {
  return {
    id,
    method: "POST",
    host,
    path,
    headers: ["Host", host],
    body: new Uint8Array(0),
    patience: undefined,
    model: undefined,
    tokensIn: undefined,
    tokensOut: undefined,
    parts: [],
    resumeAfter: undefined,
    ...more,
  };
}

function take(world: World, outputs: readonly PassOutput[]): void {
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
      take(
        world,
        world.core.goEvent(
          output.go,
          { kind: "refused", status: 503, retryAfter: 0.1, otherRunner: false },
          world.now,
        ),
      );
    }
  }
}

function arrives(this: World, id: string, host: string, path: string): void {
  take(this, this.core.arrive(id, requestOf(id, host, path), this.now));
}
When("{string} arrives for {string} at {string}", arrives);

function arrivesWith(this: World, id: string, host: string, path: string, patience: number): void {
  take(this, this.core.arrive(id, requestOf(id, host, path, { patience }), this.now));
}
When("{string} arrives for {string} at {string} with a patience of {int} ms", arrivesWith);

function arrivesAfter(
  this: World,
  id: string,
  host: string,
  path: string,
  resumeAfter: number,
): void {
  take(this, this.core.arrive(id, requestOf(id, host, path, { resumeAfter }), this.now));
}
When("{string} arrives for {string} at {string} after event {int}", arrivesAfter);

function manyArrive(this: World, count: number, host: string, path: string): void {
  this.room = this.choice.room("model", this.now);
  this.arrived = [];
  for (let index = 0; index < count; index += 1) {
    const id = `many-${this.arrived.length}-${count}`;
    this.arrived.push(id);
    take(this, this.core.arrive(id, requestOf(id, host, path), this.now));
    /** Their seats are free again for the next, where there are more than seats. */
    if (count > 100) take(this, this.core.left(id, this.now));
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
    take(
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
    take(this, this.core.left(id, this.now));
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
  equal(this.choice.room("model", this.now), this.room - count);
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
    take(this, this.core.arrive(id, requestOf(id, host, path), this.now));
    this.now +=
      latest(this, id).address === this.signs.address ? this.signs.late : this.signs.usual;
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
    take(
      this,
      this.core.arrive(
        id,
        requestOf(id, host, path, { tokensIn: isLong ? size : small }),
        this.now,
      ),
    );
    streams.call(this, id, 1, 1);
    if (index >= 6) take(this, this.core.left(this.arrived[index - 6]!, this.now));
  }
}
When(
  "{int} inquiries of {int} tokens and {int} of {int} tokens arrive for {string} at {string} in turn",
  bothArrive,
);

function noneHasBoth(this: World): void {
  const kinds = new Map<string, Set<string>>();
  for (const id of this.arrived) {
    const { address } = latest(this, id);
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
  for (const id of this.arrived) if (latest(this, id).address === `${runner}:80`) count += 1;
  ok(count >= least && count <= most, `${count}`);
}
Then("{int} to {int} of them are sent to the runner {string}", toRunner);

function othersHave(this: World, first: number, one: string, second: number, other: string): void {
  const node: NodeCard = {
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
  const here: NodeCard = {
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
  for (const card of [node, here]) sessions.heard(card, 1_000, undefined, 0, 0);
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
  this.choice.room("plain", this.now);
  equal(this.choice.share(`${runner}:80`), count);
}
Then("this node may have {int} connections to {string}", mayConnect);

function connectionIsOpen(this: World, runner: string): void {
  this.choice.useConnections((address) => (address === `${runner}:80` ? 1 : 0));
}
Given("a connection to {string} is open", connectionIsOpen);

function sentToAtMost(this: World, runners: number, most: number): void {
  const counts = new Map<string, number>();
  for (const each of this.sent.values())
    for (const { address } of each) counts.set(address, (counts.get(address) ?? 0) + 1);
  equal(counts.size, runners);
  for (const [address, count] of counts) ok(count <= most, `${count} to ${address}`);
}
Then("they are sent to {int} runners, at most {int} to each", sentToAtMost);

function countsAre(this: World, table: DataTable): void {
  const counts: Readonly<Record<string, number>> = { ...this.choice.counts };
  for (const { count, value } of table.hashes()) equal(counts[count!], Number(value), count);
}
Then("the counts of its choices are", countsAre);

function poolOf(world: World, sent: Sent): string | undefined {
  for (const each of world.known.cards) if (each.url === sent.address) return each.pool;
  return undefined;
}

function latest(world: World, id: string): Sent {
  const found = world.sent.get(id)?.at(-1);
  ok(found !== undefined, `${id} was sent nowhere`);
  return found;
}

function sentToPool(this: World, id: string, pool: string): void {
  equal(poolOf(this, latest(this, id)), pool);
}
Then("{string} is sent to the pool {string}", sentToPool);

function countToPool(this: World, least: number, most: number, pool: string): void {
  let count = 0;
  for (const id of this.arrived) if (poolOf(this, latest(this, id)) === pool) count += 1;
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

function tells(world: World, id: string, ...all: PassEvent[]): void {
  const { go } = latest(world, id);
  for (const told of all) take(world, world.core.goEvent(go, told, world.now));
}

function begins(world: World, id: string): void {
  equal(world.core.mayStart(latest(world, id).go, world.now), undefined);
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
  this.known.closed.add(latest(this, id).work.runner);
}
When("the runner of {string} says goodbye", deregisters);

function mayNotStart(this: World, id: string, reason: string): void {
  equal(this.core.mayStart(latest(this, id).go, this.now), reason);
}
Then("the go of {string} may not start: {string}", mayNotStart);

function mayStart(this: World, id: string): void {
  begins(this, id);
}
Then("the go of {string} may start", mayStart);

function goesOnAfter(this: World, id: string, number: number): void {
  equal(latest(this, id).work.resumeAfter, number);
}
Then("the go of {string} goes on after event {int}", goesOnAfter);

function has(this: World, id: string, left: number): void {
  equal(latest(this, id).work.until - this.now, left);
}
Then("the runner of {string} has {int} ms", has);

function pass(this: World, span: number): void {
  this.now += span;
  take(this, this.core.beat(this.now));
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

function linkDoes(world: World, id: string, kind: PassOutput["kind"]): void {
  const { go } = latest(world, id);
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
  take(this, this.core.slow(id));
}
When("the caller of {string} reads slowly", slow);
function ready(this: World, id: string): void {
  take(this, this.core.ready(id));
}
When("the caller of {string} reads again", ready);
function leaves(this: World, id: string): void {
  take(this, this.core.left(id, this.now));
}
When("the caller of {string} leaves", leaves);

function nothing(this: World): void {
  equal(this.core.busy, 0);
  deepEqual(this.choice.loads(), []);
}
Then("nothing is under way", nothing);

/** A runner that is scripted: it is handed each whole request with its number, from 1, and the connection. */
type Script = (world: World, number: number, id: string, socket: Socket) => void;

function head(id: string | undefined, more: string, status = "200 OK"): string {
  return `HTTP/1.1 ${status}\r\n${id === undefined ? "" : `Chutewick-Inquiry: ${id}\r\n`}Chutewick-Stamp: s\r\n${more}\r\n`;
}

function whole(world: World, id: string): string {
  return `${head(id, `Content-Length: 5\r\n${world.idle}`)}whole`;
}

function chunk(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

const chunked = "Transfer-Encoding: chunked\r\n";

const scripts: Record<string, Script> = {
  "answers each inquiry"(world, _number, id, socket) {
    socket.write(whole(world, id));
  },
  "answers for another inquiry"(world, _number, _id, socket) {
    socket.write(whole(world, "w-999"));
  },
  "answers without an id"(_world, _number, _id, socket) {
    socket.write(`${head(undefined, "Content-Length: 5\r\n")}whole`);
  },
  "cuts the body short"(_world, _number, id, socket) {
    socket.end(`${head(id, "Content-Length: 5\r\n")}who`);
  },
  "cuts a chunked body short"(_world, _number, id, socket) {
    socket.end(head(id, chunked) + chunk("whole"));
  },
  "sends what is not an answer"(_world, _number, _id, socket) {
    socket.write("it is late\r\n\r\n");
  },
  "closes after the inquiry"(_world, _number, _id, socket) {
    socket.end();
  },
  "resets after the inquiry"(_world, _number, _id, socket) {
    socket.resetAndDestroy();
  },
  "encodes the body"(_world, _number, id, socket) {
    socket.write(`${head(id, "Content-Length: 5\r\nContent-Encoding: gzip\r\n")}whole`);
  },
  "ends the body with the connection alone"(_world, _number, id, socket) {
    socket.end(`${head(id, "")}whole`);
  },
  "ends the stream within an event"(_world, _number, id, socket) {
    socket.write(`${head(id, chunked)}${chunk("id: 1\ndata: a\n\nid: 2\nda")}0\r\n\r\n`);
  },
  "ends a body of unknown coding by closing"(_world, _number, id, socket) {
    socket.end(`${head(id, "Transfer-Encoding: x-chunked\r\n")}whole`);
  },
  "tells a status that does not exist"(_world, _number, id, socket) {
    socket.write(`${head(id, "Content-Length: 5\r\n", "099 Odd")}whole`);
  },
  "switches protocols unasked"(_world, _number, id, socket) {
    socket.write(head(id, "Connection: upgrade\r\nUpgrade: x\r\n", "101 Switching Protocols"));
  },
  "reads nothing for now"() {},
  "answers the inquiry before once more with each"(world, _number, id, socket) {
    const stray = socket.bytesWritten === 0 ? "" : `${head(id, "Content-Length: 5\r\n")}stray`;
    socket.write(stray + whole(world, id));
  },
  "answers twice"(world, _number, id, socket) {
    socket.write(whole(world, id) + whole(world, id));
  },
  "answers the second inquiry for the first"(world, number, id, socket) {
    socket.write(whole(world, number === 1 ? id : "w-1"));
  },
  "refuses the first inquiry"(world, number, id, socket) {
    socket.write(
      number === 1
        ? `${head(id, "Content-Length: 4\r\nChutewick-Taken: no\r\nRetry-After: 0.2\r\n", "503 Full")}full`
        : whole(world, id),
    );
  },
  "closes each connection after its answer"(_world, _number, id, socket) {
    socket.end(`${head(id, "Content-Length: 5\r\n")}whole`);
  },
  "streams 4 events byte by byte"(_world, _number, id, socket) {
    let text = head(id, chunked);
    for (let number = 1; number <= 4; number += 1)
      text += chunk(
        `mark: 7\nid: ${number * 2}\r\ndata: piece ${number}\ndata: ä\n${number % 2 === 0 ? "\r\n" : "\n"}`.replace(
          /\r?\n\r\n$/,
          "\r\n\r\n",
        ),
      );
    text += "0\r\n\r\n";
    const all = Buffer.from(text);
    let at = 0;
    function next(): void {
      if (at >= all.length) return;
      socket.write(all.subarray(at, at + 1));
      at += 1;
      setImmediate(next);
    }
    next();
  },
  "streams without end"(world, _number, id, socket) {
    socket.write(head(id, chunked));
    const text = chunk(`id: 1\ndata: ${"x".repeat(60_000)}\n\n`);
    let number = 0;
    function more(): void {
      while (!socket.destroyed && socket.write(text)) {
        number += 1;
        world.held = number;
        if (number % 50 === 0) {
          setImmediate(more);
          return;
        }
      }
      world.held = number;
    }
    socket.on("drain", more);
    more();
  },
  "never answers"() {},
};

function aRunner(this: World, does: string): Promise<void> {
  const world = this;
  /** The one from before ends, if there was one. */
  stop(world);
  world.sockets = [];
  world.read = [];
  world.inquiries = 0;
  world.idle = "";
  world.look = undefined;
  world.share = 10;
  world.script = scripts[does] ?? scripts["never answers"]!;
  world.events = new Map();
  world.works = 0;
  function accept(socket: Socket): void {
    const index = world.sockets.push(socket) - 1;
    world.read[index] = "";
    let rest = "";
    function came(data: Buffer): void {
      world.read[index] += data.toString("latin1");
      rest += data.toString("latin1");
      for (;;) {
        const end = rest.indexOf("\r\n\r\n");
        const long = Number(/content-length: (\d+)/i.exec(rest.slice(0, end))?.[1] ?? 0);
        if (end < 0 || rest.length < end + 4 + long) return;
        const id = /chutewick-inquiry: (\S+)/i.exec(rest)![1]!;
        rest = rest.slice(end + 4 + long);
        world.inquiries += 1;
        world.script(world, world.inquiries, id, socket);
      }
    }
    if (does === "reads nothing for now") socket.pause();
    else socket.on("data", came);
    socket.on("error", ignored);
  }
  world.server = createServer(accept);
  function begin(resolve: () => void): void {
    function up(): void {
      const { port } = world.server.address() as AddressInfo;
      world.address = `127.0.0.1:${port}`;
      if (does === "is gone") world.server.close();
      resolve();
    }
    world.server.listen(0, "127.0.0.1", up);
  }
  function mayStart(): string | undefined {
    return world.look;
  }
  function told(go: number, event: PassEvent): void {
    world.events.get(go)!.push(event);
  }
  function share(): number {
    return world.share;
  }
  world.links = new PassConnections({ dialect: ownDialect, mayStart, told, share, now: monotonic });
  return new Promise<void>(begin);
}
Given(/^a runner that (.*)$/, aRunner);

function ignored(): void {}

function stop(world: World): void {
  world.links?.close();
  for (const socket of world.sockets ?? []) socket.destroy();
  world.server?.close();
}

function stopAfter(this: World): void {
  stop(this);
}
After(stopAfter);

function keeps(this: World, span: number): void {
  this.idle = `Keep-Alive: timeout=${span}\r\n`;
}
Given("it tells that it keeps connections {int} s", keeps);

function mayHave(this: World, count: number): void {
  this.share = count;
}
Given("the node may have {int} connections", mayHave);

function lookSays(this: World, reason: string): void {
  this.look = reason;
}
Given("the last look says {string}", lookSays);

async function lookSaysLater(this: World, reason: string): Promise<void> {
  const world = this;
  let looks = 0;
  Object.defineProperty(world, "look", {
    configurable: true,
    get(): string | undefined {
      looks += 1;
      return looks === 1 ? undefined : reason;
    },
  });
  await over(world, begin(world));
  ok(looks >= 2, `${looks} looks were taken`);
  Object.defineProperty(world, "look", { configurable: true, writable: true, value: undefined });
}
When("the last look says {string} from the second time on, and a work runs", lookSaysLater);

async function standsStill(this: World, span: number): Promise<void> {
  const go = begin(this);
  const until = monotonic() + span;
  while (monotonic() < until);
  await over(this, go);
}
When("a work begins and this process stands still for {int} ms", standsStill);

function readOne(this: World): void {
  equal(this.inquiries, 1);
}
Then("the runner read one inquiry", readOne);

async function hangs(this: World, size: number): Promise<void> {
  const world = this;
  world.size = size;
  const go = begin(world, {}, { body: Buffer.alloc(size, "x") });
  function accepted(): boolean {
    return world.sockets.length === 1;
  }
  await settled(accepted);
  const from = monotonic();
  function written(): boolean {
    return monotonic() - from > 100;
  }
  await settled(written);
  world.links.abandon(go);
}
When("a work with a body of {int} bytes hangs in the socket and is given up", hangs);

async function readsAll(this: World): Promise<void> {
  const world = this;
  const [socket] = world.sockets;
  let ended = false;
  world.held = 0;
  function came(data: Buffer): void {
    world.held += data.length;
  }
  function over(): void {
    ended = true;
  }
  function isEnded(): boolean {
    return ended;
  }
  socket!.on("data", came);
  socket!.once("close", over);
  socket!.resume();
  await settled(isEnded);
}
When("the runner reads all that comes", readsAll);

function readLess(this: World): void {
  ok(this.held > 0, "the work was on its way");
  ok(this.held < this.size, `${this.held} bytes were read`);
}
Then("it reads less than the whole work", readLess);

async function ofOneId(this: World, count: number): Promise<void> {
  for (let index = 0; index < count; index += 1) await over(this, begin(this, {}, { id: "one" }));
}
When("{int} works of one id run one after the other", ofOneId);

function begin(
  world: World,
  more: Partial<PassWork> = {},
  request: Partial<PassRequest> = {},
): number {
  world.works += 1;
  const go = world.works;
  world.events.set(go, []);
  world.links.run(go, world.address, {
    request: requestOf(`w-${go}`, "shop.example", "/run/x?y=1", request),
    runner: "r1",
    rank: 1,
    until: monotonic() + 20_000,
    resumeAfter: undefined,
    events: false,
    repeatable: false,
    ...more,
  });
  return go;
}

function isOver(world: World, go: number): boolean {
  const last = world.events.get(go)!.at(-1)?.kind;
  return last === "end" || last === "broken" || last === "unsent" || last === "refused";
}

function over(world: World, go: number): Promise<void> {
  function holds(): boolean {
    return isOver(world, go);
  }
  return settled(holds);
}

async function oneRuns(this: World): Promise<void> {
  const go = begin(this, { events: this.script === scripts["ends the stream within an event"] });
  if (this.script !== scripts["never answers"] || !this.server.listening) await over(this, go);
}
When("a work runs", oneRuns);

async function inTurn(this: World, count: number): Promise<void> {
  for (let index = 0; index < count; index += 1) await over(this, begin(this));
}
When("{int} works run one after the other", inTurn);

async function inTurnApart(this: World, count: number, span: number): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    const from = monotonic();
    await over(this, begin(this));
    function passed(): boolean {
      return monotonic() - from >= span;
    }
    if (index < count - 1) await settled(passed);
  }
}
When("{int} works run one after the other, {int} ms apart", inTurnApart);

async function atOnce(this: World, count: number): Promise<void> {
  const gos: number[] = [];
  for (let index = 0; index < count; index += 1) gos.push(begin(this));
  for (const go of gos) await over(this, go);
}
When("{int} works run at once", atOnce);

function eachHas(this: World, expected: string): void {
  for (const events of this.events.values()) {
    let text = "";
    for (const each of events) if (each.kind === "data") text += Buffer.from(each.bytes).toString();
    equal(text, expected);
    equal(events[0]!.kind, "head");
    equal(events.at(-1)!.kind, "end");
  }
}
Then("each has the result {string}", eachHas);

function sawConnections(this: World, count: number): void {
  equal(this.sockets.length, count);
}
Then("the runner saw {int} connection(s)", sawConnections);

function sawNoRequest(this: World): void {
  equal(this.inquiries, 0);
}
Then("the runner saw no inquiry", sawNoRequest);

function lastWord(this: World, word: string): void {
  equal(this.events.get(this.works)!.at(-1)!.kind, word);
}
Then("its last word is {string}", lastWord);

function lastWords(this: World, words: string): void {
  const found: string[] = [];
  for (const events of this.events.values()) found.push(events.at(-1)!.kind);
  equal(found.join(", "), words);
}
Then("their last words are {string}", lastWords);

async function isEnded(this: World): Promise<void> {
  const world = this;
  function holds(): boolean {
    return world.sockets[0]?.destroyed === true;
  }
  await settled(holds);
}
Then("the runner's connection is ended", isEnded);

async function asEvents(this: World): Promise<void> {
  await over(this, begin(this, { events: true }));
}
When("a work runs as a series of events", asEvents);

function toldEvents(this: World, from: number, to: number): void {
  const found: WholeEvent[] = [];
  for (const each of this.events.get(1)!)
    if (each.kind === "event") found.push(each as unknown as WholeEvent);
  equal(found.length, to - from + 1);
  for (let number = from; number <= to; number += 1) {
    const each = found[number - from]!;
    equal(each.number, number * 2);
    equal(each.data, `piece ${number}\nä`);
    ok(Buffer.from(each.bytes).toString().startsWith("mark: 7\n"));
  }
  equal(this.events.get(1)!.at(-1)!.kind, "end");
}
Then("it told the events {int} to {int} whole", toldEvents);

async function pausedReader(this: World): Promise<void> {
  const world = this;
  const go = begin(this, { events: true });
  function came(): boolean {
    return world.events.get(go)!.length > 2;
  }
  await settled(came);
  this.links.pause(go);
}
When("a work runs as a series of events and its reader pauses", pausedReader);

async function heldUp(this: World): Promise<void> {
  const world = this;
  let before = -1;
  let calm = 0;
  function holds(): boolean {
    calm = world.held === before ? calm + 1 : 0;
    before = world.held;
    return calm >= 4;
  }
  await settled(holds);
  this.works = this.events.get(1)!.length;
}
Then("the runner is held up", heldUp);

function goesOn(this: World): void {
  this.links.resume(1);
}
When("the reader goes on", goesOn);

async function moreCome(this: World): Promise<void> {
  const world = this;
  function holds(): boolean {
    return world.events.get(1)!.length > world.works + 10;
  }
  await settled(holds);
}
Then("more events come", moreCome);

async function givenUp(this: World): Promise<void> {
  const world = this;
  function holds(): boolean {
    return world.inquiries === 1;
  }
  await settled(holds);
  this.links.abandon(1);
}
When("it is given up", givenUp);

async function runsWith(this: World, body: string, name: string, value: string): Promise<void> {
  await over(
    this,
    begin(this, {}, { body: Buffer.from(body), headers: ["Host", "shop.example", name, value] }),
  );
}
When("a work runs with the body {string} and the header {string} {string}", runsWith);

function sawText(this: World, first: string, second: string, third: string): void {
  const text = this.read[0]!;
  ok(text.startsWith(first) && text.includes(`\r\n${second}\r\n`) && text.endsWith(third), text);
  ok(text.includes("Host: shop.example") || text.includes("host: shop.example"), text);
}
Then("the runner read {string}, {string} and {string}", sawText);
