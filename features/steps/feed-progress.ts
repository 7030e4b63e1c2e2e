/** The invariant that the feed keeps up with control, in virtual time. */
import { equal } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { FeedProgress } from "@chutewick/data";
import { constants } from "@chutewick/parts";

interface World {
  progress: FeedProgress;
  now: number;
  /** Feed index of the node. */
  ownIndex: number;
}

function receiveHeartbeat(world: World, feedIndex: number): void {
  world.now += constants.heartbeatIntervalMs;
  world.progress.recordHeartbeat(feedIndex, world.ownIndex, world.now);
}

function receiveHeartbeatsFor(world: World, feedIndex: number, seconds: number): void {
  const end = world.now + seconds * 1_000;
  while (world.now + constants.heartbeatIntervalMs <= end) receiveHeartbeat(world, feedIndex);
}

function givenUpToDateNode(this: World, feedIndex: number): void {
  this.progress = new FeedProgress();
  this.now = 0;
  this.ownIndex = feedIndex;
  receiveHeartbeatsFor(this, feedIndex, 3);
}
Given(
  "a node at feed index {int} that receives a heartbeat of control at the same index every 0.3 s",
  givenUpToDateNode,
);

function nodeCatchesUpLater(this: World, feedIndex: number, seconds: number): void {
  receiveHeartbeatsFor(this, feedIndex, seconds);
  this.ownIndex = feedIndex;
  receiveHeartbeatsFor(this, feedIndex, 3);
}
When("control reaches feed index {int} and the node follows {float} s later", nodeCatchesUpLater);

function controlFallsSilent(this: World, feedIndex: number, seconds: number): void {
  receiveHeartbeat(this, feedIndex);
  this.now += seconds * 1_000;
  receiveHeartbeat(this, feedIndex);
  this.ownIndex = feedIndex;
  receiveHeartbeatsFor(this, feedIndex, 3);
}
When(
  "control reaches feed index {int}, and is silent for {int} s before the node follows",
  controlFallsSilent,
);

function nodeStaysBehind(this: World, feedIndex: number, seconds: number): void {
  receiveHeartbeatsFor(this, feedIndex, seconds);
}
When(
  "control reaches feed index {int}, and the node does not follow for {float} s",
  nodeStaysBehind,
);

function hasViolations(this: World, violations: number): void {
  equal(this.progress.violations, violations);
}
Then("the node counts {int} feed violations", hasViolations);
