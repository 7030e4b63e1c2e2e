/** Steps on changes of seasons that are confirmed with the shares that follow from them (docs/design.md §7.1, §8.4). */
import { deepEqual, equal } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { ControlCommand } from "@chutewick/control";
import { Deployment, type ClientSight } from "@chutewick/simulator";

interface World {
  deployments: Deployment[];
  /** Status of the last lot handed in, of each deployment. */
  statuses: number[];
}

/** ms. How long an order, or the answer to a lot, is waited for. */
const PATIENCE = 20_000;

const models = {
  reader: { bucket: { tokens: 1_000, windowSeconds: 1, capacity: 1_000 }, waiting: 1_000 },
};
const ways = { slips: { kind: "lot", model: "reader" } };
const night = {
  start: "2020-01-01T00:00:00Z",
  end: "2099-01-01T00:00:00Z",
  select: [{ label: "shift", equals: "night" }],
  waiting: 60,
};

function enter(deployment: Deployment, base: number, value: unknown): void {
  const command: ControlCommand = { kind: "put", expected: base, value, word: `change ${base}` };
  const { told } = deployment.order(command, deployment.one(), PATIENCE);
  equal(told?.kind, "confirmed", JSON.stringify(told));
}

/** How many machines a deployment has. */
interface Size {
  readonly controls: number;
  readonly storages: number;
  readonly accesses: number;
}

function started(seed: number, size: Size): Deployment {
  const deployment = new Deployment(seed, { ...size, losses: 1, goesOnAlone: false });
  for (const machine of deployment.machines) machine.start();
  deployment.founded();
  deployment.after(5);
  enter(deployment, 0, { models, ways });
  deployment.after(5);
  return deployment;
}

function someDeployments(this: World, list: string, last: string): void {
  const [controls, storages, accesses] = list.match(/\d+/g)!.map(Number) as [
    number,
    number,
    number,
  ];
  this.deployments = [];
  for (let seed = 1; seed <= Number(last); seed += 1)
    this.deployments.push(started(seed, { controls, storages, accesses }));
}
Given(/^deployments of (.+) with lots of one model, 1 to (\d+)$/, someDeployments);

/** What befalls the owner of the queue, by what the scenario says of it. */
const troubles: Readonly<Record<string, (deployment: Deployment, owner: string) => void>> = {
  "works as usual": () => undefined,
  "hears and is heard 0.1 s late": (deployment, owner) => {
    deployment.world.watch = (from, to) => (from === owner || to === owner ? 100 : undefined);
  },
  "was killed 0.4 s before": (deployment, owner) => {
    deployment.machine(owner).kill(false);
    deployment.after(0.4);
  },
  "was cut off from all others 0.4 s before": (deployment, owner) => {
    for (const { address } of deployment.machines) {
      deployment.silence(owner, address);
      deployment.silence(address, owner);
    }
    deployment.after(0.4);
  },
};

function seasonEntered(this: World, trouble: string): void {
  for (const deployment of this.deployments) {
    const owner = deployment.queues().get("reader")![0]!;
    troubles[trouble]!(deployment, owner);
    enter(deployment, 1, { models, ways, seasons: { night } });
  }
}
When(
  /^a season that may hold 60 items is entered in each, while the queue's owner (.+)$/,
  seasonEntered,
);

/** The status that a lot gets; a node that says "later" or "unknown" is asked again, as callers do. */
function handIn(deployment: Deployment, count: number): number {
  const until = deployment.world.now + PATIENCE;
  for (let tries = 1; deployment.world.now < until; tries += 1) {
    let status: number | undefined;
    const sight = { reply: (told: number) => (status = told), torn: () => (status = 503) };
    const items = Array<number>(count).fill(1);
    const access = deployment.accesses[tries % deployment.accesses.length]!;
    access.exchange(sight as unknown as ClientSight, (ticket) =>
      access.core.submitLot(ticket, "slips", `of ${count}`, items, { shift: "night" }, access.now),
    );
    while (status === undefined && deployment.world.now < until)
      deployment.world.run(deployment.world.now + 5);
    if (status === 202 || status === 429) return status;
    deployment.after(0.1);
  }
  throw new Error("a lot got no definite answer");
}

function lotHandedIn(this: World, count: number): void {
  this.statuses = this.deployments.map((deployment) => handIn(deployment, count));
}
When("in the moment of the word a lot of {int} items of that season is handed in", lotHandedIn);
When("a lot of {int} items of that season is handed in", lotHandedIn);

function noneAccepted(this: World): void {
  deepEqual(
    this.statuses,
    this.statuses.map(() => 429),
  );
}
Then("none is accepted", noneAccepted);

function eachAccepted(this: World): void {
  deepEqual(
    this.statuses,
    this.statuses.map(() => 202),
  );
}
Then("each is accepted", eachAccepted);
