/** Steps on what processes leave out while they are at rest (docs/design.md §4.2, §10.5, §13.8.7). */
import { equal } from "node:assert/strict";
import { mock } from "node:test";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { LeaseCoverage, PeerHeartbeats } from "@chutewick/control";
import { heartbeatInterval } from "@chutewick/data";
import { constants } from "@chutewick/parts";
import { Ticker } from "@chutewick/shell";

interface World {
  coverage: LeaseCoverage;
  /** ms. */
  now: number;
  isIdle: boolean;
  beat: Ticker | undefined;
  /** Beats so far. */
  beats: number;
}

function sendsHeartbeatEach(nodes: number, milliseconds: number): void {
  equal(heartbeatInterval(nodes), milliseconds);
}
Then("a node of a fleet of {int} nodes sends a heartbeat each {int} ms", sendsHeartbeatEach);

function carryRegistry(nodes: number, carrying: number, heartbeats: number): void {
  const peers = new PeerHeartbeats("life", "zone");
  let carried = 0;
  for (let number = 0; number < heartbeats; number += 1)
    if (peers.beginRegistry(nodes, number * constants.controlHeartbeatIntervalMs)) carried += 1;
  equal(carried, carrying);
}
Then("in a fleet of {int} nodes {int} of {int} heartbeats carry the registry", carryRegistry);

function eachCarriesRegistry(nodes: number, heartbeats: number): void {
  carryRegistry(nodes, heartbeats, heartbeats);
}
Then(
  "in a fleet of {int} nodes each of {int} heartbeats carries the registry",
  eachCarriesRegistry,
);

function aMember(this: World, place: number, view: number): void {
  this.now = 10_000;
  this.coverage = new LeaseCoverage(0);
  equal(this.coverage.shouldReport(place, view, this.now), true);
}
Given(
  "a member of the control group that has reported log index {int} in view {int} to its head",
  aMember,
);

function reportsAgainAfter(this: World, place: number, view: number, milliseconds: number): void {
  equal(this.coverage.shouldReport(place, view, this.now + milliseconds - 1), false);
  this.now += milliseconds;
  equal(this.coverage.shouldReport(place, view, this.now), true);
}
Then(
  "it reports log index {int} in view {int} again after {int} ms, not sooner",
  reportsAgainAfter,
);

function reportsAtOnce(this: World, place: number, view: number): void {
  this.now += 1;
  equal(this.coverage.shouldReport(place, view, this.now), true);
}
Then("it reports log index {int} in view {int} at once", reportsAtOnce);

function neverReports(this: World, place: number): void {
  equal(this.coverage.shouldReport(place, 1, this.now + 60_000), false);
}
Then("it never reports log index {int}", neverReports);

function idleBeat(this: World): void {
  mock.timers.enable({ apis: ["setTimeout"] });
  const world = this;
  world.isIdle = true;
  world.beats = 0;
  const beat = new Ticker({ isIdle: () => world.isIdle });
  function strike(): void {
    world.beats += 1;
  }
  beat.start(strike);
  world.beat = beat;
}
Given("a beat of a process that is idle", idleBeat);

/** A tick of several ms runs a timer that is set meanwhile only at its end. */
function pass(milliseconds: number): void {
  for (let millisecond = 0; millisecond < milliseconds; millisecond += 1) mock.timers.tick(1);
}

function beatsCome(this: World, beats: number, seconds: number): void {
  const before = this.beats;
  pass(seconds * 1_000);
  equal(this.beats - before, beats);
}
Then("{int} beat(s) come in {float} s", beatsCome);

function begins(this: World, after: number): void {
  const before = this.beats;
  while (this.beats === before) mock.timers.tick(1);
  pass(after);
  this.isIdle = false;
  this.beat!.wake();
}
When("something begins in it {int} ms after a beat", begins);

function nextBeatAfter(this: World, milliseconds: number): void {
  const before = this.beats;
  pass(milliseconds - 1);
  equal(this.beats, before);
  mock.timers.tick(1);
  equal(this.beats, before + 1);
}
Then("the next beat comes {int} ms after that", nextBeatAfter);

After(function reset(this: World): void {
  if (this.beat === undefined) return;
  this.beat.stop();
  mock.timers.reset();
});
