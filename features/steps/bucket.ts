import { deepEqual, equal, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { bucket, type Bucket, type Limits } from "@chutewick/parts";
import { Chance } from "@chutewick/simulator";

/** Written from the design page alone: whole numbers, millionths of a token and whole ms, so no rounding is shared. */
class Model {
  #millionths: bigint;
  #at: bigint;
  #limits: Limits;

  constructor(limits: Limits, now: number) {
    this.#limits = limits;
    this.#millionths = BigInt(limits.capacity) * 1_000_000_000n;
    this.#at = BigInt(now);
  }

  #refill(now: number): void {
    const moment = BigInt(now);
    if (moment > this.#at) {
      this.#millionths +=
        ((moment - this.#at) * BigInt(this.#limits.tokens) * 1_000_000n) /
        BigInt(this.#limits.windowSeconds);
      this.#at = moment;
    }
    const most = BigInt(this.#limits.capacity) * 1_000_000_000n;
    if (this.#millionths > most) this.#millionths = most;
  }

  draw(now: number, waiting: number): { kind: string; wait?: number } {
    const before = this.#millionths;
    const at = this.#at;
    this.#refill(now);
    if (this.#millionths >= 999_999_990n) {
      if (waiting === 0) {
        this.#millionths = before;
        this.#at = at;
        return { kind: "EMPTY" };
      }
      this.#millionths = this.#millionths > 1_000_000_000n ? this.#millionths - 1_000_000_000n : 0n;
      return { kind: "TAKEN" };
    }
    const missing = 1_000_000_000n - this.#millionths;
    this.#millionths = before;
    this.#at = at;
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
    this.#millionths += 1_000_000_000n;
    this.#refill(now);
  }

  level(now: number): number {
    const copy = new Model(this.#limits, 0);
    copy.#millionths = this.#millionths;
    copy.#at = this.#at;
    copy.#refill(now);
    return Number(copy.#millionths) / 1e9;
  }
}

interface World {
  seeds: number;
  differences: string[];
  limits: Limits;
  held: Bucket;
  taken: number;
  second: number;
  results: { kind: string; wait?: number | undefined }[];
}

function near(left: number | undefined, right: number | undefined, within: number): boolean {
  return (
    left === right ||
    (left !== undefined && right !== undefined && Math.abs(left - right) <= within)
  );
}

function seeds(this: World, seeds: number) {
  this.seeds = seeds;
  this.differences = [];
}
Given("{int} seeds", seeds);

function eachPlaysDrawsLimitChangesHandBacks(this: World, steps: number) {
  for (let seed = 0; seed < this.seeds; seed += 1) {
    const chance = new Chance(seed);
    let limits: Limits = {
      tokens: chance.below(40),
      windowSeconds: 1 + chance.below(60),
      capacity: 1 + chance.below(20),
    };
    let now = 1_000_000;
    let held = bucket.full(limits, now);
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
        held = bucket.relimit(held, limits, after, now);
        model.relimit(after, now);
        limits = after;
      } else if (kind === 2) {
        held = bucket.restore(held, limits, now);
        model.restore(now);
      } else if (kind === 3) waiting += chance.below(10);
      else {
        const there = waiting;
        function take(): string | undefined {
          return there > 0 ? "prompt" : undefined;
        }
        const drawn = bucket.draw(held, limits, now, take);
        const expected = model.draw(now, waiting);
        const wait = drawn.kind === "RATE_LIMITED" ? drawn.wait : undefined;
        if (drawn.kind !== expected.kind || !near(wait, expected.wait, 0.01))
          this.differences.push(
            `seed ${seed} step ${step}: ${JSON.stringify(drawn)} against ${JSON.stringify(expected)}`,
          );
        if (drawn.kind === "TAKEN") {
          held = drawn.bucket;
          waiting -= 1;
        }
      }
      if (!near(bucket.level(held, limits, now), model.level(now), 1e-6))
        this.differences.push(`seed ${seed} step ${step}: level`);
    }
  }
}
When(
  "each plays {int} draws, limit changes, hand-backs and clock steps on both",
  eachPlaysDrawsLimitChangesHandBacks,
);

function everyResultWaitAndLevelIsThe(this: World): void {
  deepEqual(this.differences.slice(0, 5), []);
}
Then("every result, wait and level is the same", everyResultWaitAndLevelIsThe);

function aBucketOfTokensPerSWith(
  this: World,
  tokens: number,
  windowSeconds: number,
  capacity: number,
) {
  this.limits = { tokens, windowSeconds, capacity };
  this.held = bucket.full(this.limits, 0);
  this.taken = 0;
  this.second = 0;
  this.results = [];
}
Given("a bucket of {int} tokens per {int} s with a burst of {int}", aBucketOfTokensPerSWith);

function prompt(): string {
  return "prompt";
}

function none(): undefined {
  return undefined;
}

function aDispatcherThatSleepsEachExactWait(this: World, seconds: number) {
  let now = 0;
  let limited = false;
  while (now < seconds * 1_000) {
    const drawn = bucket.draw(this.held, this.limits, now, prompt);
    if (drawn.kind === "TAKEN") {
      this.held = drawn.bucket;
      this.taken += 1;
      limited = false;
    } else if (drawn.kind === "RATE_LIMITED") {
      if (limited) this.second += 1;
      limited = true;
      now += drawn.wait!;
    }
  }
}
When(
  "a dispatcher that sleeps each exact wait draws for {int} s of virtual time",
  aDispatcherThatSleepsEachExactWait,
);

function promptsWereTakenTheBurstAndThe(this: World, expected: number) {
  ok(Math.abs(this.taken - expected) <= 1, `${this.taken} were taken`);
}
Then(
  "{int} prompts were taken, the burst and the refill, with one to spare at most",
  promptsWereTakenTheBurstAndThe,
);

function noWaitWasFollowedByASecond(this: World): void {
  equal(this.second, 0);
}
Then("no wait was followed by a second rate-limited result", noWaitWasFollowedByASecond);

function anEmptyQueueIsAskedTimes(this: World, times: number) {
  for (let time = 0; time < times; time += 1)
    equal(bucket.draw(this.held, this.limits, time, none).kind, "EMPTY");
}
When("an empty queue is asked {int} times", anEmptyQueueIsAskedTimes);

function tokensAreThere(this: World, tokens: number) {
  equal(bucket.level(this.held, this.limits, 0), tokens);
}
Then("{int} tokens are there", tokensAreThere);

function twoPromptsAreDrawn(this: World): void {
  for (let time = 0; time < 2; time += 1) {
    const drawn = bucket.draw(this.held, this.limits, time, prompt);
    if (drawn.kind === "TAKEN") this.held = drawn.bucket;
    this.results.push({
      kind: drawn.kind,
      ...(drawn.kind === "RATE_LIMITED" ? { wait: drawn.wait } : {}),
    });
  }
}
When("two prompts are drawn", twoPromptsAreDrawn);

function theSecondIsRateLimitedUntilThe(this: World): void {
  deepEqual(this.results, [{ kind: "TAKEN" }, { kind: "RATE_LIMITED", wait: undefined }]);
}
Then("the second is rate-limited until the limit changes", theSecondIsRateLimitedUntilThe);
