/** Steps on links to runners, with scripted runners on real sockets (docs/design.md §13.6). */
import { equal, ok } from "node:assert/strict";
import { createServer, type AddressInfo, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import {
  EventBudget,
  PassageRunnerConnections,
  ServerSentEvent,
  nativeProtocol,
  type PassageRequest,
  type PassageWork,
} from "@chutewick/data";
import { monotonicNow, waitUntil } from "@chutewick/shell";
import { requestOf } from "./relay-requests.js";
import { scripts, type World } from "./runner-scripts.js";

/** Megabytes that the process of the links may use. */
const memoryMb = 200;

function reset(world: World, does: string): void {
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
  world.now = 0;
}

/** Hands each whole request on a connection to the script. */
function readRequests(world: World, socket: Socket, index: number): void {
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
  socket.on("data", came);
}

function listen(world: World, does: string): Promise<void> {
  function accept(socket: Socket): void {
    const index = world.sockets.push(socket) - 1;
    world.read[index] = "";
    if (does === "reads nothing for now") socket.pause();
    else readRequests(world, socket, index);
    socket.on("error", ignored);
  }
  world.server = createServer(accept);
  function start(resolve: () => void): void {
    function up(): void {
      const { port } = world.server.address() as AddressInfo;
      world.address = `127.0.0.1:${port}`;
      if (does === "is gone") world.server.close();
      resolve();
    }
    world.server.listen(0, "127.0.0.1", up);
  }
  return new Promise<void>(start);
}

function aRunner(this: World, does: string): Promise<void> {
  const world = this;
  reset(world, does);
  world.eventBudget = new EventBudget(memoryMb);
  world.links = new PassageRunnerConnections({
    dialect: nativeProtocol,
    mayStart: () => world.look,
    told: (go, event) => world.events.get(go)!.push(event),
    share: () => world.share,
    now: () => world.now,
    eventBudget: world.eventBudget,
  });
  return listen(world, does);
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
  this.now += span;
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
  await waitUntil(accepted);
  const from = monotonicNow();
  function written(): boolean {
    return monotonicNow() - from > 100;
  }
  await waitUntil(written);
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
  await waitUntil(isEnded);
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
  more: Partial<PassageWork> = {},
  request: Partial<PassageRequest> = {},
): number {
  world.works += 1;
  const go = world.works;
  world.events.set(go, []);
  world.links.run(go, world.address, {
    request: requestOf(`w-${go}`, "shop.example", "/run/x?y=1", request),
    runner: "r1",
    rank: 1,
    until: world.now + 20_000,
    resumeAfter: undefined,
    events: false,
    repeatable: false,
    tenancy: undefined,
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
  return waitUntil(holds);
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
    if (index > 0) this.now += span;
    await over(this, begin(this));
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
  await waitUntil(holds);
}
Then("the runner's connection is ended", isEnded);

async function asEvents(this: World): Promise<void> {
  await over(this, begin(this, { events: true }));
}
When("a work runs as a series of events", asEvents);

function toldEvents(this: World, from: number, to: number): void {
  const found: ServerSentEvent[] = [];
  for (const each of this.events.get(1)!)
    if (each.kind === "event") found.push(each as unknown as ServerSentEvent);
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
  await waitUntil(came);
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
  await waitUntil(holds);
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
  await waitUntil(holds);
}
Then("more events come", moreCome);

async function givenUp(this: World): Promise<void> {
  const world = this;
  function holds(): boolean {
    return world.inquiries === 1;
  }
  await waitUntil(holds);
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

function wasTooLarge(this: World): void {
  const last = this.events.get(1)!.at(-1)!;
  equal(last.kind, "broken");
  equal(this.links.counts.oversizedEvents, 1);
  equal(this.eventBudget.bytes, 0);
}
Then("the work is broken as its event is too large, and nothing of it is kept", wasTooLarge);
