import { deepEqual } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { ControlCalls, PendingCalls, type AccessOutput, type Membership } from "@chutewick/data";
import { constants, type ChainView, type QueueCommand } from "@chutewick/parts";

interface World {
  owner: string;
  calls: Pick<PendingCalls, "beat">;
  requests: ControlCalls;
  now: number;
  receivers: string[];
}

const commands: Record<string, QueueCommand> = {
  results: { kind: "results", lot: "lot-1", from: 0 },
  end: { kind: "end", lot: "lot-1" },
  draw: { kind: "draw", holder: "node-1", most: 8, able: [] },
};

/** ms. Longer than any call here waits. */
const PATIENCE = 60_000;

function note(world: World, outputs: readonly AccessOutput[]): void {
  for (const output of outputs) if (output.kind === "send") world.receivers.push(output.to);
}

function elapse(world: World, seconds: number): void {
  const end = world.now + seconds * 1_000;
  while (world.now < end) {
    world.now += constants.tickIntervalMs;
    note(world, world.calls.beat(world.now));
  }
}

function aCall(this: World, name: string, seconds: number, owner: string): void {
  const world = this;
  world.owner = owner;
  world.now = 0;
  world.receivers = [];
  function read(): ChainView {
    return { mark: 1, members: [{ identity: world.owner, address: world.owner }] };
  }
  const membership = { identity: "node-1", follower: { read }, holds: () => true };
  const calls = new PendingCalls(membership as unknown as Membership);
  world.calls = calls;
  const call = {
    queue: "queue",
    command: commands[name]!,
    patience: PATIENCE,
    hold: seconds * 1_000,
    onResult: () => [],
  };
  note(world, calls.start(call, world.now));
  deepEqual(world.receivers, [owner]);
}
Given("a call {string} that may be held for {int} s, sent to the owner {string}", aCall);

function newOwner(this: World, owner: string, seconds: number): void {
  elapse(this, seconds);
  this.owner = owner;
  this.receivers = [];
}
When("the queue's owner is {string} {float} s later", newOwner);

function sentTo(this: World, within: number, receivers: string, seconds: number): void {
  elapse(this, within);
  const expected = receivers === "" ? [] : [receivers];
  deepEqual(this.receivers, expected);
  elapse(this, seconds);
  deepEqual(this.receivers, expected);
}
Then("within {float} s it is sent to {string}, and to nobody else in {int} s", sentTo);

const TICKET = "request-1";

function aRequest(this: World, head: string): void {
  const world = this;
  world.owner = head;
  world.now = 0;
  world.receivers = [];
  const membership = {
    get head(): string {
      return world.owner;
    },
    broadcastDeregistrations: () => [],
  };
  world.requests = new ControlCalls(membership as unknown as Membership, () => TICKET);
  world.calls = world.requests;
  note(
    world,
    world.requests.request({ kind: "read" }, () => [], world.now),
  );
  deepEqual(world.receivers, [head]);
}
Given("a request to the head {string}", aRequest);
When("the head is {string} {float} s later", newOwner);

function requestSentTo(this: World, within: number, receiver: string): void {
  this.receivers = [];
  elapse(this, within);
  deepEqual(this.receivers, receiver === "" ? [] : [receiver]);
}
Then("within {float} s the request is sent to {string}", requestSentTo);

function notRun(this: World, _head: string): void {
  note(this, this.requests.handleOutcome(TICKET, { kind: "not-run", reason: "no head" }, this.now));
}
When("{string} answers that it does not run it", notRun);
