/** Steps of features/lot-directory.feature on ways: the product's own interface for lots. */
import { equal, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { Deployment, type ClientSight } from "@chutewick/simulator";

interface World {
  deployment: Deployment;
  /** Version of the configuration in force. */
  version: number;
  /** Names of the accepted lots, in the order of their acceptance. */
  lots: unknown[];
}

/** ms within which a change is in force and a lot is accepted. */
const PATIENCE = 20_000;
/** s until the deployment stands, or a change has reached all queues. */
const SETTLES = 5;
const RETRY_PAUSE = 0.1;
const ACCEPTED = 202;

const limits = { bucket: { tokens: 1_000, windowSeconds: 1, capacity: 1_000 }, waiting: 1_000 };

function enterWay(world: World, model: string): void {
  const { deployment, version } = world;
  const value = {
    models: { reader: limits, writer: limits },
    ways: { slips: { kind: "lot", model } },
  };
  const command = { kind: "put", expected: version, value, word: `change ${version}` } as const;
  const { told } = deployment.order(command, deployment.one(), PATIENCE);
  equal(told?.kind, "confirmed", JSON.stringify(told));
  world.version += 1;
  deployment.after(SETTLES);
}

function aDeployment(this: World, model: string): void {
  this.deployment = new Deployment(1, {
    controls: 3,
    storages: 3,
    accesses: 2,
    losses: 1,
    goesOnAlone: false,
  });
  for (const machine of this.deployment.machines) machine.start();
  this.deployment.founded();
  this.deployment.after(SETTLES);
  this.version = 0;
  this.lots = [];
  enterWay(this, model);
}
Given("a deployment whose way leads to the model {string}", aDeployment);

function wayIsMoved(this: World, model: string): void {
  enterWay(this, model);
}
When("the way is moved to the model {string}", wayIsMoved);

/** The reply to one submission: its status and body. */
function submit({ deployment }: World, key: string): [number, Record<string, unknown>] {
  const { world, accesses } = deployment;
  const access = accesses[0]!;
  let reply: [number, Record<string, unknown>] | undefined;
  const sight: Pick<ClientSight, "reply" | "torn"> = {
    reply: (status, body) => (reply = [status, body]),
    torn: () => (reply = [503, {}]),
  };
  access.exchange(sight as ClientSight, (ticket) =>
    access.core.submitLot(ticket, "slips", key, [1, 2], {}, access.now),
  );
  const until = world.now + PATIENCE;
  while (reply === undefined && world.now < until) world.run(world.now + 5);
  ok(reply !== undefined, "no answer");
  return reply;
}

function lotIsHandedIn(this: World, key: string): void {
  const until = this.deployment.world.now + PATIENCE;
  while (this.deployment.world.now < until) {
    const [status, body] = submit(this, key);
    if (status === ACCEPTED) {
      this.lots.push(body["lot"]);
      return;
    }
    this.deployment.after(RETRY_PAUSE);
  }
  ok(false, "the lot was not accepted");
}
When("a lot is handed in under the key {string}", lotIsHandedIn);

function sameLot(this: World): void {
  equal(this.lots.length, 2);
  equal(this.lots[1], this.lots[0]);
}
Then("both answers name the same lot", sameLot);
