/** Steps on the write queue of a disk that refuses or delays commits. */
import { deepEqual, equal } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { WriteQueue, type JobStore, type WriteJob } from "@chutewick/shell";

interface World {
  store: FaultyStore;
  queue: WriteQueue;
  reported: string[];
  durable: number[];
}

/** A store that rejects a number of commits, or holds each commit until it is released. */
class FaultyStore implements JobStore {
  readonly attempts: number[] = [];
  refusals = 0;
  isHeld = false;
  #release: (() => void) | undefined;

  commit(jobs: readonly WriteJob[]): Promise<void> {
    this.attempts.push(jobs.length);
    for (const job of jobs) job.apply();
    if (this.isHeld) return this.#held();
    if (this.refusals === 0) return Promise.resolve();
    this.refusals -= 1;
    return Promise.reject(new Error("no space left on device"));
  }

  #held(): Promise<void> {
    const self = this;
    function begin(resolve: () => void): void {
      self.#release = resolve;
    }
    return new Promise<void>(begin);
  }

  release(): void {
    this.#release?.();
  }
}

function createQueue(world: World): void {
  world.store = new FaultyStore();
  world.reported = [];
  world.durable = [];
  function changed(condition: string): void {
    world.reported.push(condition);
  }
  world.queue = new WriteQueue(world.store, changed);
}

function refuseCommits(this: World, count: number): void {
  createQueue(this);
  this.store.refusals = count;
}
Given("a write queue on a disk that refuses {int} commits", refuseCommits);

function notResponding(this: World): void {
  createQueue(this);
  this.store.isHeld = true;
}
Given("a write queue on a disk that does not respond", notResponding);

function add(world: World, number: number): Promise<void> {
  function begin(resolve: () => void): void {
    function done(): void {
      world.durable.push(number);
      resolve();
    }
    world.queue.add({ apply: nothing, done });
  }
  return new Promise<void>(begin);
}

async function addAll(this: World, count: number): Promise<void> {
  const writes: Promise<void>[] = [];
  const { queue } = this;
  const world = this;
  function atOnce(): void {
    for (let number = 1; number <= count; number += 1) writes.push(add(world, number));
  }
  // The first commit takes the jobs that exist when it starts, so one write is added before the others.
  this.store.isHeld = true;
  const first = add(this, 0);
  atOnce();
  this.store.isHeld = false;
  this.store.release();
  await Promise.all([first, ...writes]);
  equal(queue.condition, "writable");
  this.store.attempts.shift();
  this.durable.shift();
}
When("{int} writes are added at once", addAll);

function attempts(this: World, counts: string): void {
  deepEqual(this.store.attempts, counts.split(", ").map(Number));
}
Then(/^the commits that were tried hold ([\d, ]+) writes$/, attempts);

function durableInOrder(this: World): void {
  deepEqual(this.durable, [1, 2, 3]);
}
Then("each write is reported as durable once, in order", durableInOrder);

function reportedConditions(this: World, conditions: string): void {
  equal(this.reported.join(", "), conditions);
}
Then("the queue reported {string}", reportedConditions);

function reportedNothing(this: World): void {
  deepEqual(this.reported, []);
}
Then("the queue reported nothing", reportedNothing);

function passInTicks(this: World, milliseconds: string, interval: string): void {
  void add(this, 1);
  const start = performance.now();
  const durationMs = Number(milliseconds.replace(",", ""));
  for (let passed = 0; passed <= durationMs; passed += Number(interval))
    this.queue.tick(start + passed);
}
When(/^a write is added and ([\d,]+) ms pass in beats of (\d+) ms$/, passInTicks);

function passInOneTick(this: World, milliseconds: string): void {
  void add(this, 1);
  const start = performance.now();
  this.queue.tick(start);
  this.queue.tick(start + Number(milliseconds.replace(",", "")));
}
When(/^a write is added and ([\d,]+) ms pass in one beat$/, passInOneTick);

async function respond(this: World): Promise<void> {
  this.store.release();
  function begin(resolve: () => void): void {
    setImmediate(resolve);
  }
  await new Promise<void>(begin);
}
When("the disk responds", respond);

function nothing(): void {
  // These writes have no content.
}
