/** Steps on orders applied to the replicated records, directly and through the platform adapter's API. */
import { createHash } from "node:crypto";
import { deepEqual, equal, ok } from "node:assert/strict";
import { After, Given, Then, When, type DataTable } from "@cucumber/cucumber";
import {
  ControlStateMachine,
  keys,
  type ControlCommand,
  type ControlApi,
  type ControlOutcome,
  type ControlResult,
  type DrainRecord,
  type ObservedStorage,
  type AcceptedOrdersRecord,
} from "@chutewick/control";
import { Ledger } from "@chutewick/parts";
import { PlatformControlAdapter } from "@chutewick/platform";
import { configurationOf } from "@chutewick/simulator";
import { log } from "@chutewick/shell";
import { request } from "undici";

interface World {
  ledger: Ledger;
  records: ControlStateMachine;
  /** Number of accepted orders, besides those with a key in the scenario. */
  others: number;
  /** Ledger time in ms. */
  time: number;
  front: PlatformControlAdapter | undefined;
  inContact: boolean;
  sight: ObservedStorage;
}

const address = "127.9.77.1:8146";

function put(world: World, key: string, mark: number, expected: number): ControlResult {
  return world.records.apply(
    world.ledger,
    { kind: "put", expected, mark, value: configurationOf(1), origin: key, word: key },
    world.time,
  );
}

function versionInForce(world: World): number {
  const result = world.records.apply(world.ledger, { kind: "read" }, world.time);
  ok(result.kind === "CONFIGURATION");
  return result.mark;
}

function acceptFirst(this: World, key: string): void {
  this.time = 1;
  this.others = 0;
  deepEqual(put(this, key, 1, 0), { kind: "IN_FORCE", mark: 1 });
}
When("the order with key {string} is taken", acceptFirst);

function acceptOthers(this: World, count: number, seconds: number): void {
  this.time ??= 1;
  this.others ??= 0;
  for (let number = 1; number <= count; number += 1) {
    this.time += (seconds * 1_000) / count;
    this.others += 1;
    const mark = versionInForce(this);
    deepEqual(put(this, `other ${this.others}`, mark + 1, mark), {
      kind: "IN_FORCE",
      mark: mark + 1,
    });
  }
}
When("{int} other orders are taken within {int} s", acceptOthers);

function firstIsAcknowledgedAgain(this: World, key: string): void {
  deepEqual(put(this, key, 1, 0), { kind: "IN_FORCE", mark: 1 });
}
Then("the order with key {string} is acknowledged again", firstIsAcknowledgedAgain);

function recordIsBounded(this: World, most: number): void {
  const count = this.ledger.read<AcceptedOrdersRecord>(keys.taken)!.orders.length;
  ok(count <= most, `${count} orders`);
}
Then("the record of orders holds at most {int}", recordIsBounded);

function lastAreAcknowledgedAgain(this: World, count: number): void {
  this.time += 3_600_000;
  for (let number = this.others - count + 1; number <= this.others; number += 1)
    equal(put(this, `other ${number}`, number + 1, number).kind, "IN_FORCE", `other ${number}`);
}
Then("the last {int} of them are acknowledged again", lastAreAcknowledgedAgain);

/** Orders written as "key:version". */
function ordersIn(text: string): { key: string; mark: number }[] {
  const orders: { key: string; mark: number }[] = [];
  for (const each of text.split(", ")) {
    const [key, mark] = each.split(":") as [string, string];
    orders.push({ key, mark: Number(mark) });
  }
  return orders;
}

/** Records of the previous release: its adapter kept orders in the origin, and its own entries have no time. */
function earlierRecords(this: World, text: string): void {
  this.time = 1;
  const taken: [number, string][] = [];
  for (const { key, mark } of ordersIn(text)) taken.push([mark, key]);
  const mark = taken.at(-1)![0];
  const origin = JSON.stringify({ document: { revision: mark }, taken });
  const value = { models: {}, ways: {}, seasons: {} };
  const digest = createHash("sha256").update(origin).digest("base64");
  this.ledger.put(keys.configuration, { mark, value, origin });
  this.ledger.put(keys.taken, { orders: [[mark, digest]] });
}
When("the records are those of an earlier release that took the orders {string}", earlierRecords);

function ordersAreAcknowledgedAgain(this: World, text: string): void {
  let base = 0;
  for (const { key, mark } of ordersIn(text)) {
    deepEqual(put(this, key, mark, base), { kind: "IN_FORCE", mark });
    base = mark;
  }
}
Then("the orders {string} are acknowledged again", ordersAreAcknowledgedAgain);

// The platform adapter's API

/** Adds the observed machines to a command, as the head does before it submits the command. */
function withObservedMachines(world: World, command: ControlCommand): ControlCommand {
  return command.kind === "empty" || command.kind === "emptying"
    ? { ...command, sight: world.sight }
    : command;
}

async function openAdapter(this: World): Promise<void> {
  this.ledger = new Ledger();
  this.records = new ControlStateMachine();
  this.time = 1;
  this.inContact = true;
  this.sight = { machines: [], othersLeast: 1, copiesLeast: 2, copiesWanted: 3 };
  const self = this;
  function isReady(): boolean {
    return true;
  }
  function announce(): "TAKEN" | "NO_QUORUM" {
    return self.inContact ? "TAKEN" : "NO_QUORUM";
  }
  function inquire(command: ControlCommand, callback: (outcome: ControlOutcome) => void): void {
    if (!self.inContact) return callback({ kind: "not-run", reason: "no majority" });
    const value = self.records.apply(self.ledger, withObservedMachines(self, command), self.time);
    callback({ kind: "confirmed", value, place: 1 });
  }
  const desk: ControlApi = { isReady, announce, inquire };
  this.front = new PlatformControlAdapter(
    { control: address },
    log.open("orders", "test", "fatal"),
  );
  await this.front.open(desk);
}
Given("the platform's interface on a control machine's records", openAdapter);

async function closeAdapter(this: World): Promise<void> {
  await this.front?.close();
}
After(closeAdapter);

interface Answer {
  readonly status: number;
  readonly body: Record<string, unknown>;
  readonly retryAfter: number;
}

async function call(method: "GET" | "POST", path: string, body = "", base = ""): Promise<Answer> {
  const response = await request(`http://${address}/chutewick/${path}`, {
    method,
    headers: { "chutewick-base-revision": base, "content-type": "application/json" },
    body: method === "GET" ? undefined : body,
  });
  return {
    status: response.statusCode,
    body: (await response.body.json()) as Record<string, unknown>,
    retryAfter: Number(response.headers["retry-after"] ?? Number.NaN),
  };
}

function documentOf(revision: number, text: string): string {
  const route = {
    name: "notes",
    host: "shop.example",
    pathPrefix: "/notes/",
    routeType: "safe",
    guardMs: 1_000,
    service: "printer",
  };
  const whole = JSON.stringify({
    revision,
    text,
    routes: [route],
    services: [{ name: "printer" }],
  });
  return text === "cut" ? whole.slice(0, -9) : whole;
}

function modificationOf(revision: number, text: string): string {
  return JSON.stringify({ revision, text, upsert: { services: [{ name: text }] } });
}

async function areAnswered(this: World, table: DataTable): Promise<void> {
  for (const { verb, base, revision, text, answer } of table.hashes()) {
    const body =
      verb === "modify"
        ? modificationOf(Number(revision), text!)
        : documentOf(Number(revision), text!);
    const response = await call("POST", `configuration/${verb}`, body, base);
    equal(response.status, Number(answer), `${verb} ${text} on ${base}`);
  }
}
Then("orders are answered:", areAnswered);

async function readHas(this: World, revision: number): Promise<void> {
  const response = await call("GET", "configuration/read");
  deepEqual([response.status, response.body["revision"]], [200, revision]);
}
Then("the document read has revision {int}", readHas);

function loseMajority(this: World): void {
  this.inContact = false;
}
When("the machine reaches no majority", loseMajority);

async function allUnavailable(this: World): Promise<void> {
  const report = JSON.stringify({ service: "printer", address: "10.0.0.1:80" });
  const leaving = JSON.stringify({ service: "printer", address: "10.0.0.1:80", state: "draining" });
  const answers = [
    await call("POST", "configuration/replace", documentOf(30, "new"), "20"),
    await call("POST", "configuration/replace", documentOf(30, "new"), "3"),
    await call("POST", "configuration/modify", modificationOf(30, "new"), "20"),
    await call("GET", "configuration/read"),
    await call("POST", "instances/r-1/report", report),
    await call("POST", "instances/r-1/report", leaving),
    await call("POST", "instances/r-1/deregister", "{}"),
    await call("POST", "retire/nobody/begin", "{}"),
    await call("GET", "retire/nobody/read"),
  ];
  for (const { status, retryAfter } of answers) {
    equal(status, 503);
    ok(retryAfter > 0 && retryAfter <= 1, `retry after ${retryAfter} s`);
  }
}
Then(
  "orders, reads, reports and retirements are answered 503 at once, with when to come back",
  allUnavailable,
);

function storageMachines(this: World, names: string, least: number): void {
  const machines = names.split(", ").map(observedMachine);
  this.sight = { machines, othersLeast: least, copiesLeast: 2, copiesWanted: 3 };
}
Given("storage machines {string} of which {int} must be left", storageMachines);

function observedMachine(name: string): ObservedStorage["machines"][number] {
  return { identity: name, name, leaving: false };
}

async function retirementsAnswered(this: World, table: DataTable): Promise<void> {
  for (const { machine, verb, answer } of table.hashes()) {
    this.time += 10;
    const method = verb === "begin" ? "POST" : "GET";
    const response = await call(method, `retire/${machine}/${verb}`, "{}");
    equal(response.status, Number(answer), `${verb} ${machine}`);
  }
}
Then("retirements are answered:", retirementsAnswered);

function drainStartedOnce(this: World, name: string): void {
  deepEqual(this.ledger.read<DrainRecord>(keys.emptying + name), { since: 21 });
}
Then("emptying {string} began once", drainStartedOnce);
