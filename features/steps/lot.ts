import { deepEqual, equal, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  Ledger,
  QueueMachine,
  type ClaimEnding,
  type Item,
  type QueueCommand,
  type QueueResult,
} from "@chutewick/parts";
import { Chance } from "@chutewick/simulator";

interface World {
  ledger: Ledger;
  machine: QueueMachine;
  allowance: number;
  now: number;
  results: QueueResult[];
  dequeued: Extract<QueueResult, { kind: "TAKEN" }>[];
  differences: string[];
  lists: string[];
}

function apply(world: World, command: QueueCommand): QueueResult {
  world.now += 1;
  const result = world.machine.apply(world.ledger, command, world.now);
  world.ledger.drainChanges();
  return result;
}

function aQueue(this: World, tokens: number, windowSeconds: number, allowance: number): void {
  this.ledger = new Ledger();
  this.machine = new QueueMachine();
  this.machine.rebuild(this.ledger);
  this.allowance = allowance;
  this.now = 0;
  this.results = [];
  this.dequeued = [];
  this.differences = [];
  this.lists = [];
  apply(this, {
    kind: "limit",
    limits: { tokens: tokens, windowSeconds, capacity: tokens },
    share: allowance,
    mark: 1,
  });
}
Given("a queue with {int} tokens per {int} s and an allowance of {int} waiting items", aQueue);

function submission(lot: string, count: number, allowance: number): QueueCommand {
  const prompts: unknown[] = [];
  for (let index = 0; index < count; index += 1) prompts.push({ lot, index });
  return {
    kind: "admit",
    lot,
    way: "slips",
    body: `${lot} ${count}`,
    prompts,
    labels: {},
    lasts: 600_000,
    allowance,
  };
}

function aLotIsSubmitted(this: World, lot: string, count: number): void {
  this.results.push(apply(this, submission(lot, count, this.allowance)));
}
When("a lot {string} of {int} items is submitted", aLotIsSubmitted);

function theResultsAre(this: World, kinds: string): void {
  const found: string[] = [];
  for (const result of this.results) found.push(result.kind);
  equal(found.join(", "), kinds);
}
Then(/^the results are ([A-Z, ]+)$/, theResultsAre);

function itemsWait(this: World, count: number): void {
  equal(this.machine.waiting, count);
}
Then("{int} items wait", itemsWait);

function theRefusalReturns(this: World, wait: number): void {
  const last = this.results.at(-1)!;
  ok(last.kind === "FULL");
  equal(last.wait, wait);
}
Then("the refusal returns a wait of {int} ms", theRefusalReturns);

function theLotIsUnknown(this: World, lot: string): void {
  equal(apply(this, { kind: "status", lot }).kind, "UNKNOWN_LOT");
}
Then("the lot {string} is unknown", theLotIsUnknown);

function dequeue(world: World): Extract<QueueResult, { kind: "TAKEN" }> {
  const result = apply(world, { kind: "pop", holder: "dispatcher" });
  ok(result.kind === "TAKEN", result.kind);
  world.dequeued.push(result);
  return result;
}

function endingOf(kind: string): ClaimEnding {
  if (kind === "solved") return { kind, result: ["good"] };
  if (kind === "trouble") return { kind, reason: "out of memory" };
  return { kind: kind as "broken" | "unsent" };
}

/** Keeps the time constant, so that no refill hides what was spent. */
function aPromptIsDequeuedAndRecorded(this: World, kind: string): void {
  const { now } = this;
  const { lot, index, go } = dequeue(this);
  this.now = now;
  this.results.push(apply(this, { kind: "record", lot, index, go, ending: endingOf(kind) }));
  this.now = now;
}
When(
  /^a prompt is popped and recorded as (solved|trouble|broken|unsent)$/,
  aPromptIsDequeuedAndRecorded,
);

function aClaimIsReset(this: World): void {
  const { lot, index, go } = dequeue(this);
  this.results.push(apply(this, { kind: "reset", items: [{ lot, index, go }] }));
}
When("a prompt is popped and its claim is reset for a missing heartbeat", aClaimIsReset);

function theFirstAttemptRecords(this: World): void {
  const { lot, index, go } = this.dequeued[0]!;
  this.results.push(
    apply(this, { kind: "record", lot, index, go, ending: { kind: "solved", result: ["late"] } }),
  );
}
When("the first attempt records another result", theFirstAttemptRecords);

function theResultsEndWith(this: World, kinds: string): void {
  const wanted = kinds.split(", ");
  const found: string[] = [];
  for (const result of this.results.slice(-wanted.length)) found.push(result.kind);
  deepEqual(found, wanted);
}
Then(/^the results end with ([A-Z_, ]+)$/, theResultsEndWith);

function theNextPrompt(this: World, index: number): void {
  const { now } = this;
  equal(dequeue(this).index, index);
  this.now = now;
}
Then("the next prompt popped is item {int}", theNextPrompt);

function tokensAreLeft(this: World, tokens: number): void {
  const count = this.machine.apply(this.ledger, { kind: "count" }, this.now);
  ok(count.kind === "COUNT");
  equal(Math.round(count.tokens), tokens);
}
Then("{int} tokens are left", tokensAreLeft);

function itemIs(this: World, index: number, lot: string, state: string): void {
  if (this.machine.isExpiryDue(this.ledger, this.now)) apply(this, { kind: "expire" });
  const status = apply(this, { kind: "status", lot });
  ok(status.kind === "LOT");
  equal(status.items[index]!.state, state);
  if (state === "solved") deepEqual(status.items[index]!.result, ["good"]);
}
Then(/^item (\d+) of "([a-z])" is (queued|solved|failed|cancelled)$/, itemIs);

function theLotIsCancelled(this: World, lot: string): void {
  this.results.push(apply(this, { kind: "cancel", lot }));
}
When("the lot {string} is cancelled", theLotIsCancelled);

function theNextDequeueReturnsEmpty(this: World): void {
  equal(apply(this, { kind: "pop", holder: "dispatcher" }).kind, "EMPTY");
}
Then("the next dequeue returns EMPTY", theNextDequeueReturnsEmpty);

function secondsPass(this: World, seconds: number): void {
  this.now += seconds * 1_000;
  if (this.machine.isExpiryDue(this.ledger, this.now)) apply(this, { kind: "expire" });
}
When("{int} s pass", secondsPass);

function theMachineIsRebuilt(this: World): void {
  this.machine = new QueueMachine();
  this.machine.rebuild(this.ledger);
}
When("the machine is rebuilt from its records", theMachineIsRebuilt);

function randomCommand(
  chance: Chance,
  claims: Extract<QueueResult, { kind: "TAKEN" }>[],
): QueueCommand {
  const lot = `lot-${chance.below(12)}`;
  const claim = claims[chance.below(Math.max(1, claims.length))];
  const kind = chance.below(12);
  if (kind < 2) return submission(lot, 1 + (lot.length % 5), 40);
  if (kind < 6) return { kind: "pop", holder: "dispatcher" };
  if (kind === 6) return { kind: "cancel", lot };
  if (kind === 7) return { kind: "expire" };
  if (kind === 8)
    return {
      kind: "limit",
      limits: { tokens: chance.below(50), windowSeconds: 1, capacity: 1 + chance.below(20) },
      share: 40,
      mark: chance.below(50),
    };
  if (claim === undefined) return { kind: "count" };
  if (kind === 9)
    return { kind: "reset", items: [{ lot: claim.lot, index: claim.index, go: claim.go }] };
  return {
    kind: "record",
    lot: claim.lot,
    index: claim.index,
    go: claim.go,
    ending: endingOf(["solved", "trouble", "broken", "unsent"][chance.below(4)]!),
  };
}

function randomCommandsAreApplied(this: World, seeds: number, steps: number): void {
  for (let seed = 0; seed < seeds; seed += 1) {
    const chance = new Chance(seed);
    const [left, right] = [new Ledger(), new Ledger()];
    const leftMachine = new QueueMachine();
    let rightMachine = new QueueMachine();
    const claims: Extract<QueueResult, { kind: "TAKEN" }>[] = [];
    const seen = new Map<string, string>();
    let now = 0;
    for (let step = 0; step < steps; step += 1) {
      now += chance.below(chance.below(30) === 0 ? 120_000 : 300);
      const command = randomCommand(chance, claims);
      const result = leftMachine.apply(left, command, now);
      const other = rightMachine.apply(right, command, now);
      if (JSON.stringify(result) !== JSON.stringify(other))
        this.differences.push(
          `seed ${seed} step ${step}: ${JSON.stringify(result)} against ${JSON.stringify(other)}`,
        );
      if (result.kind === "TAKEN") claims.push(result);
      const changes = left.drainChanges();
      for (const [key, value] of changes) {
        if (key.startsWith("item/") && value === undefined) seen.delete(key);
        if (key.startsWith("item/") && value !== undefined)
          checkItem(this.lists, seed, key, value as Item, seen);
      }
      if (step === steps >> 1) {
        const copy = new Ledger();
        copy.applyChanges(right.snapshot());
        right.clear();
        right.applyChanges(copy.snapshot());
        rightMachine = new QueueMachine();
        rightMachine.rebuild(right);
      }
    }
    const sorted = JSON.stringify(left.snapshot().sort(byKey));
    if (sorted !== JSON.stringify(right.snapshot().sort(byKey)))
      this.differences.push(`seed ${seed}: records differ`);
    for (const [, lot] of left.under<{ id: string; items: number }>("lot/")) {
      const status = leftMachine.apply(left, { kind: "status", lot: lot.id }, now);
      ok(status.kind === "LOT");
      for (const [position, item] of status.items.entries())
        if (item.index !== position)
          this.lists.push(`seed ${seed}: ${lot.id} lists ${item.index} at ${position}`);
      if (status.items.length !== lot.items)
        this.lists.push(`seed ${seed}: ${lot.id} lists ${status.items.length}`);
    }
  }
}
When(
  "{int} seeds of {int} random commands are applied to two machines, one of them rebuilt from records half-way",
  randomCommandsAreApplied,
);

/** A lot may be submitted anew after its retention; until then a final item must not change. */
function checkItem(
  lists: string[],
  seed: number,
  key: string,
  item: Item,
  seen: Map<string, string>,
): void {
  const current = JSON.stringify([item.state, item.result, item.reason]);
  const before = seen.get(key);
  if (before !== undefined && before !== current && item.go > 0)
    lists.push(`seed ${seed}: ${key} was ${before}, then ${current}`);
  if (item.state === "solved" || item.state === "failed" || item.state === "cancelled")
    seen.set(key, current);
}

function byKey(left: readonly [string, unknown], right: readonly [string, unknown]): number {
  return left[0] < right[0] ? -1 : 1;
}

function bothHoldTheSame(this: World): void {
  deepEqual(this.differences.slice(0, 5), []);
}
Then("both hold the same records", bothHoldTheSame);

function everyLotListsEachItem(this: World): void {
  deepEqual(this.lists.slice(0, 5), []);
}
Then("every lot lists each item once and no final item ever changed", everyLotListsEachItem);
