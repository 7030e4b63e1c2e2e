import { deepEqual, equal, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { SilentNodes } from "@chutewick/control";
import { constants } from "@chutewick/parts";
import {
  AccessMachine,
  Deployment,
  configurationOf,
  type ControlMachine,
  type Machine,
  type StorageMachine,
} from "@chutewick/simulator";

interface World {
  silentNodes: SilentNodes;
  deployment: Deployment;
  /** Number of the newest configuration. */
  mark: number;
}

/** ms. */
const lookEvery = 50;
const orderPatience = 12_000;
/** s. From a replacement to a group of three whole copies, and from a loss to three copies of each queue. */
const replacementTakes = 9;
const repairTakes = 9;

const none: ReadonlySet<string> = new Set();

// The list itself

function hearsNode(this: World, address: string): void {
  this.silentNodes = new SilentNodes();
  deepEqual(this.silentNodes.silent(new Set([address]), [], 0), []);
}
Given("a control machine that hears a node at {word}", hearsNode);

function callsWhileRemembered(this: World, address: string): void {
  deepEqual(this.silentNodes.silent(none, [], constants.sessionLasts), [address]);
  deepEqual(this.silentNodes.silent(none, [], constants.silentNodeRemembered), [address]);
  deepEqual(this.silentNodes.silent(none, [], constants.silentNodeRemembered + 1), []);
}
Then("it calls {word} while the node is silent, until it is forgotten", callsWhileRemembered);

function callsWhileRecorded(this: World, address: string): void {
  const late = constants.silentNodeRemembered * 10;
  deepEqual(this.silentNodes.silent(none, [address], late), [address]);
  deepEqual(this.silentNodes.silent(new Set([address]), [address], late + 1), []);
}
Then(
  "it calls {word} as long as control state names it, and not while it is heard",
  callsWhileRecorded,
);

// Whole deployments

function deployment(this: World, alone: string): void {
  this.deployment = new Deployment(31, {
    controls: 3,
    storages: 3,
    accesses: 3,
    losses: 1,
    goesOnAlone: alone === "go on alone",
  });
  for (const machine of this.deployment.machines) machine.start();
  this.deployment.after(4);
  this.deployment.founded();
  this.mark = 0;
  changeConfiguration(this);
  this.deployment.after(3);
}
Given(
  /^a deployment of three machines of each kind whose nodes (go on alone|promise each other)$/,
  deployment,
);

function changeConfiguration(world: World): void {
  const mark = world.mark + 1;
  const command = {
    kind: "put",
    expected: world.mark,
    mark,
    value: configurationOf(2),
    origin: `text ${mark}`,
  } as const;
  const { told } = world.deployment.order(command, world.deployment.one(), orderPatience);
  ok(told?.kind === "confirmed", JSON.stringify(told));
  deepEqual(told.value, { kind: "IN_FORCE", mark });
  world.mark = mark;
}

/** Settings are written once: those of nodes that stand name the replaced machines for good. */
function everySeedIsReplaced(this: World): void {
  const { deployment } = this;
  for (const address of ["control-1", "control-2", "control-3"]) {
    const machine = deployment.machine(address) as ControlMachine;
    machine.kill(true);
    machine.wipe();
    machine.retired = true;
    deployment.addControl(`${address}-new`, deployment.members);
    deployment.founded();
    deployment.after(0.5);
    deployment.machine(`${address}-new`).start();
    deployment.after(replacementTakes);
  }
  deepEqual(deployment.members, ["control-1-new", "control-2-new", "control-3-new"]);
}
When(
  "each control machine that the settings name is replaced by an empty one elsewhere",
  everySeedIsReplaced,
);

function isDown(this: World, name: string, how: string, seconds: number): void {
  const machine = this.deployment.machine(name);
  machine.kill(true);
  if (how === "without its disk") machine.wipe();
  this.deployment.after(seconds);
  changeConfiguration(this);
  machine.start();
}
When(
  /^([\w-]+) comes back (with what it kept|without its disk), (\d+) s after it lost power$/,
  isDownFor,
);
function isDownFor(this: World, name: string, how: string, seconds: string): void {
  isDown.call(this, name, how, Number(seconds));
}

function findsTheGroup(this: World, name: string, seconds: number): void {
  const { deployment, mark } = this;
  const machine = deployment.machine(name) as AccessMachine | StorageMachine;
  const since = deployment.world.now;
  const until = since + seconds * 1_000;
  while (!isInForceAt(machine, mark) && deployment.world.now < until)
    deployment.world.run(deployment.world.now + lookEvery);
  ok(isInForceAt(machine, mark), `${name} is at ${machine.core.membership.configuration.mark}`);
}
Then("{word} holds a lease and has the newest configuration within {int} s", findsTheGroup);

function isInForceAt({ core, world }: AccessMachine | StorageMachine, mark: number): boolean {
  return core.membership.holds(world.now) && core.membership.configuration.mark === mark;
}

function wholeCopies(this: World, count: number): void {
  this.deployment.after(repairTakes);
  const queues = [...this.deployment.queues()];
  ok(queues.length > 0);
  for (const [queue, members] of queues)
    equal(members.length, count, `${queue}: ${members.join()}`);
}
Then("each queue is whole again with {int} copies", wholeCopies);

/** Control reaches the nodes, and none of them reaches control. */
function controlHearsNobody(this: World): void {
  const { deployment } = this;
  const nodes: Machine[] = [...deployment.accesses, ...deployment.storages];
  for (const node of nodes)
    for (const control of deployment.controls) deployment.silence(node.address, control.address);
}
When("no control machine hears any node, and every node hears control", controlHearsNobody);

function nodesGoOn(this: World, seconds: number): void {
  const { deployment } = this;
  deployment.after(seconds);
  for (const node of deployment.accesses) {
    equal(node.core.membership.isNear(deployment.world.now), false, node.name);
    equal(node.core.membership.holds(deployment.world.now), true, node.name);
  }
}
Then(
  "after {int} s every access node counts control as away and goes on by its peers' promises",
  nodesGoOn,
);
