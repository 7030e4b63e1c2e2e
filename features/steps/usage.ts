/** Steps of usage.feature: usage that access nodes count and report to control machines, in virtual time (docs/design.md §14.2). */
import { deepEqual, equal, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  ControlUsage,
  type LeaseMessage,
  type RegistryMessage,
  type UsageMessage,
  type UsageTakenMessage,
} from "@chutewick/control";
import { AccessUsage } from "@chutewick/data";
import { constants, emptyRegistry } from "@chutewick/parts";
import { Chance } from "@chutewick/simulator";

const WINDOW_MS = 5_000;
const STEP_MS = 10;
/** Message delay, equal in both directions, so that the clock in a reply was read in the middle of the round trip. */
const TRANSIT_MS = STEP_MS;
/** Unix time at virtual time 0, which is the start of a window. */
const STARTED_AT_MS = 1_790_000_000_000;
const STARTS_PER_STEP = 0.4;

interface Node {
  readonly address: string;
  readonly life: string;
  readonly usage: AccessUsage;
  wallStep: number;
  isDead: boolean;
  /** Starts counted at this node, with the window by true time. */
  readonly starts: Start[];
}

interface Start {
  readonly at: number;
  readonly window: number;
  readonly tenant: string;
}

interface Control {
  readonly address: string;
  life: string;
  usage: ControlUsage;
  wallStep: number;
}

type Message = LeaseMessage | RegistryMessage | UsageMessage | UsageTakenMessage;

interface MessageInTransit {
  readonly at: number;
  readonly from: string;
  readonly to: string;
  readonly message: Message;
}

interface Steps {
  readonly controls: number;
  readonly nodes: number;
  readonly by: number;
  readonly from: number;
  readonly until: number;
}

interface World {
  chance: Chance;
  now: number;
  nodes: Node[];
  controls: Control[];
  messages: MessageInTransit[];
  areDuplicated: boolean;
  maxDelayMs: number;
  losses: number;
  steps: Steps | undefined;
  /** Virtual time (ms) at which counts were last sent. */
  countsSentAt: number;
  /** Largest number of counts in one message. */
  maxCountsPerMessage: number;
}

function newControl(address: string, life: string): ControlUsage {
  return new ControlUsage({ identity: address, address }, life, WINDOW_MS);
}

function begin(this: World, nodes: number, controls: number, seconds: number): void {
  equal(seconds * 1_000, WINDOW_MS);
  this.chance = new Chance(7);
  this.now = 0;
  this.messages = [];
  this.areDuplicated = false;
  this.maxDelayMs = TRANSIT_MS;
  this.losses = 0;
  this.steps = undefined;
  this.countsSentAt = Number.NEGATIVE_INFINITY;
  this.maxCountsPerMessage = 0;
  this.nodes = [];
  this.controls = [];
  for (let index = 0; index < nodes; index += 1) {
    const life = `node-${index + 1}-life`;
    this.nodes.push({
      address: `node-${index + 1}`,
      life,
      usage: new AccessUsage(life, WINDOW_MS),
      wallStep: 0,
      isDead: false,
      starts: [],
    });
  }
  for (let index = 0; index < controls; index += 1) {
    const address = `control-${index + 1}`;
    this.controls.push({
      address,
      life: "first",
      usage: newControl(address, "first"),
      wallStep: 0,
    });
  }
  pass(this, 2, 0);
}
Given("{int} access nodes and {int} control machines, with windows of {int} s", begin);

function send(world: World, from: string, to: string, message: Message): void {
  if (message.kind === "usage") observeCounts(world, message);
  const isCounts = message.kind === "usage" || message.kind === "usage-taken";
  if (isCounts && world.chance.next() < world.losses) return;
  const late = isCounts ? world.maxDelayMs : TRANSIT_MS;
  const copies = isCounts && world.areDuplicated ? 2 : 1;
  for (let copy = 0; copy < copies; copy += 1)
    world.messages.push({
      at: world.now + TRANSIT_MS + world.chance.next() * (late - TRANSIT_MS),
      from,
      to,
      message: structuredClone(message),
    });
}

function observeCounts(world: World, message: UsageMessage): void {
  world.countsSentAt = world.now;
  let counts = 0;
  for (const window of message.windows) counts += window.counts.length;
  world.maxCountsPerMessage = Math.max(world.maxCountsPerMessage, counts);
}

function deliver(world: World): void {
  const due = world.messages.filter(({ at }) => at <= world.now);
  world.messages = world.messages.filter(({ at }) => at > world.now);
  due.sort((left, right) => left.at - right.at);
  for (const { from, to, message } of due) {
    const node = world.nodes.find(({ address }) => address === to);
    const control = world.controls.find(({ address }) => address === to);
    if (node !== undefined && !node.isDead) toNode(world, node, from, message);
    if (control !== undefined) toControl(world, control, from, message);
  }
}

function toNode(world: World, { usage }: Node, from: string, message: Message): void {
  if (message.kind === "lease") usage.recordLease(from, message, world.now);
  if (message.kind === "usage-taken") usage.taken(from, message);
}

function toControl(
  world: World,
  { address, usage }: Control,
  from: string,
  message: Message,
): void {
  const isOver = (life: string): boolean =>
    world.nodes.every((node) => node.life !== life || node.isDead);
  const outputs =
    message.kind === "usage"
      ? usage.recordUsage(message, from, world.now)
      : message.kind === "roll"
        ? usage.recordPeerClock(from, message, isOver, world.now)
        : [];
  for (const output of outputs)
    if (output.kind === "send") send(world, address, output.to, output.message as Message);
}

/** Sends the replies to heartbeats and the heartbeats between control machines. */
function heartbeats(world: World): void {
  for (const control of world.controls) {
    const stamp = { life: control.life, at: world.now };
    const wall = control.usage.wallAt(world.now);
    for (const { address } of world.nodes)
      send(world, control.address, address, {
        kind: "lease",
        identity: control.address,
        view: { mark: 1, members: [] },
        askedAt: world.now - TRANSIT_MS,
        place: 1,
        roll: emptyRegistry,
        controls: [],
        stamp,
        wall,
      });
    for (const { address } of world.controls)
      if (address !== control.address)
        send(world, control.address, address, { kind: "roll", roll: emptyRegistry, stamp, wall });
  }
}

function beat(world: World, areHeartbeatsSent: boolean): void {
  const wall = STARTED_AT_MS + world.now;
  for (const { usage, wallStep } of world.controls) {
    usage.tick(world.now, wall + wallStep);
    usage.ledger.forget(world.now);
  }
  for (const node of world.nodes) {
    if (node.isDead) continue;
    for (const { to, message } of node.usage.tick(
      world.now,
      wall + node.wallStep,
      areHeartbeatsSent,
    ))
      send(world, node.address, to, message as UsageMessage);
  }
}

function stepClocks(world: World): void {
  if (world.steps === undefined) return;
  const { controls, nodes, by, from, until } = world.steps;
  const ahead = world.now >= from && world.now < until ? by : 0;
  for (const control of world.controls.slice(0, controls)) control.wallStep = ahead;
  for (const node of world.nodes.slice(0, nodes)) node.wallStep = ahead;
}

function start(world: World, node: Node, tenant: string): void {
  const window = node.usage.counter.windowAt(world.now);
  ok(window !== undefined);
  node.usage.counter.recordStart(tenant, window);
  const truly = Math.floor((STARTED_AT_MS + world.now) / WINDOW_MS);
  node.starts.push({ at: world.now, window: truly, tenant });
}

function pass(world: World, seconds: number, tenants: number): void {
  const end = world.now + seconds * 1_000;
  while (world.now < end) {
    world.now += STEP_MS;
    stepClocks(world);
    deliver(world);
    for (const node of world.nodes)
      if (!node.isDead && tenants > 0 && world.chance.next() < STARTS_PER_STEP)
        start(world, node, `tenant-${Math.floor(world.chance.next() ** 2 * tenants)}`);
    if (world.now % constants.tickIntervalMs !== 0) continue;
    const areHeartbeatsSent = world.now % constants.heartbeatIntervalMs === 0;
    if (areHeartbeatsSent) heartbeats(world);
    beat(world, areHeartbeatsSent);
  }
}

function run(this: World, tenants: number, seconds: number): void {
  pass(this, seconds, tenants);
}
When("requests of {int} tenants start for {int} s", run);

function rest(this: World, seconds: number): void {
  pass(this, seconds, 0);
}
When("no request starts for {int} s", rest);

function oneOfEach(this: World, tenants: number, node: number): void {
  for (let tenant = 0; tenant < tenants; tenant += 1)
    start(this, this.nodes[node - 1]!, `tenant-${tenant}`);
}
When("one request of each of {int} tenants starts at node {int}", oneOfEach);

function duplicatedAndDelayed(this: World, seconds: number): void {
  this.areDuplicated = true;
  this.maxDelayMs = seconds * 1_000;
}
Given("messages are duplicated, and up to {int} s late", duplicatedAndDelayed);

function lost(this: World): void {
  this.losses = 0.5;
}
Given("half of the messages are lost", lost);

function clockSteps(this: World, controls: number, nodes: number, by: number): void {
  this.steps = {
    controls,
    nodes,
    by: by * 1_000,
    from: this.now + 7_000,
    until: this.now + 14_000,
  };
}
Given(
  "the clocks of {int} control machines and {int} access nodes are stepped by {int} s after 7 s, and back after 14 s",
  clockSteps,
);

function killed(this: World, node: number): void {
  this.nodes[node - 1]!.isDead = true;
}
When("node {int} is killed", killed);

function restarts(this: World, number: number): void {
  const control = this.controls[number - 1]!;
  control.life = "second";
  control.usage = newControl(control.address, control.life);
  // Messages that it sent before may still arrive.
  this.messages = this.messages.filter(({ to }) => to !== control.address);
}
When("control machine {int} restarts", restarts);

type Counts = Map<string, number>;

/** Counts the starts by window and tenant. */
function tally(starts: readonly Start[]): Map<number, Counts> {
  const windows = new Map<number, Counts>();
  for (const { window, tenant } of starts) {
    const counts = windows.get(window) ?? new Map<string, number>();
    windows.set(window, counts.set(tenant, (counts.get(tenant) ?? 0) + 1));
  }
  return windows;
}

function allStarts(world: World): Start[] {
  return world.nodes.flatMap(({ starts }) => starts);
}

function sum(counts: ReadonlyMap<string, number>): number {
  let total = 0;
  for (const count of counts.values()) total += count;
  return total;
}

function holdsAll(this: World, error: number): void {
  // Lets the last counts arrive.
  pass(this, 4, 0);
  const truth = tally(allStarts(this));
  for (const { usage } of this.controls) {
    let held = 0;
    for (const [window, counts] of truth) {
      const reported = usage.ledger.countsOf(window);
      held += sum(reported);
      for (const [tenant, count] of counts) {
        const difference = Math.abs((reported.get(tenant) ?? 0) - count);
        ok(
          difference <= Math.max(1, error * count),
          `${tenant} in ${window}: ${difference} of ${count}`,
        );
      }
    }
    equal(held, allStarts(this).length);
  }
}
Then("each control machine has all counts, none further than {float} from the truth", holdsAll);

function lacksLast(this: World, seconds: number): void {
  const killedAt = this.now;
  pass(this, 4, 0);
  const dead = this.nodes.find(({ isDead }) => isDead)!;
  const last = dead.starts.filter(({ at }) => at > killedAt - seconds * 1_000).length;
  ok(last > 0);
  for (const { usage } of this.controls) {
    let held = 0;
    for (const window of tally(allStarts(this)).keys()) held += sum(usage.ledger.countsOf(window));
    const lacking = allStarts(this).length - held;
    ok(lacking <= last, `${lacking} are lacking, ${last} started in the last ${seconds} s`);
  }
}
Then("each control machine lacks only what started there within the last {float} s", lacksLast);

function noneSent(this: World, seconds: number): void {
  ok(
    this.countsSentAt <= this.now - seconds * 1_000,
    `sent ${this.now - this.countsSentAt} ms ago`,
  );
}
Then("no counts were sent in the last {int} s", noneSent);

function messagesOf(this: World, most: number): void {
  ok(this.maxCountsPerMessage <= most, `${this.maxCountsPerMessage} in one message`);
}
Then("no message contained more than {int} counts", messagesOf);

function noneHeld(this: World): void {
  for (const { usage } of this.controls) {
    for (const window of tally(allStarts(this)).keys())
      equal(usage.ledger.countsOf(window).size, 0);
    deepEqual(
      usage.ledger.told(() => true),
      [],
    );
  }
  for (const { usage } of this.nodes) deepEqual(usage.counter.changedSince(0).windows, []);
}
Then("no machine has counts of any window", noneHeld);
