import { deepEqual, equal, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { ControlOutcome } from "@chutewick/control";
import { Deployment, configurationOf, type ControlMachine } from "@chutewick/simulator";
import { OrderRace } from "./order-race.js";

/** Orders and reports at control machines that are cut off, in virtual time with the real cores. */
interface World {
  deployment: Deployment;
  /** Version that the operator last heard to be in force. */
  version: number;
  struck: ControlMachine;
  restarts: boolean;
  steps: boolean;
  race: OrderRace;
  /** What was told to those who asked a machine as it woke. */
  heard: ControlOutcome[];
  report: string;
  /** Access nodes that control machines can reach. */
  reached: Deployment["accesses"];
  /** ms from the cut to the last acknowledgement. */
  acknowledgedAfter: number;
  wrong: string[];
  answers: string[];
}

/** ms. An answer from a machine without contact must come within this, so that the caller can turn elsewhere. */
const answeredAtOnce = 100;

function clocksRunAt(this: World, rates: string): void {
  const deployment = new Deployment(77, { controls: 3, storages: 3, accesses: 3, losses: 1 });
  const chosen = rates.split(",").map(Number);
  for (const [index, machine] of deployment.machines.entries())
    machine.clockRate = chosen[index % chosen.length]!;
  for (const machine of deployment.machines) machine.start();
  deployment.founded();
  deployment.after(4);
  this.deployment = deployment;
  this.version = 0;
}
Given("control machines and nodes whose clocks run at {} of the usual rate", clocksRunAt);

function isTaken(this: World, number: number): void {
  deepEqual(send(this, number, 0, this.deployment.one()), { kind: "IN_FORCE", mark: number });
  this.version = number;
}
Given("the operator's order {int} is taken", isTaken);

/** Sends an order with its own version on a base; what was told, or undefined without a clear answer. */
function send(world: World, version: number, base: number, at: ControlMachine): unknown {
  const { told } = world.deployment.order(
    {
      kind: "put",
      expected: base,
      mark: version,
      value: configurationOf(1),
      origin: `text ${version} on ${base}`,
    },
    at,
    8_000,
  );
  return told?.kind === "confirmed" ? told.value : undefined;
}

function isCut(this: World, which: string, cut: string): void {
  const { deployment } = this;
  const head = deployment.head!;
  this.struck = which === "the head" ? head : deployment.controls.find(isOther, head)!;
  this.restarts = cut.includes("restarted");
  this.steps = cut.includes("wall clock");
  const others = cut.includes("core alone") ? deployment.controls : deployment.machines;
  for (const { address } of others) {
    if (address === this.struck.address) continue;
    if (!cut.startsWith("heard by")) deployment.silence(address, this.struck.address);
    if (!cut.startsWith("deaf")) deployment.silence(this.struck.address, address);
  }
}
When(
  /^(the head|another) is (cut off|heard by nobody|deaf to all|cut off and restarted|cut off while the wall clock steps|cut off from the core alone)$/,
  isCut,
);

function isOther(this: ControlMachine, machine: ControlMachine): boolean {
  return machine !== this;
}

function timeGoesBy(this: World, seconds: number): void {
  this.deployment.after(seconds);
}
When("{float} s go by at all machines", timeGoesBy);

function acknowledgesNothing(this: World, seconds: number): void {
  const { deployment, struck } = this;
  for (let second = 1; second <= seconds; second += 1) {
    if (this.restarts && second === 8) {
      struck.kill(true);
      struck.start();
      deployment.after(1);
    }
    if (this.steps) struck.wallStep += second % 2 === 0 ? 3_600_000 : -7_200_000;
    if (second > 3 && second % 4 === 0) takenByTheOthers(this);
    equal(deployment.report(`r-${second}`, "readers", 1, struck), "NO_QUORUM");
    staysSilent(this, { kind: "read" });
    staysSilent(this, { kind: "emptying", machine: "storage-1" });
    staysSilent(this, { kind: "empty", identity: "storage-1", wanted: true });
    staysSilent(this, { kind: "empty", identity: "nobody", wanted: true });
    staysSilent(this, { kind: "goodbye", runner: "r-gone", incarnation: 1 });
    for (const [base, version] of [
      [0, 1],
      [this.version, this.version],
      [this.version, this.version + 50],
      [this.version - 1, this.version + 51],
    ] as const)
      staysSilent(this, {
        kind: "put",
        expected: base,
        mark: version,
        value: configurationOf(1),
        origin: `text ${version} on ${base}`,
      });
    deployment.after(0.4);
  }
}
Then(
  "for {int} s, in which the others take orders, it acknowledges nothing and refuses nothing",
  { timeout: 30_000 },
  acknowledgesNothing,
);

function takenByTheOthers(world: World): void {
  const { deployment, struck } = world;
  const others = deployment.controls.filter(isOther, struck);
  const version = world.version + 1;
  deepEqual(
    send(world, version, world.version, deployment.world.chance.pick(others)),
    { kind: "IN_FORCE", mark: version },
    `order ${version} at ${deployment.world.now}`,
  );
  world.version = version;
}

function staysSilent(
  { deployment, struck }: World,
  command: Parameters<Deployment["order"]>[0],
): void {
  const { told, took } = deployment.order(command, struck, 8_000);
  equal((told as ControlOutcome).kind, "not-run", JSON.stringify([command, told]));
  ok(took <= answeredAtOnce, `${command.kind} was answered after ${took} ms`);
}

function cutIsOver(this: World): void {
  this.deployment.world.mend();
  this.deployment.hear();
  for (const machine of this.deployment.controls) machine.wallStep = 0;
}
When("the cut is over", cutIsOver);

function servesAgain(this: World, seconds: number): void {
  const { deployment, struck } = this;
  deployment.after(seconds);
  equal(deployment.report("r-back", "readers", 1, struck), "TAKEN");
  const { told } = deployment.order({ kind: "read" }, struck, 1_000);
  ok(told?.kind === "confirmed" && told.value.kind === "CONFIGURATION", JSON.stringify(told));
  equal(told.value.mark, this.version);
  deepEqual(send(this, 1, 0, struck), { kind: "IN_FORCE", mark: 1 });
}
Then(
  "within {float} s it acknowledges reports, tells the newest configuration and acknowledges order 1 again",
  servesAgain,
);

/** ms. Between two troubles of a race, and how long each lasts. */
const TROUBLE_EVERY = 6_000;
const TROUBLE_LASTS = 4_000;

function race(this: World, seconds: number, lost: number, trouble: string): void {
  const { deployment } = this;
  this.race = new OrderRace(deployment, lost, seconds * 1_000);
  this.race.start(8);
  for (let passed = 0; passed < seconds * 1_000; passed += TROUBLE_EVERY) {
    const machine = trouble.startsWith("heads")
      ? (deployment.head ?? deployment.controls[0]!)
      : deployment.controls[(passed / TROUBLE_EVERY) % deployment.controls.length]!;
    begin(deployment, machine, trouble);
    deployment.after(TROUBLE_LASTS / 1_000);
    end(deployment, machine);
    deployment.after((TROUBLE_EVERY - TROUBLE_LASTS) / 1_000);
  }
  deployment.after(10);
  this.race.sendAllAgain();
}
When(
  "eight operators race for {int} s with {float} of the answers lost, while {}",
  { timeout: 60_000 },
  race,
);

function begin(deployment: Deployment, machine: ControlMachine, trouble: string): void {
  if (trouble.endsWith("cut")) deployment.world.isolate(machine.address);
  if (trouble.endsWith("kill")) machine.kill(true);
  if (trouble.startsWith("heads")) machine.freeze();
}

function end(deployment: Deployment, machine: ControlMachine): void {
  deployment.world.mend();
  machine.wake();
  if (!machine.alive) machine.start();
}

function onceEach(this: World): void {
  const versions = new Set<number>();
  for (const order of this.race.orders) ok(!order.answers.has("REFUSED"), order.key);
  for (const { version, key } of this.race.taken) {
    ok(!versions.has(version), `${key}: version ${version} was taken twice`);
    versions.add(version);
  }
  ok(versions.size >= 10, `only ${versions.size} versions`);
}
Then("no order was refused as invalid, and each version was taken once", onceEach);

function oneOutcome(this: World): void {
  for (const { key, answers } of this.race.orders)
    equal(answers.size, 1, `${key} heard ${[...answers].join(", ")}`);
}
Then("each order has one outcome, however often and wherever it was sent", oneOutcome);

function oneLine(this: World): void {
  const { taken, readings, acknowledgedAt } = this.race;
  let base = 0;
  for (const order of taken) {
    equal(order.base, base, order.key);
    base = order.version;
  }
  for (const [version, at] of acknowledgedAt)
    for (const reading of readings)
      ok(
        reading.askedAt < at || reading.version >= version,
        `a read at ${reading.askedAt} told ${reading.version}, while ${version} was acknowledged at ${at}`,
      );
}
Then(
  "each order builds on the one before, and no read told an older version than was acknowledged",
  oneLine,
);

// Freezes, and groups of which no two hear each other

function frozenAndAsked(this: World, which: string, seconds: number): void {
  const { deployment } = this;
  const head = deployment.head!;
  this.struck = which === "the head" ? head : deployment.controls.find(isOther, head)!;
  this.struck.freeze();
  for (let second = 1; second <= seconds; second += 1) {
    deployment.after(1);
    if (second > 3 && second % 4 === 0) takenByTheOthers(this);
  }
  const told: ControlOutcome[] = [];
  function tell(outcome: ControlOutcome | undefined): void {
    if (outcome !== undefined) told.push(outcome);
  }
  this.struck.inquire({ kind: "read" }, tell);
  this.struck.inquire({ kind: "empty", identity: "nobody", wanted: true }, tell);
  this.struck.wake();
  this.struck.inquire({ kind: "read" }, tell);
  this.heard = told;
  this.report = deployment.report("r-1", "readers", 1, this.struck);
}
When(
  /^(the head|another) is frozen for (\d+) s, in which the others take orders, and is asked as it wakes$/,
  frozenFor,
);
function frozenFor(this: World, which: string, seconds: string): void {
  frozenAndAsked.call(this, which, Number(seconds));
}

function saidNothing(this: World, seconds: number): void {
  equal(this.report, "NO_QUORUM");
  equal(this.heard.length, 3);
  for (const { kind } of this.heard) equal(kind, "not-run");
  servesAgain.call(this, seconds);
}
Then("it acknowledged nothing and refused nothing, and serves again within {float} s", saidNothing);

function groupIsSplit(this: World, cut: string): void {
  const { deployment } = this;
  for (const machine of deployment.controls)
    for (const other of deployment.machines)
      if (
        other !== machine &&
        (cut.includes("none") || deployment.controls.includes(other as never))
      )
        deployment.world.cut(machine.address, other.address);
  this.reached = cut.includes("none") ? [] : deployment.accesses;
}
When(/^control machines hear nobody of the group, while (.*)$/, groupIsSplit);

/** ms. Reports of a runner. */
const REPORTS_EVERY = 1_200;

function runnersReport(this: World, seconds: number): void {
  const { deployment } = this;
  const { world } = deployment;
  const since = world.now;
  this.acknowledgedAfter = 0;
  for (let passed = 0; passed < seconds * 1_000; passed += REPORTS_EVERY) {
    for (const id of passed > 6_000 ? ["r-1", "r-2", "r-new"] : ["r-1", "r-2"]) {
      const machine = world.chance.pick(deployment.controls);
      const told = deployment.report(id, "readers", 1 + passed / REPORTS_EVERY, machine);
      if (told === "TAKEN") this.acknowledgedAfter = world.now - since;
    }
    deployment.after(REPORTS_EVERY / 1_000);
  }
}
When("runners report as usual for {int} s, each to any control machine", runnersReport);

function noneAfter(this: World, seconds: number): void {
  ok(this.acknowledgedAfter <= seconds * 1_000, `after ${this.acknowledgedAfter} ms`);
}
Then("no report was acknowledged after the first {float} s", noneAfter);

function nodesKnow(this: World): void {
  for (const node of this.reached)
    for (const id of ["r-1", "r-2", "r-new"])
      ok(this.deployment.known(node, id) !== undefined, `${node.name} knows ${id}`);
}
Then("every access node that is reached knows every runner, also a new one", nodesKnow);

function acknowledgedAgain(this: World): void {
  for (const machine of this.deployment.controls)
    equal(this.deployment.report("r-1", "readers", 99, machine), "TAKEN", machine.name);
}
Then("a report is acknowledged again", acknowledgedAgain);

// More machines than the group needs

function eachAcknowledges(this: World): void {
  for (const machine of this.deployment.controls) acknowledges(this, machine);
}
Then("every control machine acknowledges reports, orders and reads", eachAcknowledges);

function acknowledges(world: World, machine: ControlMachine): void {
  const { deployment } = world;
  equal(deployment.report("r-1", "readers", 1, machine), "TAKEN", machine.name);
  const { told } = deployment.order({ kind: "read" }, machine, 2_000);
  ok(told?.kind === "confirmed" && told.value.kind === "CONFIGURATION", machine.name);
  const base = told.value.mark;
  deepEqual(send(world, base + 1, base, machine), { kind: "IN_FORCE", mark: base + 1 });
}

function eachIsCut(this: World, seconds: number): void {
  const { deployment } = this;
  this.wrong = [];
  for (const cut of deployment.controls) {
    deployment.world.isolate(cut.address);
    deployment.after(seconds);
    for (const machine of deployment.controls) {
      const told = deployment.report("r-1", "readers", 1, machine);
      if (told !== (machine === cut ? "NO_QUORUM" : "TAKEN"))
        this.wrong.push(`${machine.name} told ${told} while ${cut.name} was cut off`);
    }
    deployment.world.mend();
    deployment.after(5);
  }
}
When("each control machine in turn is cut off for {int} s", eachIsCut);

function onlyThatOne(this: World): void {
  deepEqual(this.wrong, []);
}
Then("only the one that is cut off acknowledges nothing", onlyThatOne);

// Heads that just started

function allStartAnew(this: World, times: number): void {
  const { deployment } = this;
  this.answers = [];
  const { answers } = this;
  function told(outcome: ControlOutcome | undefined): void {
    if (outcome?.kind === "confirmed") answers.push(outcome.value.kind);
  }
  for (let time = 0; time < times; time += 1) {
    for (const machine of deployment.controls) machine.kill(false);
    deployment.after(2.5);
    for (const machine of deployment.controls) machine.start();
    for (let passed = 0; passed < 4_000; passed += 20) {
      const machine = deployment.world.chance.pick(deployment.controls);
      machine.inquire({ kind: "empty", identity: "storage-1", wanted: true }, told);
      deployment.after(0.02);
    }
    const keep = deployment.order(
      { kind: "empty", identity: "storage-1", wanted: false },
      deployment.one(),
      4_000,
    );
    deepEqual(keep.told?.kind === "confirmed" && keep.told.value, { kind: "DONE" });
    deployment.after(1);
  }
}
When(
  "all control machines are killed and started, {int} times, and an emptying is asked for every 20 ms",
  { timeout: 60_000 },
  allStartAnew,
);

function allAcknowledged(this: World): void {
  ok(this.answers.length > 0);
  deepEqual([...new Set(this.answers)], ["DONE"]);
}
Then("every clear answer was an acknowledgement, and there were some", allAcknowledged);
