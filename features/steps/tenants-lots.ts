/** Steps of features/tenants.feature on lots: the machine of a queue, and a simulated fleet (docs/design.md §13.10). */
import { deepEqual, equal, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { AccessOutput, LotCall } from "@chutewick/data";
import type { QueueResult, Tenancy } from "@chutewick/parts";
import { PassPlay, type Fault } from "@chutewick/simulator";
import { apply, submission, type World } from "./passlot.js";

function lotOfIsHandedIn(this: World, lot: string, tenant: string, size: string): void {
  const [items, tokens] = size.split(" items of ");
  const command = submission(lot, Number(items), Number(tokens), this.allowance);
  this.told.push(apply(this, { ...command, tenant }));
}
When(/^the lot "(\w)" of "(\w+)" with (\d+ items of \d+) tokens is handed in$/, lotOfIsHandedIn);

function nextRunsFor(this: World, tenant: string | undefined): void {
  const told = apply(this, { kind: "draw", holder: "node", most: 1, able: ["slips"] });
  ok(told.kind === "DRAWN", told.kind);
  deepEqual([told.tasks.length, told.tasks[0]?.tenant], [1, tenant]);
}
function nextRunsForNobody(this: World): void {
  nextRunsFor.call(this, undefined);
}
Then("the next prompt runs for {string}", nextRunsFor);
Then("the next prompt runs for nobody", nextRunsForNobody);

function endsTheLot(this: World, tenant: string, lot: string): void {
  this.told.push(apply(this, { kind: "end", lot, reader: { tenant } }));
}
When("{string} ends the lot {string}", endsTheLot);

function nothingUnfinished(this: World): void {
  deepEqual([...this.machine.passQueue.activePassages()], []);
}
Then("no passage has anything unfinished", nothingUnfinished);

/** What a reader is told of the list of a lot, and of the body of its first item. */
function readBoth(world: World, lot: string, reader: Tenancy | undefined): QueueResult["kind"][] {
  const who = reader === undefined ? {} : { reader };
  const list = apply(world, { kind: "results", lot, from: 0, ...who });
  const body = apply(world, { kind: "read-item", lot, item: `${lot}-0`, ...who });
  return [list.kind, body.kind];
}

function strangersSeeNothing(this: World, tenant: string, lot: string): void {
  for (const reader of [{ tenant }, { tenant: undefined }]) {
    deepEqual(readBoth(this, lot, reader), ["UNKNOWN_LOT", "UNKNOWN_LOT"]);
    const read = { kind: "results", lot, from: 0, reader } as const;
    ok(this.machine.passQueue.canAnswerRead(this.ledger, read));
  }
}
Then(
  "{string} and callers without a tenant are told UNKNOWN_LOT of {string}, and a held read is told at once",
  strangersSeeNothing,
);

function reads(this: World, tenant: string, lot: string): void {
  deepEqual(readBoth(this, lot, { tenant }), ["RESULTS", "BODY"]);
}
Then("{string} reads the list and a body of {string}", reads);

function earlierReleaseReads(this: World, lot: string): void {
  deepEqual(readBoth(this, lot, undefined), ["RESULTS", "BODY"]);
}
Then("a reader of an earlier release reads the list and a body of {string}", earlierReleaseReads);

interface PlayWorld {
  plays: PassPlay[];
  play: PassPlay;
  outputs: AccessOutput[];
}

/** The sum of a count over all plays. */
function total(plays: readonly PassPlay[], name: string): number {
  let sum = 0;
  for (const { counts } of plays) sum += counts[name] ?? 0;
  return sum;
}

function tenantsArePlayed(this: PlayWorld, named: string, first: string, last: string): void {
  const faults = named.split(", ") as Fault[];
  this.plays = [];
  for (let seed = Number(first); seed <= Number(last); seed += 1) {
    const options = { seed, stormy: 14_000, calm: 20_000, allowance: 500, lotEvery: 300 };
    this.plays.push(new PassPlay({ ...options, faults, tenants: true }).run());
  }
  for (const fault of faults) ok(total(this.plays, `fault ${fault}`) > 0, fault);
}
When(
  /^lots of tenants are played under ([a-z, -]+) with seeds (\d+) to (\d+)$/,
  { timeout: 120_000 },
  tenantsArePlayed,
);

function breaksNoRule(this: PlayWorld): void {
  const found: string[] = [];
  for (const { options, violations } of this.plays)
    for (const violation of violations) found.push(`seed ${options.seed}: ${violation}`);
  deepEqual(found.slice(0, 5), []);
  for (const name of ["renewals", "stranger missing", "stranger unauthorized", "hand-in refused"])
    ok(total(this.plays, name) > 0, name);
}
Then(
  "credentials were renewed, strangers asked, and what callers and runners saw breaks no rule",
  breaksNoRule,
);

/** ms. Until the fleet has its configuration and leases, and until a lease is surely gone. */
const FLEET_STANDS_AT = 6_500;
const LEASE_GONE_AFTER = 10_000;

function aNodeInAFleet(this: PlayWorld): void {
  const options = { seed: 5, stormy: 0, calm: 0, faults: [], access: 1, tenants: true };
  this.play = new PassPlay(options);
  this.play.begin();
  this.play.world.run(FLEET_STANDS_AT);
}
Given("a node that holds a lease in a fleet with tenants", aNodeInAFleet);

function isCutOff(this: PlayWorld): void {
  const { world } = this.play;
  world.isolate("access-1");
  world.run(world.now + LEASE_GONE_AFTER);
}
Given("the node is cut off until its lease is gone", isCutOff);

function lotsWithoutCredential(this: PlayWorld): void {
  const { world, accesses } = this.play;
  const { lots } = accesses[0]!.core;
  const call: LotCall = { lot: "l", host: "hub.example", credential: undefined };
  const handedIn = { ...call, path: "/slips/x", entries: [] };
  this.outputs = [
    ...lots.submit("t-1", handedIn, world.now),
    ...lots.read("t-2", call, { from: 0, hold: 0 }, world.now),
    ...lots.item("t-3", call, "i", world.now),
    ...lots.end("t-4", call, world.now),
  ];
}
When(
  "lots are handed in, read, looked into and ended there without a credential",
  lotsWithoutCredential,
);

function toldKinds(world: PlayWorld): string[] {
  const kinds: string[] = [];
  for (const output of world.outputs) if (output.kind === "lot-told") kinds.push(output.told.kind);
  equal(kinds.length, 4);
  return kinds;
}

function eachIsTold(this: PlayWorld, kind: string): void {
  deepEqual(new Set(toldKinds(this)), new Set([kind]));
}
Then("each of these callers is told {string}", eachIsTold);

function nobodyCanSay(this: PlayWorld): void {
  deepEqual(toldKinds(this), ["refused", "later", "later", "later"]);
}
Then("each of these callers is told that nobody can say it now", nobodyCanSay);
