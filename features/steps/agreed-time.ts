/** Steps on the time agreed among machines, in virtual time (docs/design.md §14.1). */
import { ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { AgreedTime, constants } from "@chutewick/parts";

/** Round trip of a heartbeat and its reply. */
const ROUND_TRIP_MS = 4;
const HEARTBEAT_INTERVAL_MS = 200;
/** True time in ms since 1970 at which the monotonic clock of the process was 0. */
const STARTED_AT_MS = 1_790_000_000_000;

interface World {
  time: AgreedTime;
  /** ms of the monotonic clock. */
  now: number;
  /** ms by which the clock of each control machine, and the process's own clock, is ahead of true time. */
  clockErrors: number[];
  ownClockError: number;
  /** Control machines that send no clock. */
  silent: Set<number>;
  /** Largest error of agreed time, last agreed time, and largest step back, in ms. */
  maxError: number;
  last: number;
  maxStepBack: number;
}

function begin(this: World, controls: number): void {
  this.time = new AgreedTime();
  this.now = 0;
  this.clockErrors = new Array<number>(controls).fill(0);
  this.ownClockError = 0;
  this.silent = new Set();
  this.maxError = 0;
  this.last = 0;
  this.maxStepBack = 0;
  advance(this, 3);
}
Given("a process that receives the clocks of {int} control machine(s) every 0.2 s", begin);

function trueTime(world: World): number {
  return STARTED_AT_MS + world.now;
}

function receiveClock(world: World, control: number, late: number): void {
  const wall = trueTime(world) - late / 2 + world.clockErrors[control]!;
  world.time.recordReading({ source: `control-${control + 1}`, wall, late }, world.now);
}

function checkAgreedTime(world: World): void {
  const time = world.time.at(world.now);
  if (time === undefined) {
    ok(world.now <= constants.clockWaitMs, `no agreed time after ${world.now} ms`);
    return;
  }
  world.maxError = Math.max(world.maxError, Math.abs(time - trueTime(world)));
  world.maxStepBack = Math.max(world.maxStepBack, world.last - time);
  world.last = time;
}

function advance(world: World, seconds: number): void {
  const end = world.now + seconds * 1_000;
  while (world.now < end) {
    world.now += constants.tickIntervalMs;
    world.time.readOwnClock(trueTime(world) + world.ownClockError, world.now);
    if (world.now % HEARTBEAT_INTERVAL_MS === 0) receiveAllClocks(world);
    checkAgreedTime(world);
  }
}

function receiveAllClocks(world: World): void {
  for (const control of world.clockErrors.keys())
    if (!world.silent.has(control)) receiveClock(world, control, ROUND_TRIP_MS);
}

function stepClocks(world: World, controls: number, error: number, seconds: number): void {
  for (let control = 0; control < controls; control += 1) world.clockErrors[control] = error;
  advance(world, seconds);
  for (let control = 0; control < controls; control += 1) world.clockErrors[control] = 0;
}

function stepClocksAndOwn(this: World, controls: number, step: number): void {
  this.ownClockError = step * 1_000;
  stepClocks(this, controls, step * 1_000, 10);
  this.ownClockError = 0;
  advance(this, 10);
}
When(
  "the clocks of {int} control machines and its own are stepped by {int} s for 10 s and back",
  stepClocksAndOwn,
);

function stepAndAdvance(this: World, controls: number, step: number): void {
  stepClocks(this, controls, step * 1_000, 10);
  advance(this, 10);
}
When(
  "the clocks of {int} control machines are stepped by {int} s for 10 s and back",
  stepAndAdvance,
);

function stepFirstClock(this: World, step: number): void {
  stepAndAdvance.call(this, 1, step);
}
When("the clock of control machine 1 is stepped by {int} s for 10 s and back", stepFirstClock);

function silenceAllControls(this: World, seconds: number, step: number): void {
  for (const control of this.clockErrors.keys()) this.silent.add(control);
  advance(this, seconds / 2);
  this.ownClockError = step * 1_000;
  advance(this, seconds / 2);
}
When(
  "no control machine sends its clock for {int} s, and the process's own clock is stepped by {int} s meanwhile",
  silenceAllControls,
);

function silenceLastControls(this: World, count: number, seconds: number): void {
  const all = [...this.clockErrors.keys()];
  for (const control of all.slice(all.length - count)) this.silent.add(control);
  advance(this, seconds);
}
When("the last {int} control machines fall silent for {int} s", silenceLastControls);

function suspend(this: World, seconds: number): void {
  const late = seconds * 1_000;
  this.now += late;
  for (const control of this.clockErrors.keys()) {
    // Sent just after the request of the process, and read only now.
    const wall = trueTime(this) - late + ROUND_TRIP_MS;
    this.time.recordReading({ source: `control-${control + 1}`, wall, late }, this.now);
  }
  checkAgreedTime(this);
  advance(this, 5);
}
When("the process is suspended for {int} s and then reads the buffered messages", suspend);

function advanceWithoutClocks(this: World, seconds: number): void {
  advance(this, seconds);
}
When("it receives no clock for {int} s", advanceWithoutClocks);

function checkMaxError(this: World, maxErrorMs: number): void {
  ok(this.maxError <= maxErrorMs, `${this.maxError} ms from true time`);
}
Then("agreed time was never more than {int} ms from true time", checkMaxError);

function checkNoStepBack(this: World): void {
  ok(this.maxStepBack <= 0, `${this.maxStepBack} ms back`);
}
Then("agreed time never went back", checkNoStepBack);
