/** Steps of usage.feature on a simulated deployment of the product's cores, in virtual time (docs/design.md §14). */
import { equal, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { Deployment, smallBounds } from "@chutewick/simulator";

const FORMATION_S = 6;
const REPORT_DELAY_S = 1;
const SETTLE_S = 3;

interface World {
  deployment: Deployment;
  windowMs: number;
  /** Windows in which requests started. */
  windows: Set<number>;
}

function begin(this: World, controls: number, accesses: number, seconds: number): void {
  this.windowMs = seconds * 1_000;
  this.windows = new Set();
  const bounds = { ...smallBounds, usageWindow: this.windowMs };
  this.deployment = new Deployment(5, { controls, storages: 3, accesses, losses: 1, bounds });
  for (const machine of this.deployment.machines) machine.start();
  this.deployment.after(FORMATION_S);
}
Given(
  "a deployment of {int} control machines and {int} access nodes, with usage windows of {int} s",
  { timeout: 60_000 },
  begin,
);

function stepped(this: World, seconds: number): void {
  this.deployment.controls[0]!.wallStep = seconds * 1_000;
  this.deployment.accesses[0]!.wallStep = seconds * 1_000;
  this.deployment.after(SETTLE_S);
}
When("the clocks of one control machine and one access node are stepped by {int} s", stepped);

function beginToRun(this: World, count: number, tenant: string, seconds: number): void {
  const { deployment } = this;
  for (let number = 0; number < count; number += 1) {
    deployment.after(seconds / count);
    for (const { core } of deployment.accesses) {
      const window = core.usage.counter.windowAt(deployment.world.now);
      ok(window !== undefined);
      core.usage.counter.recordStart(tenant, window);
      this.windows.add(window);
    }
  }
  deployment.after(REPORT_DELAY_S);
}
When("{int} requests of {string} start at each access node within {int} s", beginToRun);

function holds(this: World, count: number, tenant: string): void {
  for (const { core } of this.deployment.controls) {
    let held = 0;
    for (const window of this.windows) held += core.usage.countsOf(window).get(tenant) ?? 0;
    equal(held, count);
  }
}
Then("each control machine has counted {int} requests of {string}", holds);

function nearTrueTime(this: World, most: number): void {
  const { world, controls, accesses } = this.deployment;
  const times = [
    ...controls.map(({ core }) => core.agreedTime.at(world.now)),
    ...accesses.map(({ core }) => core.usage.time.at(world.now)),
  ];
  for (const time of times) ok(Math.abs(time! - world.wall) <= most, `${time! - world.wall} ms`);
}
Then("each process is within {int} ms of true time", nearTrueTime);

function noMoreCounts(this: World): void {
  const sent = this.deployment.accesses.map(({ core }) => core.usage.counts.usageTold);
  this.deployment.after(SETTLE_S);
  this.deployment.accesses.forEach(({ core }, index) => {
    equal(core.usage.counts.usageTold, sent[index]);
  });
}
Then("the access nodes send no more counts", noMoreCounts);
