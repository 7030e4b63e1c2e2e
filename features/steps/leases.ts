import { deepEqual, equal, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { ControlCommand, ControlOutcome } from "@chutewick/control";
import { Deployment, configurationOf } from "@chutewick/simulator";

/** Leases of nodes that are cut off, with clocks that run at different rates. */
interface World {
  deployment: Deployment;
  /** In force. */
  version: number;
  /** Moments at which a lease was held on an old version after the change was told. */
  stale: string[];
  /** Of the answer to an announcement. */
  status: number | undefined;
}

function change(version: number, base: number): ControlCommand {
  const word = `change ${version}`;
  return { kind: "put", expected: base, mark: version, value: configurationOf(1), word };
}

function nodesThatNeedLeases(this: World, holder: string, granter: string): void {
  const size = { controls: 3, storages: 3, accesses: 3, losses: 1, goesOnAlone: false };
  const deployment = new Deployment(78, size);
  for (const machine of deployment.machines) machine.clockRate = Number(holder);
  for (const machine of deployment.controls) machine.clockRate = Number(granter);
  for (const machine of deployment.machines) machine.start();
  deployment.founded();
  deployment.after(4);
  this.deployment = deployment;
  this.version = 0;
  const { told } = deployment.order(
    change(this.version + 1, this.version),
    deployment.one(),
    8_000,
  );
  ok(told?.kind === "confirmed" && told.value.kind === "IN_FORCE", JSON.stringify(told));
  this.version = 1;
}
Given(
  "nodes that need a lease, with clocks at {}, and control machines with clocks at {}",
  nodesThatNeedLeases,
);

/** ms. Looked at this often for a lease that should have ended. */
const LOOK_EVERY = 0.5;

function cutAtMoments(this: World, moments: number): void {
  const { deployment } = this;
  const { world } = deployment;
  const node = deployment.accesses[0]!;
  this.stale = [];
  for (let moment = 0; moment < moments; moment += 1) {
    deployment.after(3 + moment * 0.0073);
    ok(node.core.membership.holds(node.now), `it holds a lease before cut ${moment}`);
    world.isolate(node.address);
    let told: ControlOutcome | undefined;
    function tell(outcome: ControlOutcome | undefined): void {
      told = outcome;
    }
    const version = this.version + 1;
    deployment.one().inquire(change(version, this.version), tell);
    while (told === undefined) world.run(world.now + LOOK_EVERY);
    deepEqual(told.kind === "confirmed" && told.value, { kind: "IN_FORCE", mark: version });
    this.version = version;
    if (node.core.membership.holds(node.now) && deployment.mark(node) < version)
      this.stale.push(`cut ${moment}: ${node.core.membership.remainingLeaseMs(node.now)} ms left`);
    world.mend();
  }
}
When(
  "an access node is cut off at {int} different moments, and a change is entered each time",
  { timeout: 120_000 },
  cutAtMoments,
);

function neverStale(this: World): void {
  deepEqual(this.stale, []);
}
Then("it never held a lease on an old version after the change was told", neverStale);

// Announcements at access nodes

/** Status of the answer to an announcement of a runner. */
function announced({ deployment }: World): number | undefined {
  const node = deployment.accesses[0]!;
  const card = {
    id: "r-1",
    incarnation: 1,
    url: "r-1:8080",
    kind: "plain",
    models: [],
    labels: {},
    seats: 4,
    zone: "a",
    burden: 0,
  } as const;
  const [output] = node.core.announce("announcing", card, node.now);
  return output?.kind === "reply" ? output.status : undefined;
}

function wakesAndHears(this: World, seconds: number): void {
  const node = this.deployment.accesses[0]!;
  equal(announced(this), 200);
  node.freeze();
  this.deployment.after(seconds);
  node.wake();
  this.status = announced(this);
}
When("an access node wakes after {float} s and a runner announces itself at once", wakesAndHears);

function unclearThenTaken(this: World, first: number, later: number): void {
  equal(this.status, first);
  this.deployment.after(1);
  equal(announced(this), later);
}
Then("the announcement is answered {int}, and {int} a second later", unclearThenTaken);
