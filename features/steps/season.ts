import { deepEqual, equal, match, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { calendars, configuration, type Calendar } from "@chutewick/control";
import {
  Ledger,
  QueueMachine,
  type QueueCommand,
  type QueueResult,
  type ShareClass,
} from "@chutewick/parts";
import type { Fleet } from "@chutewick/fleet";
import { request } from "undici";

interface World {
  fleet: Fleet;
  calendar: Calendar;
  start: number;
  end: number;
  reason: string;
  ledger: Ledger;
  machine: QueueMachine;
  now: number;
  results: QueueResult[];
  popped: Extract<QueueResult, { kind: "TAKEN" }>[];
  told: Record<string, unknown>;
}

function theCalendar(
  this: World,
  calendar: string,
  zone: string,
  lastsMinutes: number,
  start: string,
  end: string,
): void {
  this.calendar = { calendar, zone, lastsMinutes };
  [this.start, this.end] = [Date.parse(start), Date.parse(end)];
}
Given(
  "the calendar {string} in {string} for {int} minutes between {string} and {string}",
  theCalendar,
);

function theNextWindowsAre(this: World, at: string, windows: string): void {
  const found: string[] = [];
  for (const { start, end } of calendars.windows(
    this.calendar,
    this.start,
    this.end,
    Date.parse(at),
  ))
    found.push(`${minute(start)}/${minute(end)}`);
  equal(found.join(" "), windows);
}
Then("at {string} the next windows are {string}", theNextWindowsAre);

function minute(moment: number): string {
  return `${new Date(moment).toISOString().slice(0, 16)}Z`;
}

function aSeasonIsChecked(this: World, calendar: string, zone: string, lastsMinutes: number): void {
  const season = {
    start: "2026-12-01T00:00:00Z",
    end: "2026-12-31T00:00:00Z",
    select: [{ label: "model", equals: "reader" }],
    waiting: 5,
    calendar,
    zone,
    lastsMinutes,
  };
  const checked = configuration.check({ models: {}, ways: {}, seasons: { s: season } });
  ok(!checked.ok, "it was taken");
  this.reason = checked.reason;
}
When(
  "a season with the calendar {string} in {string} for {int} minutes is checked",
  aSeasonIsChecked,
);

function itIsRefusedWith(this: World, says: string): void {
  ok(this.reason.startsWith(says), this.reason);
}
Then("it is refused with {string}", itIsRefusedWith);

function apply(world: World, command: QueueCommand): QueueResult {
  world.now += 1;
  const result = world.machine.apply(world.ledger, command, world.now);
  world.ledger.drainChanges();
  return result;
}

const night: ShareClass = {
  season: "night",
  select: [{ label: "shift", equals: "night" }],
  runners: [{ label: "pool", equals: "big" }],
  share: 10,
};
const flood: ShareClass = {
  season: "flood",
  select: [{ label: "model", equals: "reader" }],
  runners: [],
  share: 20,
};

function limitTo(world: World, mark: number, classes: readonly ShareClass[]): void {
  equal(
    apply(world, {
      kind: "limit",
      limits: { tokens: 1_000, windowSeconds: 1, capacity: 1_000 },
      share: 30,
      mark,
      classes,
    }).kind,
    "DONE",
  );
}

function aQueueWithSeasons(this: World): void {
  this.ledger = new Ledger();
  this.machine = new QueueMachine();
  this.machine.rebuild(this.ledger);
  this.now = 0;
  this.results = [];
  this.popped = [];
  limitTo(this, 1, [night, flood]);
}
Given(
  /^a queue where season "night" selects shift=night and may hold 10, and season "flood" selects model=reader and may hold 20$/,
  aQueueWithSeasons,
);

function handIn(world: World, lot: string, count: number, shift: string): QueueResult {
  const result = apply(world, {
    kind: "admit",
    lot,
    way: "slips",
    body: lot,
    prompts: Array<string>(count).fill("slip"),
    labels: { shift, model: "reader" },
    lasts: 600_000,
    allowance: 1_000,
  });
  world.results.push(result);
  return result;
}

function lotsAreHandedIn(
  this: World,
  count: number,
  first: string,
  second: string,
  third: string,
): void {
  for (const [place, shift] of [first, second, third].entries())
    handIn(this, `lot-${place}`, count, shift);
}
When(
  /^lots of (\d+) items with shift=(\w+), with shift=(\w+) and with shift=(\w+) are handed in$/,
  lotsAreHandedIn,
);

function theResultsTell(this: World, wanted: string): void {
  const found: string[] = [];
  for (const [place, result] of this.results.entries()) {
    const season =
      result.kind === "FULL"
        ? result.season
        : this.ledger.read<{ season: string }>(`lot/lot-${place}`)!.season;
    found.push(`${result.kind} ${season}`);
  }
  equal(found.join(", "), wanted);
}
Then("the results tell {string}", theResultsTell);

function popAll(world: World, unable: string[]): void {
  for (;;) {
    const result = apply(world, { kind: "pop", holder: "dispatcher", unable });
    if (result.kind !== "TAKEN") break;
    world.popped.push(result);
  }
}

function popsWhileUnable(this: World, season: string): void {
  popAll(this, [season]);
}
When("prompts are popped while the runners of {string} have no room", popsWhileUnable);

function popsAgain(this: World): void {
  popAll(this, []);
}
When(/^the runners of "night" have room again$/, popsAgain);

function allComeInOrder(this: World, count: number, season: string): void {
  const indexes: number[] = [];
  for (const taken of this.popped.slice(-count)) {
    equal(taken.season, season);
    indexes.push(taken.index);
  }
  deepEqual(indexes, [...Array(count).keys()]);
}
Then("all {int} of {string} come first, in their order", allComeInOrder);
Then("all {int} of {string} follow, in their order", allComeInOrder);

/** What was popped came back with its dispatcher. */
function theSeasonCloses(this: World): void {
  for (const { lot, index, go } of this.popped)
    apply(this, {
      kind: "record",
      lot,
      index,
      go,
      ending: lot === "lot-1" ? { kind: "solved", result: [] } : { kind: "broken" },
    });
  limitTo(this, 2, [flood]);
}
When(/^"night" closes while 10 of its items wait$/, theSeasonCloses);

function theyWeighOn(this: World, season: string, more: number): void {
  deepEqual(Object.fromEntries(this.machine.openItemsBySeason()), { [season]: 10 });
  equal(handIn(this, "lot-3", more, "day").kind, "ADMITTED");
  equal(handIn(this, "lot-4", 1, "day").kind, "FULL");
}
Then("they weigh on {string}, which takes {int} more and no 11th", theyWeighOn);

const season = {
  start: "2026-01-01T00:00:00Z",
  end: "2099-01-01T00:00:00Z",
  select: [{ label: "shift", equals: "night" }],
  waiting: 60,
};

async function aSeasonIsPreviewed(this: World): Promise<void> {
  const told = await this.fleet.control("POST", "/seasons/preview", season);
  equal(told.status, 200, JSON.stringify(told.body));
  this.told = told.body;
}
When("a season over shift=night is previewed", aSeasonIsPreviewed);

function thePreviewNames(this: World): void {
  const { queues, ways, warnings } = this.told as {
    queues: Record<string, { lots: string; runners: string[] }>;
    ways: string[];
    warnings: string[];
  };
  deepEqual(Object.keys(queues).sort(), ["reader", "reader.customs"]);
  equal(queues["reader"]!.runners.length, 2);
  deepEqual(ways, ["slips"]);
  match(warnings[0]!, /select: .*label shift; only lots that bring it/);
}
Then(
  "the preview names the queues, ways and runners, and warns that only lots can bring the label",
  thePreviewNames,
);

async function theSeasonIsEntered(this: World): Promise<void> {
  const told = await this.fleet.control("PATCH", "/configuration", { seasons: { night: season } });
  equal(told.status, 200, JSON.stringify(told.body));
  this.told = told.body;
}
When("that season is entered with a label that nothing carries", theSeasonIsEntered);

function inForceWithWarning(this: World): void {
  equal(this.told["mark"], 2);
  match((this.told["warnings"] as string[])[0]!, /^seasons\.night\.select/);
}
Then("the change is in force with a warning", inForceWithWarning);

async function explained(world: World, shift: string): Promise<Record<string, unknown>> {
  let body: Record<string, unknown> = {};
  async function asked(): Promise<boolean> {
    const told = await world.fleet.control(
      "GET",
      `/seasons/explain?way=slips&labels=shift=${shift}`,
    );
    equal(told.status, 200, JSON.stringify(told.body));
    body = told.body;
    return (body["shareOfThisQueue"] as number) > 0 && (body["runners"] as string[]).length === 2;
  }
  await world.fleet.until(`shift=${shift} is explained`, asked);
  return body;
}

async function explainedBySeason(this: World): Promise<void> {
  const told = await explained(this, "night");
  equal(told["season"], "night");
  equal(told["allowance"], 60);
  equal(told["nextChange"], "2099-01-01T00:00:00.000Z");
  match(String(told["why"]), /season night is the only open one/);
}
Then(
  "a lot that brings shift=night is explained by that season, with allowance, runners, next change and why",
  explainedBySeason,
);

async function explainedByNone(this: World): Promise<void> {
  const told = await explained(this, "day");
  equal(told["season"], null);
  match(String(told["why"]), /no season selects these labels/);
}
Then("a lot that brings shift=day is explained by no season", explainedByNone);

async function lotsAreJudged(this: World, tooMany: number, few: number): Promise<void> {
  const address = this.fleet.http("access")[0]!;
  for (const [count, status] of [
    [tooMany, 429],
    [few, 202],
  ] as const) {
    const body = JSON.stringify({
      key: `of ${count}`,
      items: Array<number>(count).fill(1),
      labels: { shift: "night" },
    });
    const told = await request(`http://${address}/lots/slips`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body,
    });
    equal(told.statusCode, status, await told.body.text());
  }
}
Then(
  "a lot of {int} items with shift=night is refused, and one of {int} is accepted",
  lotsAreJudged,
);
