import { equal, ok } from "node:assert/strict";
import { createServer } from "node:net";
import { After, Given, Then, When, type DataTable } from "@cucumber/cucumber";
import { Client } from "undici";
import { AccessNode } from "./calls-node.js";
import { aStandIn, cardOf, faults, listening } from "./calls-runner.js";
import { configure, host, runsOf, type World } from "./calls-world.js";

/** Steps of features/calls.feature: the node, faults of runners, and callers through an HTTP client. */

async function freePort(): Promise<number> {
  const server = createServer();
  const port = await listening(server);
  function ending(resolve: () => void): void {
    server.close(resolve);
  }
  await new Promise<void>(ending);
  return port;
}

async function anAccessNode(this: World, count: number, table: DataTable): Promise<void> {
  this.answers = [];
  this.raws = [];
  this.revision = 0;
  this.broken = 0;
  this.calls = 0;
  this.routes = [];
  for (const row of table.hashes())
    this.routes.push({
      name: row["name"],
      host,
      pathPrefix: row["path"],
      routeType: row["kind"],
      guardMs: 900,
      targetMs: 200,
      precedence: 0,
      service: "printer",
      maxAttempts: Number(row["attempts"]),
    });
  this.runners = [];
  this.node = new AccessNode(await freePort());
  for (let index = 1; index <= count; index += 1) {
    const runner = await aStandIn(index);
    this.runners.push(runner);
    this.node.known.cards.push(cardOf(runner));
  }
  configure(this, undefined);
  await this.node.open();
}
Given("an access node with {int} runners and the routes", anAccessNode);

async function stopped(this: World): Promise<void> {
  if (this.runners === undefined) return;
  for (const { socket } of this.raws) socket.destroy();
  for (const runner of this.runners) {
    for (const socket of runner.sockets) socket.destroy();
    runner.server.close();
  }
  await this.node?.close();
}
After(stopped);

function strikes(world: World, does: string, every: number): void {
  const fault = faults[does];
  ok(fault !== undefined, does);
  for (const runner of world.runners) {
    runner.fault = fault;
    runner.every = every;
  }
}

function strikesSecond(this: World, does: string): void {
  strikes(this, does, 2);
}
Given(/^both runners (.*) at every second call on a kept connection$/, strikesSecond);

function holdAnswers(this: World): void {
  for (const runner of this.runners) runner.holds = true;
}
Given("the runners hold their answers", holdAnswers);

function takeTime(this: World, span: number): void {
  for (const runner of this.runners) runner.takes = span;
}
Given("the runners take {int} ms for each call", takeTime);

/** Calls of one caller in turn on one connection, which is opened anew after a failure. */
async function callInTurn(
  world: World,
  count: number,
  route: string,
  idOf: (call: number) => string,
): Promise<void> {
  const client = new Client(`http://127.0.0.1:${world.node.port}`, { pipelining: 1 });
  for (let index = 0; index < count; index += 1) {
    world.calls += 1;
    const path = `/${route}/${world.calls}`;
    const id = idOf(world.calls);
    const headers = { host, "chutewick-attempt-id": id, "chutewick-remaining-ms": "5000" };
    try {
      const told = await client.request({ method: "POST", path, headers, body: "{}" });
      world.answers.push({ id, path, status: told.statusCode, body: await told.body.text() });
    } catch {
      world.broken += 1;
    }
  }
  await client.destroy();
}

interface Load {
  readonly callers: number;
  /** Of each caller, in turn. */
  readonly calls: number;
  readonly route: string;
}

async function callersCall(
  world: World,
  { callers, calls, route }: Load,
  idOf: (call: number) => string,
): Promise<void> {
  const all: Promise<void>[] = [];
  for (let index = 0; index < callers; index += 1) all.push(callInTurn(world, calls, route, idOf));
  await Promise.all(all);
}

function ownId(call: number): string {
  return `call-${call}`;
}

/** Few ids for many callers, so that most are under way more than once at a time. */
function sharedId(call: number): string {
  return `shared-${call % 2}`;
}

async function callersMake(
  this: World,
  callers: number,
  calls: number,
  route: string,
): Promise<void> {
  await callersCall(this, { callers, calls, route }, ownId);
}
When("{int} callers make {int} calls each on {string}", { timeout: 60_000 }, callersMake);

async function callersShare(
  this: World,
  callers: number,
  calls: number,
  route: string,
): Promise<void> {
  await callersCall(this, { callers, calls, route }, sharedId);
}
When(
  "{int} callers make {int} calls each on {string}, all with ids that other callers use at the same time",
  { timeout: 60_000 },
  callersShare,
);

function struck(this: World, least: number): void {
  let count = 0;
  for (const runner of this.runners) count += runner.strikes;
  ok(count >= least, `the fault struck ${count} calls`);
}
Then("the fault struck {int} calls or more", struck);

function ownAnswers(this: World): void {
  let served = 0;
  for (const { id, path, status, body } of this.answers) {
    if (status !== 200) continue;
    served += 1;
    equal(body, `${id} ${path}`);
  }
  ok(served >= 10, `${served} calls were served`);
}
Then("every answer is that of its own call", ownAnswers);

function ranAtMost(this: World, most: number): void {
  for (const [id, count] of runsOf(this)) ok(count <= most, `${id} ran ${count} times`);
}

function ranOnce(this: World): void {
  ranAtMost.call(this, 1);
}
Then("no call ran twice", ranOnce);
Then("no call ran on more than {int} runners", ranAtMost);

const promises = new Set([408, 421, 429, 503]);

function keptPromises(this: World): void {
  const runs = runsOf(this);
  for (const { id, status } of this.answers)
    if (promises.has(status)) equal(runs.get(id) ?? 0, 0, `${id} was answered ${status} and ran`);
}
Then("no call that was promised not to run has run", keptPromises);

function ownPaths(this: World): void {
  ownAnswers.call(this);
}
Then("every answer is that of its own path", ownPaths);
