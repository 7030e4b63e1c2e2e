import { deepEqual, equal, ok } from "node:assert/strict";
import { Given, Then, When, type DataTable } from "@cucumber/cucumber";
import { openRaw, requestOf } from "./calls-raw.js";
import { configure, host, type World } from "./calls-world.js";

/** Steps of features/tenants.feature on real sockets: what callers send of themselves, and what runners are told. */

function theSubscribers(this: World, table: DataTable): void {
  const subscribers: { name: string; credentials: string[] }[] = [];
  for (const { name, key } of table.hashes())
    subscribers.push({ name: name!, credentials: [key!] });
  configure(this, undefined, subscribers);
}
Given("the subscribers", theSubscribers);

function noSubscribers(this: World): void {
  configure(this, undefined);
}
Given("a configuration without subscribers", noSubscribers);

async function callsWith(this: World, route: string, table: DataTable): Promise<void> {
  const raw = await openRaw(this);
  const headers = ["Content-Length: 2"];
  for (const [name, value] of table.raw()) headers.push(`${name}: ${value}`);
  raw.socket.write(requestOf(this, route, headers));
}
When("a caller calls {string} with the headers", callsWith);

/** Values of a header in the only request that a runner read. */
function toldValues(world: World, name: string): string[] {
  const heads = [...world.runners[0]!.heads.values()];
  equal(heads.length, 1);
  const values: string[] = [];
  for (const line of heads[0]!.split("\r\n").slice(1)) {
    const [left, right] = line.split(": ");
    if (left!.toLowerCase() === name.toLowerCase()) values.push(right!);
  }
  return values;
}

function wasTold(this: World, first: string, second: string, missing: string): void {
  for (const line of [first, second]) {
    const [name, value] = line.split(": ");
    ok(value !== undefined, line);
    deepEqual(toldValues(this, name!), [value]);
  }
  deepEqual(toldValues(this, missing), []);
}
Then("the runner was told {string} alone and {string} alone, and no {string}", wasTold);

function askedForLots(this: World, table: DataTable): void {
  const expected: unknown[] = [];
  for (const { lot, credential } of table.hashes())
    expected.push({ lot, host, credential: credential === "" ? undefined : credential });
  deepEqual(this.node.lotCalls, expected);
}
Then("the node was asked for the lots", askedForLots);
