/** Steps on how control machines contact silent nodes (docs/design.md §13.8.4). */
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
  /** Version of the newest configuration. */
  mark: number;
}

const pollIntervalMs = 50;
const orderTimeoutMs = 12_000;
/** Time until the control group has three complete replicas again after a replacement. */
const replacementSeconds = 9;
/** Time until each queue has three replicas again after a loss. */
const repairSeconds = 9;

const none: ReadonlySet<string> = new Set();

// SilentNodes alone

function receivesHeartbeat(this: World, address: string): void {
  this.silentNodes = new SilentNodes();
  deepEqual(this.silentNodes.silent(new Set([address]), [], 0), []);
}
Given("a control machine that receives heartbeats of a node at {word}", receivesHeartbeat);

function contactsWhileRemembered(this: World, address: string): void {
  deepEqual(this.silentNodes.silent(none, [], constants.sessionTimeoutMs), [address]);
  deepEqual(this.silentNodes.silent(none, [], constants.silentNodeRetentionMs), [address]);
  deepEqual(this.silentNodes.silent(none, [], constants.silentNodeRetentionMs + 1), []);
}
Then(
  "it contacts {word} while the node is silent, until its retention ends",
  contactsWhileRemembered,
);

function contactsWhileRecorded(this: World, address: string): void {
  const late = constants.silentNodeRetentionMs * 10;
  deepEqual(this.silentNodes.silent(none, [address], late), [address]);
  deepEqual(this.silentNodes.silent(new Set([address]), [address], late + 1), []);
}
Then(
  "it contacts {word} as long as control records name it, and not while it sends heartbeats",
  contactsWhileRecorded,
);

// Whole deployments

function startDeployment(this: World, alone: string): void {
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
  startDeployment,
);

function changeConfiguration(world: World): void {
  const version = world.mark + 1;
  const command = {
    kind: "put",
    expected: world.mark,
    mark: version,
    value: configurationOf(2),
    origin: `text ${version}`,
  } as const;
  const { told: outcome } = world.deployment.order(command, world.deployment.one(), orderTimeoutMs);
  ok(outcome?.kind === "confirmed", JSON.stringify(outcome));
  deepEqual(outcome.value, { kind: "IN_FORCE", mark: version });
  world.mark = version;
}

/** Settings of running nodes don't change, so they keep naming the replaced machines. */
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
    deployment.after(replacementSeconds);
  }
  deepEqual(deployment.members, ["control-1-new", "control-2-new", "control-3-new"]);
}
When(
  "each control machine that the settings name is replaced by an empty one at another address",
  everySeedIsReplaced,
);

function restart(this: World, name: string, how: string, seconds: number): void {
  const machine = this.deployment.machine(name);
  machine.kill(true);
  if (how === "without its disk") machine.wipe();
  this.deployment.after(seconds);
  changeConfiguration(this);
  machine.start();
}
When(
  /^([\w-]+) comes back (with what it kept|without its disk), (\d+) s after it lost power$/,
  restartsAfter,
);
function restartsAfter(this: World, name: string, how: string, seconds: string): void {
  restart.call(this, name, how, Number(seconds));
}

function reconnects(this: World, name: string, seconds: number): void {
  const { deployment, mark } = this;
  const machine = deployment.machine(name) as AccessMachine | StorageMachine;
  const since = deployment.world.now;
  const until = since + seconds * 1_000;
  while (!isInForceAt(machine, mark) && deployment.world.now < until)
    deployment.world.run(deployment.world.now + pollIntervalMs);
  ok(isInForceAt(machine, mark), `${name} is at ${machine.core.membership.configuration.mark}`);
}
Then("{word} holds a lease and has the newest configuration within {int} s", reconnects);

function isInForceAt({ core, world }: AccessMachine | StorageMachine, mark: number): boolean {
  return core.membership.holds(world.now) && core.membership.configuration.mark === mark;
}

function hasAllReplicas(this: World, count: number): void {
  this.deployment.after(repairSeconds);
  const queues = [...this.deployment.queues()];
  ok(queues.length > 0);
  for (const [queue, members] of queues)
    equal(members.length, count, `${queue}: ${members.join()}`);
}
Then("each queue is complete again with {int} copies", hasAllReplicas);

/** Messages from control reach the nodes, but messages from the nodes don't reach control. */
function silenceNodes(this: World): void {
  const { deployment } = this;
  const nodes: Machine[] = [...deployment.accesses, ...deployment.storages];
  for (const node of nodes)
    for (const control of deployment.controls) deployment.silence(node.address, control.address);
}
When(
  "messages from nodes to control machines are lost, and messages from control machines arrive",
  silenceNodes,
);

function nodesKeepLeases(this: World, seconds: number): void {
  const { deployment } = this;
  deployment.after(seconds);
  for (const node of deployment.accesses) {
    equal(node.core.membership.hasQuorumContact(deployment.world.now), false, node.name);
    equal(node.core.membership.holds(deployment.world.now), true, node.name);
  }
}
Then(
  "after {int} s every access node has lost contact with control and continues by the permit of its peers' promises",
  nodesKeepLeases,
);
