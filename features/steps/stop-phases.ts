/** Phases of a planned stop in virtual time. */
import { equal } from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import { PlannedStop, stopTimes, type StopPhase } from "@chutewick/data";
import { constants } from "@chutewick/parts";

interface World {
  /** Time in ms at which each phase was first observed. */
  phases: Map<StopPhase, number>;
}

function givenStop(this: World, stopWithinMs: number, workEndsAt: number): void {
  const stop = new PlannedStop(stopTimes(stopWithinMs, true), 0);
  this.phases = new Map();
  for (let now = 0; now <= stopWithinMs; now += constants.tickIntervalMs) {
    const phase = stop.advance(now, now < workEndsAt ? 1 : 0);
    if (!this.phases.has(phase)) this.phases.set(phase, now);
  }
}
Given(
  "a stop within {int} ms of a node with work in progress until {int} ms after it began",
  givenStop,
);

function hasPhases(this: World, refusesAt: number, lastAnswersAt: string, closedAt: number): void {
  const { phases } = this;
  equal(phases.get("taking"), 0);
  equal(phases.get("refusing"), refusesAt);
  equal(phases.get("last-answers"), lastAnswersAt === "never" ? undefined : Number(lastAnswersAt));
  equal(phases.get("closed"), closedAt);
}
Then(
  "it rejects new requests from {int} ms, sends last replies from {word} and is closed at {int}",
  hasPhases,
);
