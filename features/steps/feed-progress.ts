import { equal } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { FeedProgress } from "@chutewick/data";
import { constants } from "@chutewick/parts";

interface World {
  progress: FeedProgress;
  now: number;
  /** Place of the node in the feed. */
  reached: number;
}

function hears(world: World, place: number): void {
  world.now += constants.sessionEvery;
  world.progress.heard(place, world.reached, world.now);
}

function hearsFor(world: World, place: number, seconds: number): void {
  const end = world.now + seconds * 1_000;
  while (world.now + constants.sessionEvery <= end) hears(world, place);
}

function inStep(this: World, place: number): void {
  this.progress = new FeedProgress();
  this.now = 0;
  this.reached = place;
  hearsFor(this, place, 3);
}
Given(
  "a node that hears each 0.3 s that control stands at place {int}, and stands there too",
  inStep,
);

function takenLater(this: World, place: number, seconds: number): void {
  hearsFor(this, place, seconds);
  this.reached = place;
  hearsFor(this, place, 3);
}
When("control goes on to place {int} and the node takes it {float} s later", takenLater);

function silent(this: World, place: number, seconds: number): void {
  hears(this, place);
  this.now += seconds * 1_000;
  hears(this, place);
  this.reached = place;
  hearsFor(this, place, 3);
}
When("control goes on to place {int}, and is silent for {int} s before the node takes it", silent);

function staysBehind(this: World, place: number, seconds: number): void {
  hearsFor(this, place, seconds);
}
When("control goes on to place {int}, and the node does not take it for {float} s", staysBehind);

function counts(this: World, violations: number): void {
  equal(this.progress.violations, violations);
}
Then("the node counts {int} violations", counts);
