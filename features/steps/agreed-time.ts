/** Steps on true time agreed among machines, in virtual time (docs/design.md §14.1). */
import { ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { AgreedTime, constants } from "@chutewick/parts";

/** ms. Round trip of a heartbeat and its answer. */
const ROUND_TRIP = 4;
const HEARTBEAT = 200;
/** ms since the start of 1970, when the monotonic clock of the process stood at 0. */
const STARTED_AT = 1_790_000_000_000;

interface World {
  time: AgreedTime;
  /** ms, monotonic. */
  now: number;
  /** ms by which each control machine's clock is ahead, and the own one. */
  ahead: number[];
  ownAhead: number;
  silent: Set<number>;
  /** ms. */
  worst: number;
  last: number;
  wentBack: number;
}

function begin(this: World, controls: number): void {
  this.time = new AgreedTime();
  this.now = 0;
  this.ahead = new Array<number>(controls).fill(0);
  this.ownAhead = 0;
  this.silent = new Set();
  this.worst = 0;
  this.last = 0;
  this.wentBack = 0;
  pass(this, 3);
}
Given("a process that hears of the clocks of {int} control machine(s) each 0.2 s", begin);

function truth(world: World): number {
  return STARTED_AT + world.now;
}

function hear(world: World, control: number, late: number): void {
  const wall = truth(world) - late / 2 + world.ahead[control]!;
  world.time.heard({ source: `control-${control + 1}`, wall, late }, world.now);
}

function look(world: World): void {
  const time = world.time.at(world.now);
  if (time === undefined) {
    ok(world.now <= constants.clocksAwaited, `no time was known after ${world.now} ms`);
    return;
  }
  world.worst = Math.max(world.worst, Math.abs(time - truth(world)));
  world.wentBack = Math.max(world.wentBack, world.last - time);
  world.last = time;
}

function pass(world: World, seconds: number): void {
  const end = world.now + seconds * 1_000;
  while (world.now < end) {
    world.now += constants.beatEvery;
    world.time.readOwnClock(truth(world) + world.ownAhead, world.now);
    if (world.now % HEARTBEAT === 0) hearAll(world);
    look(world);
  }
}

function hearAll(world: World): void {
  for (const control of world.ahead.keys())
    if (!world.silent.has(control)) hear(world, control, ROUND_TRIP);
}

function stepFor(world: World, controls: number, ahead: number, seconds: number): void {
  for (let control = 0; control < controls; control += 1) world.ahead[control] = ahead;
  pass(world, seconds);
  for (let control = 0; control < controls; control += 1) world.ahead[control] = 0;
}

function stepsWithOwn(this: World, controls: number, step: number): void {
  this.ownAhead = step * 1_000;
  stepFor(this, controls, step * 1_000, 10);
  this.ownAhead = 0;
  pass(this, 10);
}
When(
  "the clocks of {int} control machines and its own are stepped by {int} s for 10 s and back",
  stepsWithOwn,
);

function steps(this: World, controls: number, step: number): void {
  stepFor(this, controls, step * 1_000, 10);
  pass(this, 10);
}
When("the clocks of {int} control machines are stepped by {int} s for 10 s and back", steps);

function firstStepped(this: World, step: number): void {
  steps.call(this, 1, step);
}
When("the clock of control machine 1 is stepped by {int} s for 10 s and back", firstStepped);

function noneHeard(this: World, seconds: number, step: number): void {
  for (const control of this.ahead.keys()) this.silent.add(control);
  pass(this, seconds / 2);
  this.ownAhead = step * 1_000;
  pass(this, seconds / 2);
}
When(
  "no control machine is heard for {int} s, and its own clock is stepped by {int} s meanwhile",
  noneHeard,
);

function fallSilent(this: World, last: number, seconds: number): void {
  const all = [...this.ahead.keys()];
  for (const control of all.slice(all.length - last)) this.silent.add(control);
  pass(this, seconds);
}
When("the last {int} control machines fall silent for {int} s", fallSilent);

function frozen(this: World, seconds: number): void {
  const late = seconds * 1_000;
  this.now += late;
  for (const control of this.ahead.keys()) {
    /** Told just after the process had asked, and read only now. */
    const wall = truth(this) - late + ROUND_TRIP;
    this.time.heard({ source: `control-${control + 1}`, wall, late }, this.now);
  }
  look(this);
  pass(this, 5);
}
When("the process is frozen for {int} s, and then reads what had come", frozen);

function passes(this: World, seconds: number): void {
  pass(this, seconds);
}
When("it hears nobody for {int} s", passes);

function near(this: World, most: number): void {
  ok(this.worst <= most, `${this.worst} ms from the truth`);
}
Then("agreed time was never more than {int} ms from the truth", near);

function neverBack(this: World): void {
  ok(this.wentBack <= 0, `${this.wentBack} ms back`);
}
Then("agreed time never went back", neverBack);
