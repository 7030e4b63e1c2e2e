import { equal, ok } from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { guardJob, guardRows, runJob, usualJob, type Report } from "@chutewick/model";

/** ms. Only a hang reaches it: the longest exploration takes some seconds of one core. */
const patience = { timeout: 300_000 };

/** Liveness is checked in each so many-th state. */
const SAMPLE_EVERY = 50;
const RANDOM_STEPS = 14;
const RANDOM_FAULTS = 4;

interface World {
  report: Report;
}

async function everyScheduleIsExplored(
  this: World,
  depth: number,
  faults: number,
  start: string,
): Promise<void> {
  this.report = await runJob({ ...usualJob, depth, faults, start, sampleEvery: SAMPLE_EVERY });
  ok(this.report.isComplete);
}
When(
  "every schedule of {int} actions with {int} faults is explored from the state {string}",
  patience,
  everyScheduleIsExplored,
);

async function randomSchedulesArePlayed(
  this: World,
  runs: number,
  machines: number,
  start: string,
): Promise<void> {
  const depth = RANDOM_STEPS;
  const faults = RANDOM_FAULTS;
  this.report = await runJob({ ...usualJob, runs, machines, start, depth, faults });
}
When(
  "{int} random schedules are played with {int} machines from the state {string}",
  patience,
  randomSchedulesArePlayed,
);

async function theScheduleIsPlayed(this: World, start: string, lines: string): Promise<void> {
  const schedule = lines.split("\n").map((line) => line.trim());
  this.report = await runJob({ ...usualJob, start, schedule });
}
When("from the state {string} this schedule is played:", patience, theScheduleIsPlayed);

async function theProductIsExploredWithout(this: World, guard: string): Promise<void> {
  const row = guardRows.find((each) => each.guard === guard);
  ok(row !== undefined, guard);
  this.report = await runJob(guardJob(row));
}
When("the product is explored without the guard {string}", patience, theProductIsExploredWithout);

function statesAreReached(this: World, least: number): void {
  ok(this.report.states >= least, `${this.report.states} states`);
}
Then("at least {int} states are reached", statesAreReached);

function everyInvariantHolds(this: World): void {
  const { counterexample } = this.report;
  const { invariant = "", facts = "", schedule = [] } = counterexample ?? {};
  equal(counterexample, undefined, `${invariant}: ${facts}\n${schedule.join("\n")}`);
}
Then("every invariant holds in each", everyInvariantHolds);
Then("every invariant holds", everyInvariantHolds);

function itIsViolated(this: World, invariant: string, most: number): void {
  const { counterexample, states } = this.report;
  equal(counterexample?.invariant, invariant);
  ok(states <= most, `${states} states`);
}
Then("{string} is violated within {int} states", itIsViolated);
