/** Steps on what the number of runners goes by, from sessions (docs/design.md §14.4). */
import { deepEqual, equal } from "node:assert/strict";
import { Given, Then, type DataTable } from "@cucumber/cucumber";
import { configuration, scalingFactsOf, type ScalingFacts } from "@chutewick/control";
import { Sessions, type RunnerLoad } from "@chutewick/parts";

/** ms */
const NOW = 10_000;
const BOOT = 4_000;

interface World {
  sessions: Sessions;
  ordered: Map<string, Map<string, number>>;
  facts: ScalingFacts;
}

function heardOfRunners(this: World, table: DataTable): void {
  this.sessions = new Sessions();
  this.ordered = new Map();
  for (const row of table.hashes()) {
    const card = {
      id: row["runner"]!,
      incarnation: 1,
      url: `${row["runner"]}:80`,
      kind: "model" as const,
      models: [],
      labels: {},
      seats: Number(row["seats"]),
      zone: row["zone"]!,
      burden: 0,
      pool: row["pool"]!,
      age: 0,
    };
    this.sessions.recordAnnouncement(card, NOW);
  }
}
Given("a control machine that heard of these runners", heardOfRunners);

function heardOfWork(this: World, table: DataTable): void {
  const burdens = new Map<string, RunnerLoad[]>();
  for (const row of table.hashes()) {
    const held = burdens.get(row["node"]!) ?? [];
    burdens.set(row["node"]!, held);
    held.push([row["runner"]!, Number(row["live"]), Number(row["items"])]);
  }
  for (const [identity, loads] of burdens) {
    const card = {
      identity,
      address: `${identity}:1`,
      kind: "access" as const,
      zone: "east",
      http: `${identity}:2`,
      leaving: false,
      free: true,
      place: 1,
      telling: { burdens: loads },
    };
    this.sessions.recordHeartbeat(card, NOW, NOW + 1_000, 0, 0);
  }
}
Given("that heard from these access nodes of work under way", heardOfWork);

function standsOrdered(this: World, count: number, pool: string, zone: string): void {
  this.ordered.set(pool, new Map([[zone, count]]));
}
Given("{int} runners of {string} stand ordered in {string}", standsOrdered);

function factsOf(world: World, pool: string, minimum: number, maximum: number): ScalingFacts {
  const scaling = { minimum, maximum, boot: BOOT };
  const usual = { models: [], connections: 0, probePath: "/health" };
  const pools = { [pool]: { ...usual, scaling }, plain: usual };
  const ordered = (name: string): ReadonlyMap<string, number> =>
    world.ordered.get(name) ?? new Map<string, number>();
  const value = { ...configuration.blank.value, pools };
  return scalingFactsOf({ configuration: value, sessions: world.sessions, ordered }, NOW);
}

function poolHas(this: World, pool: string, minimum: number, maximum: number): void {
  this.facts = factsOf(this, pool, minimum, maximum);
  const [load] = this.facts.pools;
  equal(load!.pool, pool);
  deepEqual(load!.bounds, { minimum, maximum, boot: BOOT });
}
Then("the pool {string} with bounds of {int} to {int} is told of", poolHas);

function underWay(this: World, live: number, items: number): void {
  const [load] = this.facts.pools;
  deepEqual([load!.live, load!.items], [live, items]);
}
Then("{int} live requests and {int} items are under way at it", underWay);

function seatsAndNodes(this: World, seats: number, nodes: number): void {
  equal(this.facts.pools[0]!.seats, seats);
  equal(this.facts.accessNodes, nodes);
}
Then("it has {int} seats on each runner, and {int} access nodes are heard", seatsAndNodes);

function zonesAre(this: World, table: DataTable): void {
  const expected = table.hashes().map((row) => ({
    zone: row["zone"]!,
    runners: Number(row["runners"]),
    ordered: row["ordered"] === "" ? undefined : Number(row["ordered"]),
  }));
  deepEqual(this.facts.pools[0]!.zones, expected);
}
Then("its runners are", zonesAre);

function noOtherPool(this: World): void {
  equal(this.facts.pools.length, 1);
}
Then("no other pool is told of", noOtherPool);
