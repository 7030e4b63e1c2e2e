import { deepEqual, equal } from "node:assert/strict";
import type { ChildProcess } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { waitUntil } from "@chutewick/shell";
import { request } from "undici";
import { firstDocument as document } from "../system/document.js";
import { startMachine, type Machine, type MachineClass } from "../system/machine.js";
import { eventsOf, StandInRunner } from "../system/stand-in-runner.js";

interface System {
  readonly folder: string;
  readonly machines: Machine[];
  readonly runners: StandInRunner[];
  beat: NodeJS.Timeout | undefined;
}

interface World {
  system?: System;
  document: string;
  frozen: FrozenCalls;
  read: unknown;
  drained: StandInRunner;
  stream: Promise<{ status: number; text: string }>;
}

/** Second number of the loopback addresses. */
const net = 9;
const controls = 3;
const bound = 20_000;

async function until(what: string, holds: () => Promise<boolean>): Promise<void> {
  const last = performance.now() + bound;
  let done = false;
  let busy = false;
  function look(): boolean {
    if (performance.now() > last) throw new Error(`not in time: ${what}`);
    if (!busy && !done) {
      busy = true;
      function told(value: boolean): void {
        done = value;
        busy = false;
      }
      function failed(): void {
        busy = false;
      }
      holds().then(told, failed);
    }
    return done;
  }
  await waitUntil(look);
}

function start(system: System, kind: MachineClass, index: number): void {
  const { folder } = system;
  system.machines.push(startMachine({ folder, net, kind, index, isInitialStart: true }));
}

async function startRunner(system: System, index: number, service: string): Promise<void> {
  const runner = new StandInRunner({ net, index, service, controls });
  await runner.start();
  system.runners.push(runner);
}

async function aSystem(
  this: World,
  cores: number,
  stores: number,
  accesses: number,
  models: number,
  plains: number,
): Promise<void> {
  const system: System = {
    folder: mkdtempSync(join(tmpdir(), "chutewick-platform-")),
    machines: [],
    runners: [],
    beat: undefined,
  };
  this.system = system;
  for (let index = 1; index <= cores; index += 1) start(system, "core", index);
  for (let index = 1; index <= stores; index += 1) start(system, "storage", index);
  for (let index = 1; index <= accesses; index += 1) start(system, "access", index);
  for (let index = 1; index <= models; index += 1) await startRunner(system, index, "reader");
  for (let index = 1; index <= plains; index += 1)
    await startRunner(system, models + index, "printer");
  function beat(): void {
    for (const runner of system.runners) runner.report().catch(ignored);
  }
  system.beat = setInterval(beat, 400);
}
Given(
  "a system of {int} core, {int} storage and {int} access machines with {int} model runners and {int} plain runner",
  { timeout: 30_000 },
  aSystem,
);

function ignored(): void {
  // The next report goes to the next machine.
}

async function order(body: string, base: number, core = 1): Promise<number> {
  const told = await request(`http://127.9.1.${core}:8146/chutewick/configuration/replace`, {
    method: "POST",
    headers: { "chutewick-base-revision": String(base), "content-type": "application/json" },
    body,
  });
  await told.body.dump();
  return told.statusCode;
}

async function firstDocument(this: World): Promise<void> {
  this.document = JSON.stringify(document);
  const { document: body } = this;
  async function taken(): Promise<boolean> {
    return (await order(body, 0)) === 200;
  }
  await until("the first document is taken", taken);
}
When(
  "the first document is sent to a core machine until it is taken",
  { timeout: 30_000 },
  firstDocument,
);

async function ask(
  node: number,
  method: "GET" | "POST" | "DELETE",
  path: string,
  headers: Record<string, string> = {},
  body?: string,
): Promise<{ status: number; text: string; stamp: string | undefined }> {
  const told = await request(`http://127.9.3.${node}:8144${path}`, {
    method,
    headers: { host: "shop.example", ...headers },
    body,
  });
  return {
    status: told.statusCode,
    text: await told.body.text(),
    stamp: told.headers["chutewick-answer-seal"] as string | undefined,
  };
}

async function areReady(): Promise<void> {
  for (const node of [1, 2]) {
    async function ready(): Promise<boolean> {
      const told = await request(`http://127.9.3.${node}:8140/chutewick/readiness`);
      await told.body.dump();
      return told.statusCode === 200;
    }
    await until(`access machine ${node} is ready`, ready);
  }
}
Then("the access machines say that they are ready", { timeout: 30_000 }, areReady);

let tries = 0;

function live(): Record<string, string> {
  tries += 1;
  return {
    "chutewick-attempt-id": `t${tries}`,
    "chutewick-remaining-ms": "4000",
    "chutewick-model": "m",
    "chutewick-token-count": "20,5",
    "chutewick-prompt-prefix": "aa:10,bb:10",
  };
}

async function safeAnswered(): Promise<void> {
  async function served(): Promise<boolean> {
    const headers = live();
    const told = await ask(1, "POST", "/labels/7?x=1", headers, "{}");
    if (told.status !== 200) return false;
    deepEqual(
      [told.text, told.stamp],
      ["label /labels/7?x=1", `seal-${headers["chutewick-attempt-id"]}`],
    );
    return true;
  }
  await until("a safe request is served", served);
}
Then(
  "a safe request is answered with the runner's bytes and stamp",
  { timeout: 30_000 },
  safeAnswered,
);

async function streamWhole(): Promise<void> {
  async function served(): Promise<boolean> {
    const told = await ask(2, "POST", "/notes/1", live(), "read this");
    if (told.status !== 200) return false;
    equal(told.text, eventsOf("/notes/1"));
    return true;
  }
  await until("a stream is served", served);
}
Then("a stream comes whole, event by event", { timeout: 30_000 }, streamWhole);

const lotId = "7c41e09b52d6a3f8";

interface LotRead {
  readonly total: number;
  readonly nextToken: number;
  readonly results: readonly { instanceId: string; state: string; text: string }[];
}

async function readLot(node: number): Promise<LotRead> {
  const told = await ask(node, "GET", `/chutewick/lots/${lotId}?startToken=0`);
  equal(told.status, 200);
  return JSON.parse(told.text) as LotRead;
}

async function lotEnds(this: World): Promise<void> {
  const entries: unknown[] = [];
  for (let index = 0; index < 6; index += 1) {
    entries.push({
      instanceId: `item-${index}`,
      path: `/slips/${index}`,
      headers: { "Chutewick-Model": "m", "Chutewick-Token-Count": "40,5" },
      body: Buffer.from(`slip ${index}`).toString("base64"),
      tokens: 45,
    });
  }
  const body = JSON.stringify({ entries });
  const headers = { "chutewick-attempt-id": lotId, "content-type": "application/json" };
  async function taken(): Promise<boolean> {
    return (await ask(1, "POST", `/slips/${lotId}`, headers, body)).status === 202;
  }
  await until("the lot is taken", taken);
  equal(
    (await ask(2, "POST", `/slips/${lotId}`, headers, body)).status,
    202,
    "taken once, and told again",
  );
  async function ended(): Promise<boolean> {
    return (await readLot(2)).results.length === 6;
  }
  await until("every item is listed", ended);
  const [first, second] = [await readLot(1), await readLot(2)];
  deepEqual(first, second);
  this.read = first;
  const seen = new Set<string>();
  for (const { instanceId, state, text } of first.results) {
    seen.add(instanceId);
    equal(state, "completed");
    const path = `/slips/${instanceId.slice(5)}`;
    const pieces: string[] = [];
    for (let index = 0; index < 5; index += 1) pieces.push(`piece ${index} of ${path}`);
    equal(text, pieces.join("\n"));
  }
  deepEqual([seen.size, first.total, first.nextToken], [6, 6, 6]);
}
Then(
  "a lot of 6 items ends with every item once, in an order that does not change",
  { timeout: 40_000 },
  lotEnds,
);

/** Guards against issue 50: one such read ended the storage machine that owns the queue. */
async function badPositions(this: World, positions: string): Promise<void> {
  for (const position of positions.split(" ")) {
    const path = `/chutewick/lots/${lotId}?startToken=${position}`;
    for (const node of [1, 2]) equal((await ask(node, "GET", path)).status, 400, position);
  }
  for (const { name, ended } of this.system!.machines) equal(ended, undefined, name);
  deepEqual(await readLot(1), this.read);
}
Then(
  "reads of the lot from each of {string} are answered 400, and every machine goes on",
  badPositions,
);

/** Guards against issue 50: such calls got no answer. */
async function oddIds(malformed: string, unknown: string): Promise<void> {
  for (const id of malformed.split(" "))
    for (const action of ["report", "deregister"]) equal(await callForRunner(id, action), 400, id);
  for (const id of unknown.split(" ")) equal(await callForRunner(id, "deregister"), 200, id);
}
Then(
  "calls for runners of the ids {string} are answered 400, and to end those of {string} 200",
  { timeout: 60_000 },
  oddIds,
);

/** Calls control as a runner does, and returns the status. */
async function callForRunner(id: string, action: string): Promise<number> {
  const told = await request(`http://127.9.1.1:8146/chutewick/instances/${id}/${action}`, {
    method: "POST",
    body: "{}",
    headersTimeout: 4_000,
  });
  await told.body.dump();
  return told.statusCode;
}

async function unknownPath(): Promise<void> {
  equal((await ask(1, "POST", "/nowhere/1", live(), "x")).status, 404);
}
Then("a request nobody has a route for is answered 404", unknownPath);

async function ownStatus(this: World): Promise<void> {
  const told = (await (await request("http://127.9.1.1:7661/status")).body.json()) as {
    nodes: unknown[];
    runners: unknown[];
  };
  deepEqual([told.nodes.length, told.runners.length], [6, 3]);
  const metrics = await request("http://127.9.3.1:7661/metrics");
  equal(metrics.statusCode, 200);
  await metrics.body.dump();
}
Then("our own status tells the nodes and runners", ownStatus);

let said: number[] = [];

async function sentAgain(this: World): Promise<void> {
  const newer = this.document.replace('"revision":5', '"revision":9');
  said = [
    await order(this.document, 0, 2),
    await order(newer, 3, 3),
    await order(newer.slice(0, 200), 5),
  ];
}
When("the same document is sent again", { timeout: 20_000 }, sentAgain);

function isAnswered(): void {
  deepEqual(said, [200, 412, 400]);
}
Then("it is answered 200, and an older base 412, and a cut one 400", isAnswered);

async function drains(this: World): Promise<void> {
  const [runner] = this.system!.runners as [StandInRunner, ...StandInRunner[]];
  runner.state = "draining";
  this.drained = runner;
  async function acknowledged(): Promise<boolean> {
    return (await runner.report()) === 200;
  }
  await until("the goodbye is acknowledged", acknowledged);
}
When("a runner says that it is draining", { timeout: 30_000 }, drains);

async function reachesNoMore(this: World): Promise<void> {
  const before = this.drained.ran.length;
  for (let count = 0; count < 20; count += 1)
    equal((await ask(1 + (count % 2), "POST", `/notes/${count}`, live(), "x")).status, 200);
  equal(this.drained.ran.length, before);
}
Then("no request reaches it any more", { timeout: 20_000 }, reachesNoMore);

async function toldToStop(this: World): Promise<void> {
  const system = this.system!;
  const stopped = system.machines.find(isNamed, { name: "access-a-2" })!;
  const ran = system.runners[1]!.ran;
  const before = ran.length;
  this.stream = ask(2, "POST", "/notes/slow", live(), "x");
  async function runs(): Promise<boolean> {
    return Promise.resolve(ran.length > before);
  }
  await until("the stream runs", runs);
  stopped.child.kill("SIGTERM");
}
When("an access machine is told to stop while a stream runs", { timeout: 20_000 }, toldToStop);

async function stoppedWhole(this: World): Promise<void> {
  const { status, text } = await this.stream;
  deepEqual([status, text], [200, eventsOf("/notes/slow")]);
  const stopped = this.system!.machines.find(isNamed, { name: "access-a-2" })!;
  async function ended(): Promise<boolean> {
    return Promise.resolve(stopped.ended !== undefined);
  }
  await until("the process ends", ended);
  equal(stopped.ended, 0);
}
Then(
  "the stream of the stopped machine comes whole, and it ends with 0",
  { timeout: 30_000 },
  stoppedWhole,
);

function isNamed(this: { name: string }, machine: Machine): boolean {
  return machine.name === this.name;
}

async function toBeEmptied(): Promise<void> {
  const told = await request("http://127.9.1.2:8146/chutewick/retire/storage-a-1/begin", {
    method: "POST",
    body: JSON.stringify({ withinS: 10 }),
  });
  await told.body.dump();
  equal(told.statusCode, 200);
  const unknown = await request("http://127.9.1.2:8146/chutewick/retire/storage-z-9/begin", {
    method: "POST",
    body: "{}",
  });
  await unknown.body.dump();
  equal(unknown.statusCode, 404);
}
When("a storage machine is to be emptied", { timeout: 20_000 }, toBeEmptied);

async function turnsCompleted(this: World): Promise<void> {
  async function completed(): Promise<boolean> {
    const told = await request("http://127.9.1.3:8146/chutewick/retire/storage-a-1/read");
    return ((await told.body.json()) as { state: string }).state === "completed";
  }
  await until("the machine is empty", completed);
  this.system!.machines.find(isNamed, { name: "storage-a-1" })!.child.kill("SIGKILL");
  const before = JSON.stringify(this.read);
  async function same(): Promise<boolean> {
    return JSON.stringify(await readLot(1)) === before;
  }
  await until("the lot is read as before", same);
}
Then(
  "its state turns to completed, and the lot is read as before",
  { timeout: 40_000 },
  turnsCompleted,
);

/** What callers saw of calls that may run once. */
interface FrozenCalls {
  readonly answers: { id: string; path: string; status: number; text: string }[];
  sent: number;
  underWay: number;
  /** Calls sent whose connection broke. */
  broken: number;
  freezes: number;
  /** Freezes in which runners reset connections with calls of the access machine under way. */
  strikes: number;
}

/** ms. Of each freeze in turn: below and above what this process takes for a sleep, and past a runner's time for idle connections. */
const freezes = [20, 60, 120, 250, 450, 700, 1_100, 30, 90, 160, 500, 5_300];
const calling = 8;

async function callUntil(calls: FrozenCalls, isOver: () => boolean): Promise<void> {
  while (!isOver()) {
    const headers = live();
    const id = headers["chutewick-attempt-id"]!;
    const path = `/pay/${id}`;
    calls.sent += 1;
    calls.underWay += 1;
    try {
      const { status, text } = await ask(1, "POST", path, headers, "{}");
      calls.answers.push({ id, path, status, text });
    } catch {
      calls.broken += 1;
    }
    calls.underWay -= 1;
  }
}

async function pause(span: number): Promise<void> {
  const from = performance.now();
  function passed(): boolean {
    return performance.now() - from >= span;
  }
  await waitUntil(passed);
}

/** The runners lose their connections while the machine is frozen: it wakes to a silence, a reset and unread bytes at once. */
async function freezeInTurn(
  calls: FrozenCalls,
  child: ChildProcess,
  runners: readonly StandInRunner[],
): Promise<void> {
  for (const span of freezes) {
    await pause(150 + ((calls.sent * 7) % 40));
    calls.freezes += 1;
    child.kill("SIGSTOP");
    let underWay = 0;
    for (const runner of runners) underWay += runner.underWay;
    if (underWay > 0) calls.strikes += 1;
    for (const { server } of runners) server.closeAllConnections();
    await pause(span);
    child.kill("SIGCONT");
  }
}

async function frozenWhileCalling(this: World, count: number): Promise<void> {
  const calls: FrozenCalls = {
    answers: [],
    sent: 0,
    underWay: 0,
    broken: 0,
    freezes: 0,
    strikes: 0,
  };
  this.frozen = calls;
  const { child } = this.system!.machines.find(isNamed, { name: "access-a-1" })!;
  async function served(): Promise<boolean> {
    const headers = live();
    const path = `/pay/${headers["chutewick-attempt-id"]}`;
    return (await ask(1, "POST", path, headers, "{}")).status === 200;
  }
  await until("a call is served", served);
  let over = false;
  function isOver(): boolean {
    return over;
  }
  const callers: Promise<void>[] = [];
  for (let index = 0; index < calling; index += 1) callers.push(callUntil(calls, isOver));
  await freezeInTurn(calls, child, this.system!.runners);
  await pause(300);
  over = true;
  await Promise.all(callers);
  equal(calls.freezes, count);
}
When(
  "callers send calls that may run once, while the access machine is frozen {int} times and the runners reset its connections",
  { timeout: 90_000 },
  frozenWhileCalling,
);

function metCalls(this: World, least: number): void {
  const { strikes } = this.frozen;
  equal(strikes >= least, true, `${strikes} freezes met calls at runners`);
}
Then("in {int} freezes or more runners reset connections with calls under way", metCalls);

const promises = new Set([408, 421, 429, 503]);

function answeredAsOwn(this: World): void {
  const runs = new Map<string, number>();
  for (const { ran } of this.system!.runners)
    for (const id of ran) runs.set(id, (runs.get(id) ?? 0) + 1);
  for (const [id, count] of runs) equal(count, 1, `${id} ran ${count} times`);
  let served = 0;
  for (const { id, path, status, text } of this.frozen.answers) {
    if (promises.has(status)) equal(runs.get(id), undefined, `${id}: ${status}, and it ran`);
    if (status !== 200) continue;
    served += 1;
    equal(text, `label ${path}`);
  }
  equal(served >= 100, true, `${served} calls were served`);
}
Then(
  "each call was answered as its own, ran once at most, and not where the answer promised so",
  answeredAsOwn,
);

async function spoilt(this: World): Promise<void> {
  const system = this.system!;
  const { child, name } = system.machines.find(isNamed, { name: "access-a-1" })!;
  const path = join(system.folder, `${name}.json`);
  writeFileSync(path, "{ half of a file");
  await pause(300);
  child.kill("SIGHUP");
  rmSync(path);
  await pause(300);
  child.kill("SIGHUP");
  await pause(100);
}
When("its settings file is spoilt without a signal, and with one", spoilt);

async function servesOn(this: World): Promise<void> {
  const headers = live();
  const path = `/pay/${headers["chutewick-attempt-id"]}`;
  equal((await ask(1, "POST", path, headers, "{}")).status, 200);
  equal(this.system!.machines.find(isNamed, { name: "access-a-1" })!.ended, undefined);
}
Then("the access machine serves on", servesOn);

function ended(this: World): void {
  const { system } = this;
  if (system === undefined) return;
  clearInterval(system.beat);
  for (const { child } of system.machines) child.kill("SIGKILL");
  for (const runner of system.runners) runner.stop();
  rmSync(system.folder, { recursive: true, force: true });
}
After(ended);
