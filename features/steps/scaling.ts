/** Steps on how many runners are ordered, in virtual time (docs/design.md §14.4). */
import { deepEqual, equal, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { ScalingPlanner, type PoolLoad, type ScalingOrder } from "@chutewick/control";
import { SimulatedFleet, type Arrivals, type Outcome, type Way } from "./scaling-fleet.js";
import { fixed, forecast, plainTarget, queueBased } from "./scaling-ways.js";

const ZONES = ["east", "north", "west"];
const ACCESS_NODES = 10;
/** ms */
const MINUTE = 60_000;
const BOOT = 4_000;
const PLANNED_EVERY = 500;
const MAXIMUM = 20;
const SEATS = 16;
/** Worth of a request in time and late, and price of a second of a runner, as deployments set them. */
const WORTH = 2;
const WORTH_LATE = 0.6;
const RUNNER_SECOND = 1.3;
const CALL = 0.7;

const arrivalsNamed: Readonly<Record<string, Arrivals>> = {
  steady: { wave: 0, wavePeriod: MINUTE, burstEvery: 0 },
  waves: { wave: 0.5, wavePeriod: 2 * MINUTE, burstEvery: 0 },
  bursts: { wave: 0.2, wavePeriod: 2 * MINUTE, burstEvery: 40_000 },
};

interface World {
  scaled: SimulatedFleet;
  planner: ScalingPlanner;
  accessNodes: number;
  orders: readonly ScalingOrder[];
  sizeBefore: number;
}

function plannerWay(world: World): Way {
  function way(load: PoolLoad, now: number): readonly ScalingOrder[] {
    const orders = world.planner.orders({ pools: [load], accessNodes: world.accessNodes }, now);
    world.orders = [...world.orders, ...orders];
    return orders;
  }
  return way;
}

function begin(this: World, minimum: number, maximum: number, name: string): void {
  const bounds = { minimum, maximum, boot: BOOT };
  this.scaled = new SimulatedFleet(1, bounds, ZONES, arrivalsNamed[name]!);
  this.planner = new ScalingPlanner();
  this.accessNodes = ACCESS_NODES;
  this.orders = [];
  this.sizeBefore = 0;
}
Given("{int} to {int} runners in each of 3 zones and arrivals that are {word}", begin);

function passes(this: World, seconds: number): void {
  this.sizeBefore = this.scaled.size;
  this.scaled.pass(seconds * 1_000, plannerWay(this));
}
When("the planner orders runners for {int} s", passes);

function dark(this: World, zone: string): void {
  this.scaled.darken(zone);
}
When("the zone {word} goes dark", dark);

function oneLost(this: World, zone: string): void {
  this.scaled.lose(zone);
}
When("a runner in {word} is lost for good", oneLost);

function fewHeard(this: World, nodes: number): void {
  this.accessNodes = nodes;
}
When("only {int} of 10 access nodes are heard", fewHeard);

/** Work under way at a number of runners in each zone, the same all the time. */
interface Sight {
  readonly live: number;
  readonly items: number;
  readonly runners: number;
}

function see(world: World, sight: Sight, from: number, until: number): void {
  const { live, items, runners } = sight;
  const bounds = { minimum: 6, maximum: MAXIMUM, boot: BOOT };
  const zones = ZONES.map((zone) => ({ zone, runners, ordered: undefined }));
  const pools = [{ pool: "pool", bounds, seats: SEATS, live, items, zones }];
  for (let now = from; now <= until; now += PLANNED_EVERY)
    world.orders = world.planner.orders({ pools, accessNodes: ACCESS_NODES }, now);
}

function sees(this: World, live: number, runners: number, seconds: number): void {
  this.planner = new ScalingPlanner();
  see(this, { live, items: 0, runners }, 0, seconds * 1_000);
}
When("a planner sees {int} live requests at {int} runners in each of 3 zones for {int} s", sees);

function seesFull(this: World, runners: number, free: number, full: number): void {
  this.planner = new ScalingPlanner();
  const items = runners * SEATS * ZONES.length;
  see(this, { live: 0, items: 0, runners }, 0, free * 1_000);
  see(this, { live: 0, items, runners }, free * 1_000, (free + full) * 1_000);
}
When(
  "a planner sees {int} runners in each of 3 zones idle for {int} s, then items at all seats for {int} s",
  seesFull,
);

function orderedInEach(this: World, runners: number): void {
  const desired = this.orders.map((order) => [order.zone, order.desired]);
  deepEqual(
    desired,
    ZONES.map((zone) => [zone, runners]),
  );
}
Then("{int} runners are ordered in each zone", orderedInEach);

function orderedInAll(this: World, runners: number): void {
  let sum = 0;
  for (const { desired } of this.orders) sum += desired;
  equal(sum, runners);
}
Then("{int} runners are ordered in all", orderedInAll);

function restarted(this: World): void {
  this.planner = new ScalingPlanner();
}
When("the planner's machine restarts", restarted);

function turns(this: World, most: number): void {
  ok(this.scaled.outcome.turns <= most, `${this.scaled.outcome.turns} changes of direction`);
}
Then("orders changed direction at most {int} time(s)", turns);

function within(this: World): void {
  const { minimum, maximum } = this.scaled.bounds;
  for (const { desired } of this.orders) ok(desired >= minimum && desired <= maximum);
}
Then("no order left the bounds", within);

function lateAtMost(this: World, part: number): void {
  const { late, arrived } = this.scaled.outcome;
  ok(late <= part * arrived, `${late} of ${arrived} were late`);
}
Then("at most {float} of all live requests began late", lateAtMost);

function fewer(this: World): void {
  ok(this.scaled.size < this.sizeBefore, `${this.sizeBefore} before, ${this.scaled.size} now`);
}
Then("there are fewer runners than before", fewer);

function notFewer(this: World): void {
  ok(this.scaled.size >= this.sizeBefore, `${this.sizeBefore} before, ${this.scaled.size} now`);
}
Then("there are no fewer runners than before", notFewer);

function madeUp(this: World, dark: string): void {
  const before = new Map<string, number>();
  for (const { zone, desired } of this.orders) before.set(zone, desired);
  equal(before.has(dark), false);
  deepEqual(
    [...before.keys()].sort(),
    ZONES.filter((zone) => zone !== dark),
  );
}
Then("runners were ordered in all zones but {word}", madeUp);

function ordersNone(this: World): void {
  deepEqual(this.orders, []);
}
Then("nothing was ordered", ordersNone);

const ways = {
  planner: plannerWay,
  fixed: (): Way => fixed,
  "plain target": (): Way => plainTarget,
  "queue-based": (): Way => queueBased,
  forecast: (): Way => forecast(),
} as const satisfies Readonly<Record<string, (world: World) => Way>>;

type WayName = keyof typeof ways;

/** A way's sums over several seeds, played once for each kind of arrivals. */
const outcomes = new Map<string, Outcome>();

function outcomeOf(way: WayName, arrivals: string, seeds: number): Outcome {
  const name = `${way}, ${arrivals}, ${seeds} seeds`;
  const held = outcomes.get(name);
  if (held !== undefined) return held;
  const sum: Outcome = { arrived: 0, late: 0, itemsLate: 0, paid: 0, turns: 0, orders: 0 };
  for (let seed = 1; seed <= seeds; seed += 1) {
    const outcome = play(way, arrivals, seed);
    for (const key of Object.keys(sum) as (keyof Outcome)[]) sum[key] += outcome[key];
  }
  outcomes.set(name, sum);
  return sum;
}

function play(way: WayName, arrivals: string, seed: number): Outcome {
  const bounds = { minimum: 6, maximum: 20, boot: BOOT };
  const scaled = new SimulatedFleet(seed, bounds, ZONES, arrivalsNamed[arrivals]!);
  const planner = new ScalingPlanner();
  const world = { scaled, planner, accessNodes: ACCESS_NODES, orders: [], sizeBefore: 0 };
  scaled.pass(6 * MINUTE, ways[way](world));
  return scaled.outcome;
}

/** Worth less price. */
function netOf({ arrived, late, paid, orders }: Outcome): number {
  const worth = (arrived - late) * WORTH + late * WORTH_LATE;
  return worth - paid * RUNNER_SECOND - orders * CALL;
}

function paysLess(arrivals: string, seeds: number): void {
  const [planner, other] = [
    outcomeOf("planner", arrivals, seeds),
    outcomeOf("fixed", arrivals, seeds),
  ];
  ok(planner.paid < other.paid, `${planner.paid} s against ${other.paid}`);
}
Then("over {word} of {int} seeds fewer runner seconds are paid than for a fixed number", paysLess);

function swingsLess(arrivals: string, seeds: number): void {
  const planner = outcomeOf("planner", arrivals, seeds);
  for (const way of ["plain target", "forecast"] as const) {
    const other = outcomeOf(way, arrivals, seeds);
    ok(planner.turns * 10 <= other.turns, `${planner.turns} changes against ${other.turns}`);
    ok(planner.late <= other.late, `${planner.late} late against ${other.late}`);
  }
}
Then(
  "over {word} of {int} seeds a tenth as many changes of direction come as by plain target or forecast, and no more late requests",
  swingsLess,
);

function noneGains(arrivals: string, seeds: number, percent: number): void {
  const net = netOf(outcomeOf("planner", arrivals, seeds));
  for (const way of Object.keys(ways) as WayName[]) {
    const other = netOf(outcomeOf(way, arrivals, seeds));
    ok(net >= other * (1 - percent / 100), `${way}: ${other} against ${net}`);
  }
}
Then("over {word} of {int} seeds no way gains over {float} percent more", noneGains);
