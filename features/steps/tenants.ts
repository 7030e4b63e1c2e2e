/** Steps of features/tenants.feature on the relay in virtual time (docs/design.md §13.10). */
import { deepEqual, equal } from "node:assert/strict";
import { Given, Then, When, type DataTable } from "@cucumber/cucumber";
import type { Configuration } from "@chutewick/control";
import { host, latestOf, takeOutputs, type World as RelayWorld } from "./relay.js";
import { requestOf } from "./relay-requests.js";

type Tenants = NonNullable<Configuration["tenants"]>;

interface World extends RelayWorld {
  tenantReads: number;
}

/** Enters the next version. */
function enter(world: World, tenants: Tenants | undefined): void {
  const { mark, value } = world.known.configuration;
  const { tenants: _before, ...rest } = value;
  world.known.configuration = {
    mark: mark + 1,
    value: { ...rest, ...(tenants === undefined ? {} : { tenants }) },
  };
}

function theTenants(this: World, table: DataTable): void {
  const tenants: Tenants = {};
  for (const { name, credentials, rank } of table.hashes())
    tenants[name!] = {
      credentials: credentials!.split(", "),
      ...(rank === "" ? {} : { rank: Number(rank) }),
    };
  enter(this, tenants);
}
Given("the tenants", theTenants);

function noTenants(this: World): void {
  enter(this, undefined);
}
Given("the configuration has no tenants", noTenants);

function arrive(world: World, id: string, path: string, credential: string | undefined): void {
  const request = requestOf(id, host, path, { credential });
  takeOutputs(world, world.core.arrive(id, request, world.now));
}

function arrives(this: World, id: string, path: string, credential: string): void {
  arrive(this, id, path, credential === "" ? undefined : credential);
}
When("{string} arrives at {string} with the credential {string}", arrives);

function runsFor(this: World, id: string, tenant: string): void {
  deepEqual(latestOf(this, id).work.tenancy, { tenant });
}
Then("{string} runs for the tenant {string}", runsFor);

function runsForWithRank(this: World, id: string, tenant: string, rank: number): void {
  runsFor.call(this, id, tenant);
  equal(latestOf(this, id).work.rank, rank);
}
Then("{string} runs for the tenant {string} with rank {int}", runsForWithRank);

function runsForNone(this: World, id: string): void {
  deepEqual(latestOf(this, id).work.tenancy, { tenant: undefined });
}
Then("{string} runs for no tenant", runsForNone);

function runsAsItCame(this: World, id: string): void {
  equal(latestOf(this, id).work.tenancy, undefined);
}
Then("{string} runs as it came", runsAsItCame);

function wereCounted(this: World, count: number): void {
  equal(this.core.counts.passUnauthorized, count);
}
Then("{int} request(s) was/were counted as unauthorized", wereCounted);

function countedTenants(this: World, count: number): void {
  const tenants: Tenants = {};
  for (let number = 0; number < count; number += 1)
    tenants[`t-${number}`] = { credentials: [`c-${number}`] };
  this.tenantReads = 0;
  const ownKeys = (target: Tenants): string[] => {
    this.tenantReads += 1;
    return Object.keys(target);
  };
  enter(this, new Proxy(tenants, { ownKeys }));
}
Given("{int} tenants, of which each reading is counted", countedTenants);

function manyArrive(this: World, count: number, path: string): void {
  this.arrived = [];
  for (let number = 0; number < count; number += 1) {
    const id = `t-${number}`;
    this.arrived.push(id);
    arrive(this, id, path, `c-${number}`);
    /** Their seats are free again for the next. */
    takeOutputs(this, this.core.callerLeft(id, this.now));
  }
}
When("{int} requests arrive at {string}, each with a credential of another tenant", manyArrive);

function wereRead(this: World, times: number): void {
  equal(this.tenantReads, times);
}
Then("the tenants were read {int} time(s)", wereRead);

function eachRanForItsTenant(this: World): void {
  for (const id of this.arrived) runsFor.call(this, id, id);
}
Then("each of the requests ran for its tenant", eachRanForItsTenant);
