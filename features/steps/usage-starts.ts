/** Steps of usage-starts.feature: starts of requests that the relay counts, in virtual time (docs/design.md §14.2). */
import { deepEqual, equal } from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import { RelayCore, UsageCounter } from "@chutewick/data";
import { AgreedTime, policy } from "@chutewick/parts";
import type { World as RelayWorld } from "./relay.js";

interface World extends RelayWorld {
  usage: UsageCounter;
}

function counted(this: World, seconds: number, window: number): void {
  const length = seconds * 1_000;
  const time = new AgreedTime();
  for (const source of ["control-1", "control-2", "control-3"])
    time.recordReading({ source, wall: window * length, late: 0 }, this.now);
  this.usage = new UsageCounter(time, length);
  this.core = new RelayCore(this.known, this.choice, policy.defaults, this.usage);
}
Given("starts are counted in windows of {int} s, of which window {int} begins now", counted);

function isCounted(this: World, count: number, tenant: string, window: number): void {
  const { windows } = this.usage.changedSince(0);
  const counts = windows.find((each) => each.window === window)?.counts ?? [];
  equal(counts.find(([name]) => name === tenant)?.[1] ?? 0, count);
}
Then("{int} request(s) of {string} is/are counted in window {int}", isCounted);

function noneCounted(this: World): void {
  deepEqual(this.usage.changedSince(0).windows, []);
}
Then("no request is counted", noneCounted);
