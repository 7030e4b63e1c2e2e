/** Steps on what the draws of idle access nodes cost the replicas of an empty queue (docs/design.md §13.7.3). */
import { deepEqual, equal, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { ControlCommand, ControlMessage } from "@chutewick/control";
import type { DataMessage } from "@chutewick/data";
import { Deployment, configurationOf } from "@chutewick/simulator";

interface World {
  deployment: Deployment;
  draws: number;
  /** Kinds of the messages between replicas of the queue, but for the word of each that it is there. */
  replicated: string[];
}

/** ms. How long an order is waited for. */
const PATIENCE = 20_000;

/** s. From the configuration until queues stand and their limits are entered. */
const SETTLES = 6;

const SIZE = { controls: 3, storages: 4, accesses: 3, losses: 1 };

/** A deployment at rest whose queue is empty and has a runner. */
function restingDeployment(seed: number): Deployment {
  const deployment = new Deployment(seed, SIZE);
  for (const machine of deployment.machines) machine.start();
  deployment.founded();
  deployment.after(SETTLES);
  const value = configurationOf(1);
  const command: ControlCommand = { kind: "put", expected: 0, value, word: "first" };
  equal(deployment.order(command, deployment.one(), PATIENCE).told?.kind, "confirmed");
  deployment.addRunner("reader-1", "readers");
  deployment.after(SETTLES);
  return deployment;
}

function anEmptyQueue(this: World): void {
  this.deployment = restingDeployment(1);
}
Given(
  "3 control, 4 storage and 3 access machines with a runner and an empty queue of a passage",
  anEmptyQueue,
);

function isOfQueue(message: DataMessage | ControlMessage): boolean {
  return "chain" in message && message.chain !== "control";
}

function restFor(this: World, seconds: number): void {
  this.draws = 0;
  this.replicated = [];
  const count = (_from: string, _to: string, sent: unknown): undefined => {
    const message = sent as DataMessage | ControlMessage;
    if (message.kind === "queue-inquiry" && message.command.kind === "draw") this.draws += 1;
    else if (isOfQueue(message) && message.kind !== "taken") this.replicated.push(message.kind);
  };
  this.deployment.world.watch = count;
  this.deployment.after(seconds);
}
When("all of them rest for {int} s", restFor);

function onlyOwnerAsked(this: World, least: number): void {
  ok(this.draws >= least, `${this.draws} draws`);
  deepEqual(this.replicated, []);
}
Then(
  "the queue's owner got {int} draws at least, and no replica asked another for anything",
  onlyOwnerAsked,
);
