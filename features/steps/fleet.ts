import { deepEqual, equal, ok } from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { After, Given, Then, When, setDefaultTimeout } from "@cucumber/cucumber";
import { Fleet, type Answer } from "@chutewick/fleet";
import { request } from "undici";

/** ms. A bound for a fleet that hangs; steps wait on what they ask for. */
setDefaultTimeout(90_000);

export const firmConfiguration = {
  models: {
    reader: { adapters: ["customs"], bucket: { tokens: 100, windowSeconds: 1, capacity: 100 } },
  },
  ways: {
    manifest: { kind: "stream", model: "reader" },
    check: { kind: "one-shot", model: "reader" },
    label: { kind: "fetch" },
    slips: { kind: "lot", model: "reader" },
  },
};

interface World {
  fleet: Fleet;
  folder: string;
  lot: string;
  lots: number;
  asked: string[];
  frozen: string;
  emptied: string;
  stream: Promise<{ status: number; text: string }>;
}

interface LotView {
  state: string;
  open: number;
  items: { index: number; state: string; result?: { of: string }[] }[];
}

async function begin(
  world: World,
  access: number,
  modelRunners: number,
  plainRunners: number,
  storage: number,
): Promise<void> {
  world.folder = mkdtempSync(join(tmpdir(), "chutewick-"));
  world.asked = [];
  world.lots = 0;
  world.fleet = new Fleet({
    folder: world.folder,
    access,
    storage,
    modelRunners,
    plainRunners,
    models: ["reader"],
    net: 1,
  });
  await world.fleet.start();
  await world.fleet.ready();
  await world.fleet.startRunners();
}

function aFleet(
  this: World,
  access: number,
  modelRunners: number,
  plainRunners: number,
): Promise<void> {
  return begin(this, access, modelRunners, plainRunners, 3);
}
Given("a fleet with {int} access nodes, {int} model runners and {int} plain runner", aFleet);

function aFleetWithStorage(
  this: World,
  access: number,
  modelRunners: number,
  plainRunners: number,
  storage: number,
): Promise<void> {
  return begin(this, access, modelRunners, plainRunners, storage);
}
Given(
  "a fleet with {int} access nodes, {int} model runners, {int} plain runner and {int} storage machines",
  aFleetWithStorage,
);

async function afterScenario(this: World): Promise<void> {
  if (this.fleet === undefined) return;
  await this.fleet.stop();
  deepEqual(this.fleet.history.judge(), []);
  rmSync(this.folder, { recursive: true, force: true });
}
After(afterScenario);

async function post(
  address: string,
  path: string,
  body: unknown,
): Promise<{ status: number; text: string }> {
  const told = await request(`http://${address}${path}`, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
  });
  return { status: told.statusCode, text: await told.body.text() };
}

async function answered(told: Promise<{ status: number; text: string }>): Promise<Answer> {
  const { status, text } = await told;
  return { status, body: JSON.parse(text) as Record<string, unknown> };
}

async function theConfigurationIsEntered(this: World): Promise<void> {
  const told = await this.fleet.control("PUT", "/configuration", firmConfiguration, 0);
  equal(told.status, 200, JSON.stringify(told.body));
  equal(told.body["mark"], 1);
}
When("the configuration is entered", theConfigurationIsEntered);

/** An honest "try later" is no breach: a lone runner may be unheard of for a moment after its access node was cut off. */
function isNotRun(status: number, text: string): boolean {
  return status === 503 && (JSON.parse(text) as { trouble: string }).trouble === "not-run";
}

async function aOneShotRequestAStreamAnd(this: World): Promise<void> {
  const { fleet, asked } = this;
  for (const address of fleet.http("access")) {
    const prompt = `check ${asked.length}`;
    asked.push(prompt);
    async function checked(): Promise<boolean> {
      const told = await post(address, "/ways/check", { prompt });
      if (isNotRun(told.status, told.text)) return false;
      equal(told.status, 200, told.text);
      deepEqual((JSON.parse(told.text) as { result: unknown }).result, { read: prompt });
      return true;
    }
    await fleet.until("a one-shot inquiry is served", checked);
    let streamed = "";
    async function streams(): Promise<boolean> {
      const told = await post(address, "/ways/manifest", { prompt: "a manifest" });
      if (isNotRun(told.status, told.text)) return false;
      equal(told.status, 200, told.text);
      streamed = told.text;
      return true;
    }
    await fleet.until("a stream is served", streams);
    const numbers: number[] = [];
    for (const found of streamed.matchAll(/^id: (\d+)$/gm)) numbers.push(Number(found[1]));
    deepEqual(numbers, [0, 1, 2, 3, 4, 5, 6, 7]);
    ok(streamed.endsWith('event: close\ndata: {"pieces":8}\n\n'), streamed);
    async function fetches(): Promise<boolean> {
      const told = await request(`http://${address}/ways/label/depot/7`);
      const text = await told.body.text();
      if (isNotRun(told.statusCode, text)) return false;
      equal(told.statusCode, 200, text);
      ok(text.startsWith("label for /depot/7\n"));
      return true;
    }
    await fleet.until("a fetch is served", fetches);
  }
}
Then("a one-shot inquiry, a stream and a fetch are served whole", aOneShotRequestAStreamAnd);

async function handIn(world: World): Promise<void> {
  const { fleet } = world;
  world.lots += 1;
  const key = `lot ${world.lots}`;
  const items: unknown[] = [];
  for (let index = 0; index < 20; index += 1) items.push({ key, slip: index });
  async function accepted(): Promise<boolean> {
    const told = await fleet.history.lot(key, { kind: "admit" }, () =>
      answered(post(fleet.http("access")[0]!, "/lots/slips", { key, items })),
    );
    if (told.status !== 202) return false;
    world.lot = told.body["lot"] as string;
    return true;
  }
  await fleet.until("a lot is accepted", accepted);
}

async function finished(world: World): Promise<void> {
  const { fleet } = world;
  const key = `lot ${world.lots}`;
  let view: LotView | undefined;
  async function done(): Promise<boolean> {
    const told = await fleet.history.lot(key, { kind: "read", from: 0 }, async () => {
      const { statusCode, body } = await request(
        `http://${fleet.http("access")[1]!}/lots/${world.lot}`,
      );
      return { status: statusCode, body: (await body.json()) as Record<string, unknown> };
    });
    if (told.status !== 200) return false;
    view = told.body as unknown as LotView;
    return view.state === "done";
  }
  await fleet.until("the lot is done", done, 60_000);
  const indexes: number[] = [];
  for (const item of view!.items) {
    indexes.push(item.index);
    equal(item.state, "solved");
    for (const piece of item.result!)
      ok(piece.of.startsWith(`${world.lot}/${item.index}/`), `${piece.of} for item ${item.index}`);
  }
  deepEqual(indexes, [...Array(20).keys()]);
}

async function aLotOfFinishesWithEachItem(this: World): Promise<void> {
  await handIn(this);
  await finished(this);
}
Then("a lot of 20 finishes with each item once", aLotOfFinishesWithEachItem);

async function theOwnerOfTheQueueIsKilled(this: World): Promise<void> {
  const status = await this.fleet.control("GET", "/status");
  const view = (status.body["queues"] as Record<string, { members: { identity: string }[] }>)[
    "reader"
  ]!;
  await handIn(this);
  await this.fleet.kill(nameOf(view.members[0]!.identity));
}
When("the owner of the queue is killed with -9 while a lot of 20 runs", theOwnerOfTheQueueIsKilled);

async function thatLotFinishesWithEachItemOnce(this: World): Promise<void> {
  await finished(this);
}
Then("that lot finishes with each item once", thatLotFinishesWithEachItemOnce);

async function theHeadOfTheControlChainIs(this: World): Promise<void> {
  const status = await this.fleet.control("GET", "/status");
  const view = status.body["view"] as { members: { identity: string }[] };
  await this.fleet.kill(nameOf(view.members[0]!.identity));
}
When("the head of the control chain is killed with -9", theHeadOfTheControlChainIs);

async function aChangeOfTheConfigurationIsConfirmed(this: World): Promise<void> {
  const { fleet } = this;
  const alive = fleet.http("control").length;
  let at = 0;
  async function confirmed(): Promise<boolean> {
    at += 1;
    try {
      const told = await fleet.control(
        "PATCH",
        "/configuration",
        { ways: { check: { labels: { tried: String(at) } } } },
        undefined,
        at % alive,
        3_000,
      );
      return told.status === 200;
    } catch {
      return false;
    }
  }
  await fleet.until("a change is confirmed", confirmed);
}
Then("a change of the configuration is confirmed again", aChangeOfTheConfigurationIsConfirmed);

function noOneShotRequestRanTwice(this: World): void {
  const runs = new Map<string, number>();
  for (const runner of this.fleet.runners)
    for (const run of runner.runs)
      if (typeof run.prompt === "string" && run.prompt.startsWith("check "))
        runs.set(run.prompt, (runs.get(run.prompt) ?? 0) + 1);
  equal(runs.size, this.asked.length);
  for (const [prompt, count] of runs) equal(count, 1, prompt);
}
Then("no one-shot inquiry ran twice", noOneShotRequestRanTwice);

function accessIsCutOff(this: World): void {
  this.fleet.relay.cut(this.fleet.machine("access-2").host);
}
When("access-2 is cut off from every other machine", accessIsCutOff);

async function accessTellsNotRun(this: World): Promise<void> {
  const { fleet, asked } = this;
  const address = fleet.machine("access-2").http;
  async function refuses(): Promise<boolean> {
    const prompt = `check ${asked.length}`;
    const told = await request(`http://${address}/ways/check`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ prompt }),
    });
    const text = await told.body.text();
    if (told.statusCode === 200) {
      asked.push(prompt);
      return false;
    }
    equal(told.statusCode, 503, text);
    equal((JSON.parse(text) as { trouble: string }).trouble, "not-run");
    ok(Number(told.headers["retry-after"]) >= 1);
    return true;
  }
  await fleet.until("the cut off node takes no new work", refuses);
}
Then(
  "access-2 tells callers not-run, with a time to come back, and nothing of it runs",
  accessTellsNotRun,
);

function allLinksAreMended(this: World): void {
  this.fleet.relay.mend();
}
When("all links are mended", allLinksAreMended);

async function storageLosesItsDisk(this: World): Promise<void> {
  await handIn(this);
  await this.fleet.kill("storage-1");
  this.fleet.wipe("storage-1");
  this.fleet.launch("storage-1");
}
When("storage-1 loses its disk while a lot of 20 runs and comes back empty", storageLosesItsDisk);

async function threeCopiesStand(this: World): Promise<void> {
  const { fleet } = this;
  async function safe(): Promise<boolean> {
    return (await fleet.control("GET", "/status")).body["safeToLoseOne"] === true;
  }
  await fleet.until("three whole copies stand", safe);
}
Then("three whole copies of every queue stand again", threeCopiesStand);

async function theHeadIsFrozen(this: World): Promise<void> {
  const status = await this.fleet.control("GET", "/status");
  const view = status.body["view"] as { members: { identity: string }[] };
  this.frozen = nameOf(view.members[0]!.identity);
  this.fleet.freeze(this.frozen);
}
When("the head of the control chain is frozen", theHeadIsFrozen);

function theFrozenIsWoken(this: World): void {
  this.fleet.wake(this.frozen);
}
When("the frozen machine is woken", theFrozenIsWoken);

async function itNeverTellsTheOldMark(this: World): Promise<void> {
  const { fleet } = this;
  const place = Number(this.frozen.split("-")[1]) - 1;
  const newest = Number(
    (await fleet.control("GET", "/configuration", undefined, undefined, (place + 1) % 3)).body[
      "mark"
    ],
  );
  async function tells(): Promise<boolean> {
    const told = await fleet.control("GET", "/configuration", undefined, undefined, place);
    if (told.status !== 200) return false;
    ok(Number(told.body["mark"]) >= newest, `${String(told.body["mark"])} after ${newest}`);
    return true;
  }
  await fleet.until("the woken machine answers", tells);
}
Then("it never again tells the mark from before", itNeverTellsTheOldMark);

async function theOwnerIsEmptied(this: World): Promise<void> {
  await handIn(this);
  const status = await this.fleet.control("GET", "/status");
  const { identity } = (
    status.body["queues"] as Record<string, { members: { identity: string }[] }>
  )["reader"]!.members[0]!;
  const told = await this.fleet.chutewick(["machine", "empty", identity]);
  equal(told.code, 0, told.trouble);
  this.emptied = identity;
}
When("the owner of the queue is emptied while a lot of 20 runs", theOwnerIsEmptied);

async function itHoldsNoQueue(this: World): Promise<void> {
  const { fleet, emptied } = this;
  async function empty(): Promise<boolean> {
    const { body } = await fleet.control("GET", "/status");
    return (
      (body["emptying"] as Record<string, { queuesLeft: number }>)[emptied]?.queuesLeft === 0 &&
      body["safeToLoseOne"] === true
    );
  }
  await fleet.until("the machine is empty", empty);
}
Then(
  "it holds no queue any more, and three whole copies of every queue stand again",
  itHoldsNoQueue,
);

function nameOf(identity: string): string {
  return identity.split("-").slice(0, 2).join("-");
}

let ended: number | null = null;

async function thatMachineIsToldToStop(this: World): Promise<void> {
  ended = await this.fleet.kill(nameOf(this.emptied), "SIGTERM");
}
When("that machine is told to stop", thatMachineIsToldToStop);

function itEndsWithNought(): void {
  equal(ended, 0);
}
Then("it ends with 0", itEndsWithNought);

/** Begins a stream at access-1 that a runner is at work on. */
async function aStreamBegins(world: World): Promise<void> {
  const { fleet } = world;
  const address = fleet.machine("access-1").http;
  async function begun(): Promise<boolean> {
    const running = post(address, "/ways/manifest", { prompt: { pieces: 60, pieceMs: 30 } });
    const first = await Promise.race([running, opened()]);
    if (first !== undefined && first.status !== 200) return false;
    world.stream = running;
    return true;
  }
  /** The runner has taken the stream. */
  async function opened(): Promise<undefined> {
    await fleet.until("a runner runs it", isRunning);
    return undefined;
  }
  async function isRunning(): Promise<boolean> {
    for (const runner of fleet.runners)
      for (const run of runner.runs)
        if (run.ending === "running" && typeof run.prompt === "object") return true;
    return false;
  }
  await fleet.until("a stream runs", begun);
}

/** The process would end by a signal that it does not take. */
async function settingsChange(this: World): Promise<void> {
  await aStreamBegins(this);
  this.fleet.machine("access-1").child!.kill("SIGHUP");
  const { status, text } = await this.stream;
  equal(status, 200);
  ok(text.endsWith('event: close\ndata: {"pieces":60}\n\n'), text.slice(-120));
}
When(
  "an access node hears of changed settings while a stream runs, the stream ends whole",
  settingsChange,
);

function nodeGoesOn(this: World): void {
  const { child } = this.fleet.machine("access-1");
  equal(child!.exitCode, null);
  equal(child!.signalCode, null);
}
Then("the node goes on", nodeGoesOn);

async function anAccessNodeIsToldToStop(this: World): Promise<void> {
  await aStreamBegins(this);
  ended = await this.fleet.kill("access-1", "SIGTERM");
}
When("an access node is told to stop while a stream runs", anAccessNodeIsToldToStop);

async function theStreamEndsWhole(this: World): Promise<void> {
  const { status, text } = await this.stream;
  equal(status, 200);
  ok(text.endsWith('event: close\ndata: {"pieces":60}\n\n'), text.slice(-120));
  equal(ended, 0);
}
Then("the stream ends whole and the node ends with 0", theStreamEndsWhole);

interface Metrics {
  first_result_seconds: Record<string, { count: number; within: Record<string, number> }>;
  results_total: Record<string, number>;
  sync_seconds: Record<string, { count: number }>;
  queues?: Record<string, { owner: boolean; unconfirmed: number }>;
}

async function everyProcessTellsMetrics(this: World): Promise<void> {
  const { fleet, asked } = this;
  let requests = 0;
  let owners = 0;
  for (const kind of ["control", "storage", "access"] as const) {
    for (const address of fleet.http(kind)) {
      const told = (await (await request(`http://${address}/metrics`)).body.json()) as Metrics;
      if (kind !== "access") ok(told.sync_seconds["all"]!.count > 0, `${address} synced nothing`);
      for (const queue of Object.values(told.queues ?? {})) if (queue.owner) owners += 1;
      for (const [name, count] of Object.entries(told.results_total))
        if (name === "event=inquiry.arrived,status=200") requests += count;
      const first = told.first_result_seconds["event=inquiry.arrived"];
      if (kind === "access")
        ok(first !== undefined && first.count === first.within["+Inf"], `${address} timed nothing`);
    }
  }
  /** At each access node a one-shot request and a stream. */
  equal(requests, asked.length * 2);
  equal(owners, 2);
}
Then(
  "every process tells its metrics, and they agree with what was served",
  everyProcessTellsMetrics,
);
