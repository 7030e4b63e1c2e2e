import { deepEqual, equal, match, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  ControlStateMachine as Records,
  keys,
  type ControlOutcome,
  type ControlResult,
  type DrainState,
} from "@chutewick/control";
import { Ledger, policy } from "@chutewick/parts";
import { settings } from "@chutewick/shell";
import {
  Deployment,
  configurationOf,
  plans,
  smallBounds,
  type ControlMachine,
  type Machine,
} from "@chutewick/simulator";

interface World {
  ledger: Ledger;
  records: Records;
  result: ControlResult;
  deployment: Deployment;
  models: number;
  mark: number;
  struck: ControlMachine;
}

// Policy

function smallGives(lasts: number, copies: number): void {
  const worked = policy.from(smallBounds);
  ok(worked.ok);
  equal(worked.value.runnerLasts, lasts);
  equal(worked.value.copiesWanted, copies);
  equal(worked.value.goesOnAlone, true);
}
Then("the bounds of a small site give runners {int} ms and {int} copies", smallGives);

function lossesAskFor(losses: number, controls: number, copies: number): void {
  const worked = policy.from({
    ...smallBounds,
    losses: { machines: losses, zones: 0, regions: 0 },
  });
  ok(worked.ok);
  equal(worked.value.controlsWanted, controls);
  equal(worked.value.copiesWanted, copies);
}
Then(
  "the bounds of a site with {int} losses ask for {int} control machines and {int} copies",
  lossesAskFor,
);

function boundsAreRefused(table: { hashes(): Record<string, string>[] }): void {
  for (const { bound, value } of table.hashes()) {
    const worked = policy.from({ ...smallBounds, [bound!]: Number(value) });
    ok(!worked.ok, `${bound} ${value} was taken`);
    match(worked.reason, new RegExp(`bounds\\.${bound}: ${value} `));
    equal(worked.reason.split("; ").length, 1, worked.reason);
  }
  const worked = policy.from({ ...smallBounds, losses: { machines: 9, zones: 0, regions: 0 } });
  ok(!worked.ok && worked.reason.includes("bounds.losses.machines"));
}
Then("these bounds are refused, naming them:", boundsAreRefused);

const here = {
  name: "a",
  zone: "a",
  wire: "127.0.0.1:1",
  http: "127.0.0.1:2",
  seeds: ["127.0.0.1:3"],
};

function settingsAreRefused(): void {
  ok(settings.check({ ...here, bounds: smallBounds }).ok);
  const checked = settings.check({ ...here, bounds: { ...smallBounds, acknowledgeWithin: 100 } });
  ok(!checked.ok);
  match(checked.reason, /acknowledgeWithin/);
}
Then("settings with bounds that cannot hold are refused, naming the bound", settingsAreRefused);

function seedsMayBe(): void {
  ok(settings.check(here).ok);
  const five: string[] = [];
  for (let number = 1; number <= 5; number += 1) five.push(`127.0.0.1:${number}`);
  ok(settings.check({ ...here, seeds: five }).ok);
  for (const seeds of [[], ["127.0.0.1:3", "127.0.0.1:3"]]) {
    const checked = settings.check({ ...here, seeds });
    ok(!checked.ok && checked.reason.startsWith("seeds"));
  }
}
Then("settings may name one seed, or five, but none twice", seedsMayBe);

// Marks

function recordsOf(this: World): void {
  this.ledger = new Ledger();
  this.records = new Records();
}
Given("a control machine's records", recordsOf);

function anOrder(this: World, text: string, mark: number, expected: number): void {
  this.result = this.records.apply(
    this.ledger,
    { kind: "put", expected, mark, value: configurationOf(text.length), origin: text },
    1,
  );
}
When("the order {string} with mark {int} is entered, built on {int}", anOrder);

function anInvalidOrder(this: World, mark: number, expected: number): void {
  this.result = this.records.apply(
    this.ledger,
    { kind: "put", expected, mark, value: { pools: 3 }, origin: "x" },
    1,
  );
}
When("an order that is invalid with mark {int} is entered, built on {int}", anInvalidOrder);

function itIs(this: World, kind: string, mark: number): void {
  deepEqual([this.result.kind, (this.result as { mark?: number }).mark], [kind, mark]);
}
Then("it is {word} with mark {int}", itIs);

function itIsRefused(this: World): void {
  equal(this.result.kind, "REFUSED");
}
Then("it is REFUSED", itIsRefused);

function readIs(this: World, text: string, mark: number): void {
  const told = this.records.apply(this.ledger, { kind: "read" }, 1);
  ok(told.kind === "CONFIGURATION");
  deepEqual([told.mark, told.origin], [mark, text]);
}
Then("what is read is the text {string} with mark {int}", readIs);

function earlierRecords(this: World): void {
  this.ledger = new Ledger();
  this.ledger.put(keys.configuration, { mark: 3, value: { models: {}, ways: {}, seasons: {} } });
}
When("the records are those of an earlier release without pools", earlierRecords);

function hasNoPools(this: World): void {
  const told = this.records.apply(this.ledger, { kind: "read" }, 1);
  ok(told.kind === "CONFIGURATION");
  deepEqual([told.mark, told.value.pools, told.value.passages], [3, {}, {}]);
  equal(
    this.records.apply(this.ledger, { kind: "patch", expected: 3, change: configurationOf(1) }, 1)
      .kind,
    "IN_FORCE",
  );
}
Then("what is read has no pools, and a change is taken", hasNoPools);

// Deployments

function aDeployment(
  this: World,
  controls: number,
  storages: number,
  accesses: number,
  losses: number,
): void {
  this.deployment = new Deployment(controls * 100 + storages * 10 + accesses, {
    controls,
    storages,
    accesses,
    losses,
  });
  for (const machine of this.deployment.machines) machine.start();
  this.deployment.founded();
  this.mark = 0;
  this.models = 1;
  this.deployment.after(4);
  change.call(this, 2_000);
  this.deployment.after(4);
}
Given(
  "a deployment with {int} control, {int} storage and {int} access machines, standing up to {int} loss(es)",
  aDeployment,
);

function change(this: World, within: number): void {
  const { deployment } = this;
  const mark = this.mark + 3;
  const at = deployment.one();
  const { told, took } = deployment.order(
    {
      kind: "put",
      expected: this.mark,
      mark,
      value: configurationOf(this.models),
      origin: `text ${mark}`,
    },
    at,
    8_000,
  );
  deepEqual(
    told === undefined ? "nothing" : told.kind === "confirmed" ? told.value : told,
    { kind: "IN_FORCE", mark },
    `at ${at.name} after ${took} ms`,
  );
  ok(took <= within, `told after ${took} ms`);
  this.mark = mark;
}

function aConfiguration(this: World, models: number): void {
  this.models = models;
  change.call(this, 1_000);
  this.deployment.after(3);
  deepEqual([...this.deployment.queues().keys()].sort(), plans(models).sort());
}
Given("a configuration with {int} models", aConfiguration);

function nextChange(this: World, within: number): void {
  change.call(this, within);
  everyNodeHas.call(this);
}
Then(
  /^the next change is told as confirmed within (\d+) ms, and every access node (?:that runs )?has it$/,
  nextChangeOf,
);
function nextChangeOf(this: World, within: string): void {
  nextChange.call(this, Number(within));
}

function everyNodeHas(this: World): void {
  for (const node of this.deployment.accesses)
    if (node.alive && !node.frozen) equal(this.deployment.mark(node), this.mark, node.name);
}
Then("every access node has the newest mark", everyNodeHas);

function secondsPass(this: World, seconds: number): void {
  this.deployment.after(seconds);
}
When("{float} s go by", secondsPass);

function freezes(this: World, name: string): void {
  this.deployment.machine(name).freeze();
}
When("{word} is frozen", freezes);

function wakes(this: World, name: string): void {
  this.deployment.machine(name).wake();
}
When("{word} wakes", wakes);

function losesAll(this: World, name: string): void {
  wipe(this.deployment.machine(name));
}
When("{word} loses power and its disk", losesAll);

function wipe(machine: Machine): void {
  machine.kill(true);
  machine.wipe();
}

function starts(this: World, name: string): void {
  this.deployment.machine(name).start();
}
When("{word} starts", starts);

function goneForGood(this: World, name: string): void {
  const machine = this.deployment.machine(name);
  machine.kill(true);
  machine.retired = true;
}
When("{word} is gone for good", goneForGood);

function isAdded(this: World, name: string): void {
  const machine = name.startsWith("control")
    ? this.deployment.addControl(name)
    : this.deployment.addStorage(name);
  this.deployment.founded();
  machine.start();
}
When(/^((?:control|storage)-\d) is added$/, isAdded);

function isAddedToldOf(this: World, name: string, seeds: string): void {
  this.deployment.addAccess(name, seeds.split(", ")).start();
}
When("{word} is added, told of {string}", isAddedToldOf);

function allControlsLose(this: World): void {
  for (const machine of this.deployment.controls) wipe(machine);
}
When("all control machines lose power and their disks", allControlsLose);

function allControlsStart(this: World): void {
  for (const machine of this.deployment.controls) machine.start();
}
When("all control machines start", allControlsStart);

function allEnd(this: World, how: string): void {
  for (const machine of this.deployment.machines) machine.kill(how === "lose power");
  this.deployment.after(0.5);
}
When(/^all machines (lose power|are killed)$/, allEnd);

function allStart(this: World): void {
  for (const machine of this.deployment.machines) machine.start();
}
When("all machines start", allStart);

/** Looks every 50 ms until it is so; how long that took in s. */
function until(world: World, seconds: number, isSo: (world: World) => boolean): number | undefined {
  const since = world.deployment.world.now;
  while (!isSo(world)) {
    if (world.deployment.world.now >= since + seconds * 1_000) return undefined;
    world.deployment.after(0.05);
  }
  return (world.deployment.world.now - since) / 1_000;
}

function groupHas(this: World, count: number, seconds: number): void {
  function isSo({ deployment }: World): boolean {
    return deployment.members.length === count && deployment.members.every(lives, deployment);
  }
  ok(until(this, seconds, isSo) !== undefined, `members are ${this.deployment.members.join(", ")}`);
}
Then("the control group has {int} members within {int} s", groupHas);

function lives(this: Deployment, name: string): boolean {
  return this.machine(name).alive;
}

function noGroup(this: World): void {
  deepEqual(this.deployment.members, []);
}
Then("there is no control group", noGroup);

function readHasNewest(this: World): void {
  const { told } = this.deployment.order({ kind: "read" }, this.deployment.one(), 3_000);
  ok(told?.kind === "confirmed" && told.value.kind === "CONFIGURATION");
  deepEqual([told.value.mark, told.value.origin], [this.mark, `text ${this.mark}`]);
}
Then("the configuration read has the newest mark", readHasNewest);

function everyNodeServes(this: World, seconds: number): void {
  function isSo({ deployment, mark }: World): boolean {
    for (const node of deployment.accesses)
      if (
        !node.core.membership.serves(deployment.world.now) ||
        deployment.mark(node) !== mark ||
        deployment.known(node, "r-1") === undefined
      )
        return false;
    return true;
  }
  ok(until(this, seconds, isSo) !== undefined);
}
Then("every access node serves within {int} s", everyNodeServes);

function everyQueueIsOwned(this: World, seconds: number): void {
  function isSo({ deployment }: World): boolean {
    const owned = new Set<string>();
    for (const machine of deployment.storages)
      for (const [queue, { owner }] of Object.entries(
        machine.core.status(deployment.world.now)["queues"] as Record<string, { owner: boolean }>,
      ))
        if (owner) owned.add(queue);
    return owned.size === deployment.queues().size && owned.size > 0;
  }
  ok(until(this, seconds, isSo) !== undefined);
}
Then("every queue is owned within {int} s", everyQueueIsOwned);

// Runners

function reportsTo(this: World, id: string, name: string, sequence: number, url: string): void {
  equal(
    this.deployment.report(
      id,
      "readers",
      sequence,
      this.deployment.machine(name) as ControlMachine,
      url,
    ),
    "TAKEN",
  );
}
When("the runner {string} reports to {word} as number {int} from {string}", reportsTo);

function reportsForGood(this: World, id: string): void {
  this.deployment.addRunner(id, "readers");
}
When("the runner {string} reports for good", reportsForGood);

function everyNodeKnows(this: World, id: string, url: string): void {
  for (const node of this.deployment.accesses)
    equal(this.deployment.known(node, id), url, node.name);
}
Then("every access node knows {string} at {string}", everyNodeKnows);

/** s between two looks; a node asks control several times a second. */
const LOOK_EVERY = 0.02;
/** s that a restarted control machine stays cut off. */
const CUT_LASTS = 3;

function restartedWhileKnown(this: World, id: string): void {
  const { deployment } = this;
  for (const machine of deployment.controls) {
    machine.kill(false);
    for (const other of deployment.controls)
      if (other !== machine) deployment.world.cut(machine.address, other.address);
    machine.start();
    for (let seconds = 0; seconds < CUT_LASTS; seconds += LOOK_EVERY) {
      deployment.after(LOOK_EVERY);
      for (const node of deployment.accesses)
        ok(deployment.known(node, id) !== undefined, `${node.name}, ${machine.name} restarted`);
    }
    deployment.world.mend();
    deployment.after(CUT_LASTS);
  }
}
When(
  "each control machine in turn is restarted, cut off from the others, while every access node knows {string} at each moment",
  restartedWhileKnown,
);

function noNodeKnows(this: World, id: string): void {
  for (const node of this.deployment.accesses)
    equal(this.deployment.known(node, id), undefined, node.name);
}
Then("no access node knows {string}", noNodeKnows);

function deregisters(this: World, id: string, name: string, within: number): void {
  const { told, took } = this.deployment.order(
    { kind: "goodbye", runner: id, incarnation: 1 },
    this.deployment.machine(name) as ControlMachine,
    6_000,
  );
  ok(told?.kind === "confirmed");
  ok(took <= within, `${took} ms`);
}
When("the runner {string} says goodbye to {word} within {int} ms", deregisters);

function everyControlTells(this: World, id: string): void {
  for (const machine of this.deployment.controls)
    equal(this.deployment.report(id, "readers", 99, machine), "SAID_GOODBYE", machine.name);
}
Then("every control machine tells the runner {string} that it said goodbye", everyControlTells);

// Emptying

function empty(world: World, name: string): ControlOutcome | undefined {
  const { deployment } = world;
  return deployment.order({ kind: "empty", identity: name, wanted: true }, deployment.one(), 4_000)
    .told;
}

function emptyingOf(deployment: Deployment, machine: string, at: ControlMachine): DrainState {
  const { told } = deployment.order({ kind: "emptying", machine }, at, 4_000);
  ok(told?.kind === "confirmed" && told.value.kind === "EMPTYING", JSON.stringify(told));
  return told.value.state;
}

function emptyingIsAsked(this: World, name: string): void {
  const told = empty(this, name);
  deepEqual(told?.kind === "confirmed" ? told.value : told, { kind: "DONE" });
  for (const machine of this.deployment.live)
    equal(emptyingOf(this.deployment, "nobody", machine), undefined);
}
When("emptying {string} is asked for", emptyingIsAsked);

function emptyingIsRefused(this: World, name: string, kind: string): void {
  const told = empty(this, name);
  equal(told?.kind === "confirmed" ? told.value.kind : told?.kind, kind);
}
Then("emptying {string} is refused as {word}", emptyingIsRefused);

function isEmptied(this: World, name: string, seconds: number): void {
  function isSo({ deployment }: World): boolean {
    return emptyingOf(deployment, name, deployment.one()) === "emptied";
  }
  ok(!isSo(this));
  ok(until(this, seconds, isSo) !== undefined, JSON.stringify([...this.deployment.queues()]));
}
Then("{string} is emptied within {int} s", isEmptied);

function noQueueAt(this: World, name: string, copies: number): void {
  const queues = this.deployment.queues();
  equal(queues.size, plans(this.models).length);
  for (const [queue, members] of queues) {
    ok(!members.includes(name), `${queue} is at ${members.join(", ")}`);
    equal(members.length, copies, `${queue} is at ${members.join(", ")}`);
  }
}
Then("no queue is at {string}, and each has {int} copies", noQueueAt);

function eachHasCopies(this: World, copies: number): void {
  for (const [queue, members] of this.deployment.queues())
    equal(
      members.filter(lives, this.deployment).length,
      copies,
      `${queue} is at ${members.join(", ")}`,
    );
}
Then("each queue has {int} copies at machines that live", eachHasCopies);

// The head

function theHead(this: World, how: string): void {
  const { deployment } = this;
  const head = deployment.head!;
  this.struck = head;
  const others = deployment.controls.filter(isOther, head);
  switch (how) {
    case "is frozen":
      return head.freeze();
    case "is killed":
      return head.kill(false);
    case "is cut off from the others":
      for (const other of others) deployment.world.cut(head.address, other.address);
      return;
    case "is heard by the others no more":
      for (const other of others) deployment.silence(head.address, other.address);
      return;
    case "hears the others no more":
      for (const other of others) deployment.silence(other.address, head.address);
      return;
    case "cannot reach one of the others":
      return deployment.world.cut(head.address, others[0]!.address);
  }
}
When(
  /^the head (is frozen|is killed|is cut off from the others|is heard by the others no more|hears the others no more|cannot reach one of the others)$/,
  theHead,
);

function isOther(this: Machine, machine: Machine): boolean {
  return machine !== this;
}

function theHeadIsAsBefore(this: World): void {
  this.deployment.world.mend();
  this.deployment.hear();
  this.struck.wake();
  if (!this.struck.alive) this.struck.start();
}
When("the head is as before", theHeadIsAsBefore);
