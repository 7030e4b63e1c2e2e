/** Steps on the token bucket of a queue (docs/design.md §3.1). */
import { deepEqual, equal, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { bucket, type Bucket, type Limits } from "@chutewick/parts";
import { Chance } from "@chutewick/simulator";

/** Reference model of a bucket. It uses only integers, so that it shares no rounding with the product. */
class Model {
  /** Billionths of a token. */
  #billionths: bigint;
  /** Time of the last refill in ms. */
  #refilledAt: bigint;
  #limits: Limits;

  constructor(limits: Limits, now: number) {
    this.#limits = limits;
    this.#billionths = BigInt(limits.capacity) * 1_000_000_000n;
    this.#refilledAt = BigInt(now);
  }

  #refill(now: number): void {
    const nowMs = BigInt(now);
    if (nowMs > this.#refilledAt) {
      this.#billionths +=
        ((nowMs - this.#refilledAt) * BigInt(this.#limits.tokens) * 1_000_000n) /
        BigInt(this.#limits.windowSeconds);
      this.#refilledAt = nowMs;
    }
    const capacity = BigInt(this.#limits.capacity) * 1_000_000_000n;
    if (this.#billionths > capacity) this.#billionths = capacity;
  }

  draw(now: number, waiting: number): { kind: string; wait?: number } {
    const billionthsBefore = this.#billionths;
    const refilledAtBefore = this.#refilledAt;
    this.#refill(now);
    if (this.#billionths >= 999_999_990n) {
      if (waiting === 0) {
        this.#billionths = billionthsBefore;
        this.#refilledAt = refilledAtBefore;
        return { kind: "EMPTY" };
      }
      this.#billionths = this.#billionths > 1_000_000_000n ? this.#billionths - 1_000_000_000n : 0n;
      return { kind: "TAKEN" };
    }
    const missing = 1_000_000_000n - this.#billionths;
    this.#billionths = billionthsBefore;
    this.#refilledAt = refilledAtBefore;
    if (this.#limits.tokens === 0) return { kind: "RATE_LIMITED" };
    return {
      kind: "RATE_LIMITED",
      wait:
        Number(
          (missing * BigInt(this.#limits.windowSeconds)) / (BigInt(this.#limits.tokens) * 1_000n),
        ) / 1_000,
    };
  }

  relimit(limits: Limits, now: number): void {
    this.#refill(now);
    this.#limits = limits;
    this.#refill(now);
  }

  restore(now: number): void {
    this.#refill(now);
    this.#billionths += 1_000_000_000n;
    this.#refill(now);
  }

  level(now: number): number {
    const copy = new Model(this.#limits, 0);
    copy.#billionths = this.#billionths;
    copy.#refilledAt = this.#refilledAt;
    copy.#refill(now);
    return Number(copy.#billionths) / 1e9;
  }
}

interface World {
  seeds: number;
  differences: string[];
  limits: Limits;
  /** The bucket under test. */
  held: Bucket;
  taken: number;
  /** Rate-limited results right after a wait. */
  repeatedLimits: number;
  results: { kind: string; wait?: number | undefined }[];
}

function near(left: number | undefined, right: number | undefined, within: number): boolean {
  return (
    left === right ||
    (left !== undefined && right !== undefined && Math.abs(left - right) <= within)
  );
}

function useSeeds(this: World, seeds: number) {
  this.seeds = seeds;
  this.differences = [];
}
Given("{int} seeds", useSeeds);

function playRandomSteps(this: World, steps: number) {
  for (let seed = 0; seed < this.seeds; seed += 1) {
    const chance = new Chance(seed);
    let limits: Limits = {
      tokens: chance.below(40),
      windowSeconds: 1 + chance.below(60),
      capacity: 1 + chance.below(20),
    };
    let now = 1_000_000;
    let state = bucket.full(limits, now);
    const model = new Model(limits, now);
    let waiting = chance.below(50);
    for (let step = 0; step < steps; step += 1) {
      const kind = chance.below(20);
      if (kind === 0) now -= chance.below(5_000);
      else now += chance.below(2_500);
      if (kind === 1) {
        const after = {
          tokens: chance.below(40),
          windowSeconds: 1 + chance.below(60),
          capacity: 1 + chance.below(20),
        };
        state = bucket.changeLimits(state, limits, after, now);
        model.relimit(after, now);
        limits = after;
      } else if (kind === 2) {
        state = bucket.restore(state, limits, now);
        model.restore(now);
      } else if (kind === 3) waiting += chance.below(10);
      else {
        const available = waiting;
        function take(): string | undefined {
          return available > 0 ? "prompt" : undefined;
        }
        const drawn = bucket.draw(state, limits, now, take);
        const expected = model.draw(now, waiting);
        const wait = drawn.kind === "RATE_LIMITED" ? drawn.wait : undefined;
        if (drawn.kind !== expected.kind || !near(wait, expected.wait, 0.01))
          this.differences.push(
            `seed ${seed} step ${step}: ${JSON.stringify(drawn)} against ${JSON.stringify(expected)}`,
          );
        if (drawn.kind === "TAKEN") {
          state = drawn.bucket;
          waiting -= 1;
        }
      }
      if (!near(bucket.tokensAt(state, limits, now), model.level(now), 1e-6))
        this.differences.push(`seed ${seed} step ${step}: level`);
    }
  }
}
When(
  "each seed plays {int} draws, limit changes, returned tokens and clock steps on both",
  playRandomSteps,
);

function checkNoDifferences(this: World): void {
  deepEqual(this.differences.slice(0, 5), []);
}
Then("every result, wait and level is the same", checkNoDifferences);

function createBucket(this: World, tokens: number, windowSeconds: number, capacity: number) {
  this.limits = { tokens, windowSeconds, capacity };
  this.held = bucket.full(this.limits, 0);
  this.taken = 0;
  this.repeatedLimits = 0;
  this.results = [];
}
Given("a bucket of {int} tokens per {int} s with a burst of {int}", createBucket);

function prompt(): string {
  return "prompt";
}

function none(): undefined {
  return undefined;
}

function drawWithExactWaits(this: World, seconds: number) {
  let now = 0;
  let limited = false;
  while (now < seconds * 1_000) {
    const drawn = bucket.draw(this.held, this.limits, now, prompt);
    if (drawn.kind === "TAKEN") {
      this.held = drawn.bucket;
      this.taken += 1;
      limited = false;
    } else if (drawn.kind === "RATE_LIMITED") {
      if (limited) this.repeatedLimits += 1;
      limited = true;
      now += drawn.wait!;
    }
  }
}
When(
  "a dispatcher that sleeps each exact wait draws for {int} s of virtual time",
  drawWithExactWaits,
);

function checkTakenPrompts(this: World, expected: number) {
  ok(Math.abs(this.taken - expected) <= 1, `${this.taken} were taken`);
}
Then("{int} prompts were taken, the burst and the refill, give or take one", checkTakenPrompts);

function checkNoRepeatedLimit(this: World): void {
  equal(this.repeatedLimits, 0);
}
Then("no wait was followed by a second rate-limited result", checkNoRepeatedLimit);

function drawFromEmptyQueue(this: World, times: number) {
  for (let time = 0; time < times; time += 1)
    equal(bucket.draw(this.held, this.limits, time, none).kind, "EMPTY");
}
When("an empty queue is asked {int} times", drawFromEmptyQueue);

function checkLevel(this: World, tokens: number) {
  equal(bucket.tokensAt(this.held, this.limits, 0), tokens);
}
Then("the bucket holds {int} tokens", checkLevel);

function drawTwoPrompts(this: World): void {
  for (let time = 0; time < 2; time += 1) {
    const drawn = bucket.draw(this.held, this.limits, time, prompt);
    if (drawn.kind === "TAKEN") this.held = drawn.bucket;
    this.results.push({
      kind: drawn.kind,
      ...(drawn.kind === "RATE_LIMITED" ? { wait: drawn.wait } : {}),
    });
  }
}
When("two prompts are drawn", drawTwoPrompts);

function checkSecondIsLimited(this: World): void {
  deepEqual(this.results, [{ kind: "TAKEN" }, { kind: "RATE_LIMITED", wait: undefined }]);
}
Then("the second is rate-limited until the limit changes", checkSecondIsLimited);
