import { equal, ok } from "node:assert/strict";
import { connect } from "node:net";
import { Given, Then, When } from "@cucumber/cucumber";
import { waitUntil } from "@chutewick/shell";
import { answersIn, areHeld, openRaw, passes, release, requestOf } from "./calls-raw.js";
import { configure, type World } from "./calls-world.js";

/** Steps of features/calls.feature: limits of a configuration on what callers send and how long they rest. */

async function exchange(world: World): Promise<{ status: number; head: string }> {
  const { raw } = world;
  raw.text = "";
  raw.socket.write(requestOf(world, "pay"));
  function came(): boolean {
    return raw.closed || raw.text.includes(`call-${world.calls} /`);
  }
  await waitUntil(came);
  ok(!raw.closed, "the connection was closed");
  return answersIn(raw.text)[0]!;
}

async function anAnsweredCall(this: World): Promise<void> {
  await openRaw(this);
  equal((await exchange(this)).status, 200);
  this.raw.text = "";
}
Given("a connection on which a call was answered", anAnsweredCall);

function setSizes(this: World, maxHeaderBytes: number, maxBodyBytes: number): void {
  configure(this, { maxHeaderBytes, maxBodyBytes });
}
When("the configuration sets headers of {int} bytes and bodies of {int} bytes", setSizes);

function setRest(this: World, idleGuardMs: number): void {
  configure(this, { idleGuardMs });
}
When("the configuration sets a rest of {int} ms", setRest);

function setNone(this: World): void {
  configure(this, undefined);
}
When("the configuration sets no limits", setNone);

function sendOnOpen(world: World, headers: readonly string[], body: string): void {
  world.raw.text = "";
  world.raw.socket.write(requestOf(world, "pay", headers, body));
}

function sendHeaders(this: World, bytes: number): void {
  sendOnOpen(this, ["Content-Length: 2", `X-Long: ${"x".repeat(bytes)}`], "{}");
}
When("a call with headers of {int} bytes is sent on it", sendHeaders);

async function announceBody(this: World, bytes: number): Promise<void> {
  await openRaw(this);
  sendOnOpen(this, [`Content-Length: ${bytes}`], "");
}
When("a call with a body of {int} bytes is announced, and none of it sent", announceBody);

async function sendChunks(this: World, bytes: number): Promise<void> {
  await openRaw(this);
  const chunk = `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;
  sendOnOpen(this, ["Transfer-Encoding: chunked"], chunk);
}
When("a call with a body of {int} bytes is sent in chunks without an end", sendChunks);

function restIn(text: string): number {
  return Number(/keep-alive: timeout=(\d+)/i.exec(text)?.[1]);
}

async function tellsRest(this: World, rest: number): Promise<void> {
  await openRaw(this);
  equal(restIn((await exchange(this)).head), rest);
}
Then("an answer tells a rest of {int} s", tellsRest);

async function tellsRestAndServes(this: World, rest: number, span: number): Promise<void> {
  await tellsRest.call(this, rest);
  await passes(span);
  equal((await exchange(this)).status, 200);
}
Then(
  "an answer tells a rest of {int} s, and a connection that rested {int} ms is served",
  tellsRestAndServes,
);

async function shorterMeanwhile(this: World, idleGuardMs: number): Promise<void> {
  for (const runner of this.runners) runner.holds = true;
  const raw = await openRaw(this);
  raw.socket.write(requestOf(this, "pay"));
  await areHeld(this, 1);
  configure(this, { idleGuardMs });
  /** Another connection makes the new limits known to the server. */
  const other = connect({ host: "127.0.0.1", port: this.node.port });
  await passes(60);
  other.destroy();
  release(this);
  function came(): boolean {
    return raw.text.includes("call-1 /");
  }
  await waitUntil(came);
}
When(
  "a call begins, the configuration sets a rest of {int} ms, and the call is answered",
  shorterMeanwhile,
);

async function toldAndHolds(this: World, rest: number, span: number): Promise<void> {
  equal(restIn(this.raw.text), rest);
  await passes(span);
  equal((await exchange(this)).status, 200);
}
Then(
  "the answer told a rest of {int} s, and the connection is served after {int} ms",
  toldAndHolds,
);
