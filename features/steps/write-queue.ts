import { deepEqual, equal } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { WriteQueue, type JobStore, type WriteJob } from "@chutewick/shell";

interface World {
  store: FaultyStore;
  queue: WriteQueue;
  told: string[];
  durable: number[];
}

/** A disk that refuses so many commits, or keeps each until it is let go. */
class FaultyStore implements JobStore {
  readonly tried: number[] = [];
  refuses = 0;
  isHeld = false;
  #letGo: (() => void) | undefined;

  commit(jobs: readonly WriteJob[]): Promise<void> {
    this.tried.push(jobs.length);
    for (const job of jobs) job.apply();
    if (this.isHeld) return this.#held();
    if (this.refuses === 0) return Promise.resolve();
    this.refuses -= 1;
    return Promise.reject(new Error("no space left on device"));
  }

  #held(): Promise<void> {
    const self = this;
    function begin(resolve: () => void): void {
      self.#letGo = resolve;
    }
    return new Promise<void>(begin);
  }

  letGo(): void {
    this.#letGo?.();
  }
}

function aQueue(world: World): void {
  world.store = new FaultyStore();
  world.told = [];
  world.durable = [];
  function changed(condition: string): void {
    world.told.push(condition);
  }
  world.queue = new WriteQueue(world.store, changed);
}

function refusing(this: World, count: number): void {
  aQueue(this);
  this.store.refuses = count;
}
Given("a write queue on a disk that refuses {int} commits", refusing);

function silent(this: World): void {
  aQueue(this);
  this.store.isHeld = true;
}
Given("a write queue on a disk that does not answer", silent);

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
  /** The first commit takes what is there when the loop comes to it, so one write goes before. */
  this.store.isHeld = true;
  const first = add(this, 0);
  atOnce();
  this.store.isHeld = false;
  this.store.letGo();
  await Promise.all([first, ...writes]);
  equal(queue.condition, "writable");
  this.store.tried.shift();
  this.durable.shift();
}
When("{int} writes are added at once", addAll);

function tried(this: World, counts: string): void {
  deepEqual(this.store.tried, counts.split(", ").map(Number));
}
Then(/^the commits that were tried hold ([\d, ]+) writes$/, tried);

function inOrder(this: World): void {
  deepEqual(this.durable, [1, 2, 3]);
}
Then("each write is told as durable once, in order", inOrder);

function toldOf(this: World, conditions: string): void {
  equal(this.told.join(", "), conditions);
}
Then("the queue told {string}", toldOf);

function toldNothing(this: World): void {
  deepEqual(this.told, []);
}
Then("the queue told nothing", toldNothing);

function inBeats(this: World, milliseconds: string, beat: string): void {
  void add(this, 1);
  const start = performance.now();
  const lasts = Number(milliseconds.replace(",", ""));
  for (let passed = 0; passed <= lasts; passed += Number(beat)) this.queue.beat(start + passed);
}
When(/^a write is added and ([\d,]+) ms pass in beats of (\d+) ms$/, inBeats);

function inOneBeat(this: World, milliseconds: string): void {
  void add(this, 1);
  const start = performance.now();
  this.queue.beat(start);
  this.queue.beat(start + Number(milliseconds.replace(",", "")));
}
When(/^a write is added and ([\d,]+) ms pass in one beat$/, inOneBeat);

async function answers(this: World): Promise<void> {
  this.store.letGo();
  function begin(resolve: () => void): void {
    setImmediate(resolve);
  }
  await new Promise<void>(begin);
}
When("the disk answers", answers);

function nothing(): void {
  // These writes have no contents.
}
