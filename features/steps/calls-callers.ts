import { deepEqual, equal, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { waitUntil } from "@chutewick/shell";
import { answersIn, areHeld, openRaw, passes, release, requestOf } from "./calls-raw.js";
import { configure, runsOf, type World } from "./calls-world.js";

/** Steps of features/calls.feature: callers that send half a request, two at once or what is none, or that reset. */

function limitHeaders(this: World, headerGuardMs: number): void {
  configure(this, { headerGuardMs });
}
Given("callers may take {int} ms for the headers", limitHeaders);

async function sendsThen(this: World, route: string, more: string): Promise<void> {
  const raw = await openRaw(this);
  raw.socket.write(requestOf(this, route));
  await areHeld(this, 1);
  raw.socket.write(more.replaceAll("\\r", "\r").replaceAll("\\n", "\n"));
}
When("a caller sends a call on {string} and then {string}", sendsThen);

const badChunk = ["Transfer-Encoding: chunked"];

async function sendsThenBadChunk(this: World, route: string): Promise<void> {
  const raw = await openRaw(this);
  raw.socket.write(requestOf(this, route));
  await areHeld(this, 1);
  raw.socket.write(requestOf(this, route, badChunk, "zz\r\n{}\r\n0\r\n\r\n"));
}
When("a caller sends a call on {string} and then a call with a bad chunk", sendsThenBadChunk);

async function readAndAnswered(this: World): Promise<void> {
  await afterAnswered.call(this, 60);
}
When("the node has read all of it, and the runners answer", readAndAnswered);

async function afterAnswered(this: World, span: number): Promise<void> {
  await passes(span);
  release(this);
}
When("{int} ms pass, and the runners answer", afterAnswered);

async function isClosed(world: World): Promise<void> {
  function closed(): boolean {
    return world.raw.closed;
  }
  await waitUntil(closed);
}

async function readsOne(this: World): Promise<void> {
  await isClosed(this);
  const found = answersIn(this.raw.text);
  deepEqual([found.length, found[0]?.status, found[0]?.body], [1, 200, "call-1 /pay/1"]);
}
Then("the caller reads one answer, the runner's, and the end of the connection", readsOne);

async function readsThenRefused(this: World): Promise<void> {
  await isClosed(this);
  const statuses: number[] = [];
  for (const { status } of answersIn(this.raw.text)) statuses.push(status);
  deepEqual(statuses, [200, 400]);
  equal(answersIn(this.raw.text)[0]!.body, "call-1 /pay/1");
}
Then(
  "the caller reads the runner's answer, then 400, and the end of the connection",
  readsThenRefused,
);

async function sendsAlone(this: World, text: string): Promise<void> {
  const raw = await openRaw(this);
  raw.socket.write(text.replaceAll("\\r", "\r").replaceAll("\\n", "\n"));
}
When("a caller sends {string} alone", sendsAlone);

async function readsStatusAndEnd(this: World, status: number): Promise<void> {
  await isClosed(this);
  const found = answersIn(this.raw.text);
  deepEqual([found.length, found[0]?.status], [1, status]);
}
Then("the caller reads {int}, and the end of the connection", readsStatusAndEnd);

function ran(world: World): number {
  let count = 0;
  for (const each of runsOf(world).values()) count += each;
  return count;
}

function noneRan(this: World): void {
  equal(ran(this), 0);
}
Then("no call ran", noneRan);

function oneRan(this: World): void {
  equal(ran(this), 1);
}
Then("one call ran", oneRan);

const ambiguous: Readonly<Record<string, readonly [headers: readonly string[], body: string]>> = {
  "a length and chunks together": [
    ["Content-Length: 4", "Transfer-Encoding: chunked"],
    "2\r\n{}\r\n0\r\n\r\n",
  ],
  "two lengths": [["Content-Length: 2", "Content-Length: 4"], "{}"],
  "a chunk size that is no number": [["Transfer-Encoding: chunked"], "0x2\r\n{}\r\n0\r\n\r\n"],
  "a coding folded over two lines": [
    ["Content-Length: 4", "Transfer-Encoding:\r\n chunked"],
    "2\r\n{}\r\n0\r\n\r\n",
  ],
  "a space before the colon": [["Content-Length : 2"], "{}"],
  "a coding after chunked": [["Transfer-Encoding: chunked, identity"], "2\r\n{}\r\n0\r\n\r\n"],
  "two hosts": [["Content-Length: 2", "Host: other.example"], "{}"],
  "two ids": [["Content-Length: 2", "Chutewick-Attempt-Id: other"], "{}"],
};

async function sendsAmbiguous(this: World, what: string): Promise<void> {
  const raw = await openRaw(this);
  const [headers, body] = ambiguous[what]!;
  raw.socket.write(requestOf(this, "pay", headers, body));
}
When(
  /^a caller sends ((?:a|two) (?:length|lengths|chunk|coding|space|hosts|ids).*)$/,
  sendsAmbiguous,
);

async function readsFirst(this: World, status: number): Promise<void> {
  const { raw } = this;
  function came(): boolean {
    return raw.text.includes("\r\n\r\n") || raw.closed;
  }
  await waitUntil(came);
  equal(Number(/^HTTP\/1\.1 (\d{3})/.exec(raw.text)?.[1]), status, raw.text);
}
Then("the caller reads {int} first", readsFirst);

async function sendsTwoAndResets(this: World, route: string): Promise<void> {
  const raw = await openRaw(this);
  raw.socket.write(requestOf(this, route) + requestOf(this, route));
  await areHeld(this, 2);
  raw.socket.resetAndDestroy();
}
When("a caller sends two calls on {string} at once and resets its connection", sendsTwoAndResets);

async function runnersReset(this: World): Promise<void> {
  const { runners } = this;
  function reset(): boolean {
    let count = 0;
    for (const { resets } of runners) count += resets;
    return count === 2;
  }
  await waitUntil(reset);
}
Then("both runners' connections are reset", runnersReset);

function nothingUnderWay(this: World): void {
  equal(this.node.relay.requestCount, 0);
}
Then("nothing is under way at the node", nothingUnderWay);

/** Calls in turn on raw connections, of which every so many are reset while their call runs. */
async function callAndReset(world: World, count: number, route: string): Promise<void> {
  let raw = await openRaw(world);
  for (let index = 1; index <= count; index += 1) {
    const request = requestOf(world, route);
    const call = world.calls;
    raw.text = "";
    raw.socket.write(request);
    const isReset = index % 4 === 0;
    const { text: _none, ...held } = raw;
    const id = `call-${call}`;
    function ready(): boolean {
      return isReset ? runsOf(world).has(id) : raw.text.includes(`${id} /`) || raw.closed;
    }
    await waitUntil(ready);
    if (!isReset) {
      ok(!held.closed, "the node closed a connection in use");
      const [told] = answersIn(raw.text);
      world.answers.push({
        id,
        path: `/${route}/${call}`,
        status: told!.status,
        body: told!.body,
      });
      continue;
    }
    if (raw.text === "") world.broken += 1;
    raw.socket.resetAndDestroy();
    raw = await openRaw(world);
  }
  raw.socket.destroy();
}

async function callAndResetAll(
  this: World,
  callers: number,
  calls: number,
  route: string,
): Promise<void> {
  const all: Promise<void>[] = [];
  for (let index = 0; index < callers; index += 1) all.push(callAndReset(this, calls, route));
  await Promise.all(all);
}
When(
  "{int} callers make {int} calls each on {string}, and reset every fourth",
  { timeout: 60_000 },
  callAndResetAll,
);

function wereReset(this: World, least: number): void {
  ok(this.broken >= least, `${this.broken} calls were reset while they ran`);
}
Then("{int} calls or more were reset while they ran", wereReset);
