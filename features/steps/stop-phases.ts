/** Phases of a planned stop in virtual time. */
import { equal } from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import { PlannedStop, stopTimes, type StopPhase } from "@chutewick/data";
import { constants } from "@chutewick/parts";

interface World {
  /** ms. First look at which each phase was seen. */
  phases: Map<StopPhase, number>;
}

function aStop(this: World, within: number, work: number): void {
  const stop = new PlannedStop(stopTimes(within, true), 0);
  this.phases = new Map();
  for (let now = 0; now <= within; now += constants.beatEvery) {
    const phase = stop.advance(now, now < work ? 1 : 0);
    if (!this.phases.has(phase)) this.phases.set(phase, now);
  }
}
Given("a stop within {int} ms of a node with work under way until {int} ms after it began", aStop);

function hasPhases(this: World, refuses: number, last: string, closed: number): void {
  const { phases } = this;
  equal(phases.get("taking"), 0);
  equal(phases.get("refusing"), refuses);
  equal(phases.get("last-answers"), last === "never" ? undefined : Number(last));
  equal(phases.get("closed"), closed);
}
Then(
  "it refuses new requests from {int} ms, gives last answers from {word} and is closed at {int}",
  hasPhases,
);
