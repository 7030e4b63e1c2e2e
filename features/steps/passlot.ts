import { deepEqual, equal, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  Ledger,
  QueueMachine,
  claimOf,
  type Change,
  type Claim,
  type ListedResult,
  type PassEnding,
  type PassEntry,
  type PassTask,
  type QueueCommand,
  type QueueResult,
  type TaskRecord,
} from "@chutewick/parts";
import {
  Chance,
  PassPlay,
  handInDelays,
  darkRunnerDelay,
  heldReadDelays,
  newLifeDelay,
  type Fault,
  type PassPlayOptions,
} from "@chutewick/simulator";

/** State shared by the steps on a queue with lots of passages. */
export interface World {
  ledger: Ledger;
  machine: QueueMachine;
  allowance: number;
  now: number;
  told: QueueResult[];
  dequeued: PassTask[];
  differences: string[];
  faults: string[];
}

export function apply(world: World, command: QueueCommand): QueueResult {
  const result = world.machine.apply(world.ledger, command, world.now);
  world.ledger.drainChanges();
  return result;
}

function aPassagesQueue(
  this: World,
  tokens: number,
  windowSeconds: number,
  capacity: number,
  allowance: number,
): void {
  this.ledger = new Ledger();
  this.machine = new QueueMachine();
  this.machine.rebuild(this.ledger);
  this.allowance = allowance;
  this.now = 0;
  this.told = [];
  this.dequeued = [];
  this.differences = [];
  this.faults = [];
  apply(this, {
    kind: "limit",
    limits: { tokens, windowSeconds, capacity },
    share: 1_000,
    mark: 1,
  });
}
Given(
  "a passage's queue with {int} tokens per {int} s, bursts of {int}, and {int} tokens that may wait",
  aPassagesQueue,
);

export function submission(
  lot: string,
  count: number,
  tokens: number,
  allowance: number,
  way = "slips",
): Extract<QueueCommand, { kind: "hand-in" }> {
  const entries: PassEntry[] = [];
  for (let index = 0; index < count; index += 1)
    entries.push({
      id: `${lot}-${index}`,
      path: `/slips/${index}`,
      headers: ["tag", String(index)],
      body: new TextEncoder().encode(`body ${index}`),
      tokens,
      model: "m",
    });
  return {
    kind: "hand-in",
    lot,
    way,
    host: "hub.example",
    entries,
    allowance,
    goesMost: 3,
    keeps: 40_000,
  };
}

function theLotIsSubmitted(this: World, lot: string, count: number, tokens: number): void {
  this.told.push(apply(this, submission(lot, count, tokens, this.allowance)));
}
When("the lot {string} with {int} items of {int} tokens is handed in", theLotIsSubmitted);

function itIsSubmittedWithin(
  this: World,
  lot: string,
  count: number,
  tokens: number,
  within: number,
): void {
  this.told.push(apply(this, { ...submission(lot, count, tokens, this.allowance), within }));
}
When(
  "the lot {string} with {int} items of {int} tokens, wanted within {int} ms, is handed in",
  itIsSubmittedWithin,
);

function itIsSubmittedLate(
  this: World,
  lot: string,
  count: number,
  tokens: number,
  within: number,
): void {
  this.told.push(
    apply(this, { ...submission(lot, count, tokens, this.allowance), within, late: true }),
  );
}
When(
  "the lot {string} with {int} items of {int} tokens, wanted within {int} ms, is handed in late",
  itIsSubmittedLate,
);

function requestIsSubmitted(
  this: World,
  ticket: string,
  lot: string,
  count: string,
  tokens: string,
  again: string | null,
): void {
  this.told.push(
    apply(this, {
      ...submission(lot, Number(count), Number(tokens), this.allowance),
      ticket,
      final: again !== null,
    }),
  );
}
When(
  /^sending "(\w)" of the lot "(\w)" with (\d+) items of (\d+) tokens is handed in( again)?$/,
  requestIsSubmitted,
);

function noRefusedRequestIsRemembered(this: World): void {
  deepEqual([...this.ledger.under("turned/")], []);
}
Then("no refused sending is remembered any more", noRefusedRequestIsRemembered);

function nameOf(result: QueueResult): string {
  if (result.kind === "HANDED" && result.again) return "HANDED again";
  return result.kind;
}

function theResultsAre(this: World, kinds: string): void {
  const found: string[] = [];
  for (const result of this.told) found.push(nameOf(result));
  equal(found.join(", "), kinds);
}
Then(/^the tellings are ([A-Z_a-z, ]+)$/, theResultsAre);

function theLastResultIs(this: World, kind: string): void {
  equal(nameOf(this.told.at(-1)!), kind);
}
Then(/^the last telling is ([A-Z_]+(?: again)?)$/, theLastResultIs);

function settledWithStale(this: World, stale: number): void {
  const last = this.told.at(-1)!;
  ok(last.kind === "SETTLED", last.kind);
  equal(last.stale, stale);
}
Then("the last telling is SETTLED, with {int} stale", settledWithStale);

function itemsWaitInTheQueue(this: World, count: number): void {
  equal(this.machine.waiting, count);
}
Then("{int} items wait in the queue", itemsWaitInTheQueue);

function dequeue(
  world: World,
  most: number,
  able: readonly string[] = ["slips"],
): Extract<QueueResult, { kind: "DRAWN" }> {
  const result = apply(world, { kind: "draw", holder: "node", most, able });
  ok(result.kind === "DRAWN", result.kind);
  return result;
}

function promptsAreDequeued(this: World, count: number): void {
  this.dequeued = [...dequeue(this, count).tasks];
  equal(this.dequeued.length, count);
}
function numberDequeued(this: World, count: string): void {
  promptsAreDequeued.call(this, Number(count));
}
When(/^(\d+) prompts? (?:is|are) drawn$/, numberDequeued);

function promptsAreRequested(this: World, count: number): void {
  this.told.push(dequeue(this, count));
}
When("{int} prompts are requested", promptsAreRequested);

function otherPromptsAreRequested(this: World, count: number): void {
  this.told.push(dequeue(this, count, ["others"]));
}
When("{int} prompts of another passage are requested", otherPromptsAreRequested);

function promptsAreReturned(
  this: World,
  count: number,
  more: string,
  wait: string | undefined,
): void {
  const last = this.told.at(-1)!;
  ok(last.kind === "DRAWN");
  deepEqual(
    [
      last.tasks.length,
      last.more,
      wait === undefined ? undefined : Math.round(last.wait! * 1_000) / 1_000,
    ],
    [count, more, wait === undefined ? undefined : Number(wait)],
  );
}
function numberReturned(this: World, count: string, more: string, wait: string | null): void {
  promptsAreReturned.call(this, Number(count), more, wait ?? undefined);
}
Then(
  /^(\d+) prompts came, and then (EMPTY|RATE_LIMITED)(?: with a wait of (\d+) ms)?$/,
  numberReturned,
);

function nothingIsDequeued(this: World): void {
  deepEqual(dequeue(this, 8).tasks, []);
}
Then("nothing is drawn", nothingIsDequeued);

function timePasses(this: World, time: number): void {
  this.now += time;
  if (this.machine.isExpiryDue(this.ledger, this.now)) apply(this, { kind: "expire" });
}
When("{int} ms pass on the ledger", timePasses);

function tokensOfTheBucket(this: World, tokens: number): void {
  const count = apply(this, { kind: "count" });
  ok(count.kind === "COUNT");
  equal(Math.round(count.tokens), tokens);
}
Then("{int} tokens of the bucket are left", tokensOfTheBucket);

function claimIn({ lot, index, go }: PassTask): Claim {
  return { lot, index, go };
}

function settle(world: World, task: PassTask, ending: PassEnding): void {
  world.told.push(apply(world, { kind: "settle", endings: [{ claim: claimIn(task), ending }] }));
}

function endingOf(kind: string): PassEnding {
  if (kind === "solved") return { kind, text: "done", events: 1 };
  if (kind === "broken") return { kind, text: "", events: 0, upTo: undefined };
  return { kind: kind as "never" | "trouble" | "unsent" };
}

function theDequeuedPromptEnds(this: World, kind: string): void {
  settle(this, this.dequeued[0]!, endingOf(kind));
}
When(/^the drawn prompt ends as (solved|never|unsent)$/, theDequeuedPromptEnds);

function theDequeuedPromptBreaks(
  this: World,
  upTo: number,
  first: string,
  second: string | null,
): void {
  const texts = second === null ? [first] : [first, second];
  settle(this, this.dequeued[0]!, {
    kind: "broken",
    text: texts.join("\n"),
    events: texts.length,
    upTo,
  });
}
function breaksAfter(this: World, upTo: string, first: string, second: string | null): void {
  theDequeuedPromptBreaks.call(this, Number(upTo), first, second);
}
When(/^the drawn prompt breaks after event (\d+) with "(\w+)"(?: and "(\w+)")?$/, breaksAfter);

function theDequeuedPromptBreaksAtOnce(this: World): void {
  settle(this, this.dequeued[0]!, endingOf("broken"));
}
When("the drawn prompt breaks without an event", theDequeuedPromptBreaksAtOnce);

function theNextPromptIs(this: World, index: number, lot: string, upTo: number | undefined): void {
  promptsAreDequeued.call(this, 1);
  const [task] = this.dequeued as [PassTask];
  deepEqual(
    [task.lot, task.index, task.upTo, task.entry.path],
    [lot, index, upTo, `/slips/${index}`],
  );
}
function fromItsStart(this: World, index: number, lot: string): void {
  theNextPromptIs.call(this, index, lot, undefined);
}
Then("the next prompt is item {int} of {string}, from its start", fromItsStart);
Then("the next prompt is item {int} of {string}, after event {int}", theNextPromptIs);

function itEnds(this: World, kinds: string): void {
  for (const kind of kinds.matchAll(/fails|breaks/g)) {
    promptsAreDequeued.call(this, 1);
    settle(this, this.dequeued[0]!, endingOf(kind[0] === "fails" ? "trouble" : "broken"));
  }
}
When(/^it (fails, breaks, fails and breaks|fails)$/, itEnds);

function listed(world: World, lot: string, from: number): readonly ListedResult[] {
  const result = apply(world, { kind: "results", lot, from });
  ok(result.kind === "RESULTS", result.kind);
  return result.results;
}

function positionIs(
  this: World,
  position: string,
  lot: string,
  index: string,
  state: string,
  text: string | null,
): void {
  deepEqual(listed(this, lot, Number(position))[0], {
    item: `${lot}-${index}`,
    state,
    text: (text ?? "").replaceAll("/", "\n"),
  });
}
Then(/^position (\d+) of "(\w+)" is item (\d+), (solved|failed)(?: with "(.*)")?$/, positionIs);

function listsNothing(this: World, lot: string): void {
  deepEqual(listed(this, lot, 0), []);
}
Then("{string} lists nothing", listsNothing);

function listsItems(this: World, lot: string, items: string, from: string): void {
  const found: string[] = [];
  for (const { item } of listed(this, lot, Number(from))) found.push(item.slice(lot.length + 1));
  equal(found.join(", "), items);
}
Then(/^"(\w+)" lists items ([\d, ]+) from position (-?[\d.]+)$/, listsItems);

function theyEndInReverse(this: World): void {
  for (const task of this.dequeued.reverse()) settle(this, task, endingOf("solved"));
}
When("they end as solved in reverse order", theyEndInReverse);

function itIsEnded(this: World, lot: string): void {
  this.told.push(apply(this, { kind: "end", lot }));
}
When("the lot {string} is ended", itIsEnded);

function machineRestarts(this: World): void {
  this.machine = new QueueMachine();
  this.machine.rebuild(this.ledger);
}
When("the machine starts again from its records", machineRestarts);

function claimsUnderWay(this: World, lot: string): void {
  const claims: Claim[] = [];
  for (const [key, { go }] of this.machine.passQueue.processing()) claims.push(claimOf(key, go));
  deepEqual(claims, [
    { lot, index: 0, go: 1 },
    { lot, index: 1, go: 1 },
  ]);
}
Then("the claims under way are 0 and 1 of {string}", claimsUnderWay);

function itsPassageIsRemoved(this: World): void {
  this.told.push(apply(this, { kind: "drop-way", way: "slips" }));
}
When("its passage goes", itsPassageIsRemoved);

function readableBodies(world: World, lot: string): string {
  const found: string[] = [];
  for (let index = 0; index < 3; index += 1) {
    const result = apply(world, { kind: "read-item", lot, item: `${lot}-${index}` });
    if (result.kind === "BODY") {
      equal(new TextDecoder().decode(result.body), `body ${index}`);
      found.push(String(index));
    }
  }
  return found.join(", ");
}

function theBodiesAreReturned(this: World, items: string, lot: string): void {
  equal(readableBodies(this, lot), items);
}
Then(/^the bodies of items ([\d, ]+) of "(\w+)" are told$/, theBodiesAreReturned);

function noBodyIsReturned(this: World, lot: string): void {
  equal(readableBodies(this, lot), "");
}
Then("no body of {string} is told", noBodyIsReturned);

function randomCommand(chance: Chance, claims: PassTask[]): QueueCommand {
  const lot = `lot/${chance.below(14)}`;
  const task = claims[chance.below(Math.max(1, claims.length))];
  const kind = chance.below(14);
  if (kind < 3)
    return submission(
      lot,
      1 + (lot.length % 5),
      1 + chance.below(40),
      400,
      chance.happens(0.5) ? "slips" : "tags",
    );
  if (kind < 7)
    return {
      kind: "draw",
      holder: "node",
      most: 1 + chance.below(6),
      able: chance.happens(0.3) ? ["tags"] : ["slips", "tags"],
    };
  if (kind === 7) return { kind: "end", lot };
  if (kind === 8) return { kind: "expire" };
  if (kind === 9 && chance.happens(0.05)) return { kind: "drop-way", way: "tags" };
  if (task === undefined) return { kind: "count" };
  const endings: { claim: Claim; ending: PassEnding }[] = [];
  for (let count = chance.below(4); count >= 0; count -= 1) {
    const one = claims[chance.below(claims.length)]!;
    const way = ["solved", "never", "trouble", "broken", "unsent"][chance.below(5)]!;
    const upTo = (one.upTo ?? 0) + 1;
    endings.push({
      claim: claimIn(one),
      ending:
        way === "broken"
          ? { kind: "broken", text: `event ${upTo}`, events: 1, upTo }
          : endingOf(way),
    });
  }
  return { kind: "settle", endings };
}

function byKey(left: Change, right: Change): number {
  return left[0] < right[0] ? -1 : 1;
}

function randomCommandsAreApplied(this: World, seeds: number, steps: number): void {
  for (let seed = 0; seed < seeds; seed += 1) {
    const chance = new Chance(seed);
    const [left, right] = [new Ledger(), new Ledger()];
    const leftMachine = new QueueMachine();
    let rightMachine = new QueueMachine();
    const claims: PassTask[] = [];
    const shown = new Map<string, string>();
    let now = 0;
    const limit: QueueCommand = {
      kind: "limit",
      limits: { tokens: 40, windowSeconds: 1, capacity: 12 },
      share: 40,
      mark: 1,
    };
    leftMachine.apply(left, limit, now);
    rightMachine.apply(right, limit, now);
    for (let step = 0; step < steps; step += 1) {
      now += chance.below(chance.below(30) === 0 ? 120_000 : 300);
      const command = randomCommand(chance, claims);
      const result = leftMachine.apply(left, command, now);
      if (JSON.stringify(result) !== JSON.stringify(rightMachine.apply(right, command, now)))
        this.differences.push(`seed ${seed} step ${step}: ${JSON.stringify(result)}`);
      if (result.kind === "DRAWN") claims.push(...result.tasks);
      for (const [key, value] of left.drainChanges()) {
        if (!key.startsWith("result/")) continue;
        const before = shown.get(key);
        if (value === undefined) shown.delete(key);
        else if (before !== undefined && before !== JSON.stringify(value))
          this.faults.push(`seed ${seed}: ${key} changed`);
        else shown.set(key, JSON.stringify(value));
      }
      if (step === steps >> 1) {
        const copy = right.snapshot();
        right.clear();
        right.applyChanges(copy);
        rightMachine = new QueueMachine();
        rightMachine.rebuild(right);
      }
      this.faults.push(...checkRecords(left, seed, step));
    }
    if (
      JSON.stringify(left.snapshot().sort(byKey)) !== JSON.stringify(right.snapshot().sort(byKey))
    )
      this.differences.push(`seed ${seed}: records differ`);
  }
}
When(
  "{int} seeds of {int} random commands on passages are applied to two machines, one of them rebuilt half-way",
  randomCommandsAreApplied,
);

/** Checks the invariants after every step, from the records alone. */
function checkRecords(ledger: Ledger, seed: number, step: number): string[] {
  const faults: string[] = [];
  const waiting = new Map<string, number>();
  const lots = new Map<string, { way: string; open: number; listed: number; total: number }>();
  for (const [key, lot] of ledger.under<{
    way: string;
    open: number;
    listed: number;
    total: number;
  }>("handed/"))
    lots.set(key.slice("handed/".length), lot);
  const open = new Map<string, number>();
  for (const [key, task] of ledger.under<TaskRecord>("task/")) {
    const { lot } = claimOf(key, 0);
    open.set(lot, (open.get(lot) ?? 0) + 1);
    const way = lots.get(lot)?.way ?? "none";
    waiting.set(way, (waiting.get(way) ?? 0) + task.tokens);
  }
  for (const [way, tokens] of waiting)
    if (tokens > 400) faults.push(`seed ${seed} step ${step}: ${tokens} tokens wait on ${way}`);
  const items = new Map<string, Set<string>>();
  for (const kind of ["task", "body", "text", "result"]) {
    for (const [key, value] of ledger.under<ListedResult>(`${kind}/`)) {
      const { lot } = claimOf(key, 0);
      if (!lots.has(lot)) faults.push(`seed ${seed} step ${step}: ${key} outlived its lot`);
      if (kind !== "result") continue;
      const seen = items.get(lot) ?? new Set<string>();
      if (seen.has(value.item))
        faults.push(`seed ${seed} step ${step}: ${value.item} stands twice`);
      items.set(lot, seen.add(value.item));
    }
  }
  for (const [id, lot] of lots) {
    if ((open.get(id) ?? 0) !== lot.open)
      faults.push(`seed ${seed} step ${step}: ${id} has ${lot.open} open`);
    if ((items.get(id)?.size ?? 0) !== lot.listed)
      faults.push(`seed ${seed} step ${step}: ${id} has ${lot.listed} listed`);
  }
  return faults;
}

function bothMachinesHoldTheSame(this: World): void {
  deepEqual(this.differences.slice(0, 5), []);
}
Then("both machines hold the same records", bothMachinesHoldTheSame);

function noFaults(this: World): void {
  deepEqual(this.faults.slice(0, 5), []);
}
Then("no listed result ever changed, and no item is listed twice", noFaults);
Then(
  "the waiting tokens never passed the allowance, and records never outlived their lots",
  noFaults,
);

interface PlayWorld extends World {
  plays: PassPlay[];
  waits: number[];
}

function isMove(fault: string): boolean {
  return fault === "moves";
}

function isNoMove(fault: string): boolean {
  return fault !== "moves";
}

function lotsAreSimulated(this: PlayWorld, named: string, first: string, last: string): void {
  const faults = named.split(", ");
  this.plays = [];
  for (let seed = Number(first); seed <= Number(last); seed += 1) {
    const play = new PassPlay({
      seed,
      stormy: 18_000,
      calm: 20_000,
      faults: faults.filter(isNoMove) as Fault[],
      moves: faults.some(isMove),
      allowance: 700,
      lotEvery: 300,
    });
    this.plays.push(play.run());
  }
  for (const fault of faults.filter(isNoMove)) {
    let strikes = 0;
    for (const { counts } of this.plays) strikes += counts[`fault ${fault}`] ?? 0;
    ok(strikes > 0, fault);
  }
}
When(/^lots on passages are played under ([a-z, -]+) with seeds (\d+) to (\d+)$/, lotsAreSimulated);

function noInvariantIsViolated(this: PlayWorld): void {
  const found: string[] = [];
  for (const { options, violations } of this.plays)
    for (const violation of violations) found.push(`seed ${options.seed}: ${violation}`);
  deepEqual(found.slice(0, 5), []);
}
Then(
  "every fault occurred, and no invariant is violated for callers and runners",
  noInvariantIsViolated,
);
Then("no invariant is violated for callers and runners", noInvariantIsViolated);

function slowItemsAreRead(this: PlayWorld): void {
  this.waits = [];
  this.plays = [];
  // Depending on the seed, lots have between one and twelve items.
  for (let seed = 7; seed <= 12; seed += 1) {
    const play = new PassPlay({ seed, stormy: 0, calm: 0, faults: [], access: 3 });
    Object.assign(play.manner, { trouble: 0, tear: 0, turnAway: 0, pieceMs: 60 });
    play.begin();
    play.world.run(6_500);
    this.waits.push(...heldReadDelays(play, 12_000));
    this.plays.push(play);
  }
  noInvariantIsViolated.call(this);
}
When(
  "a lot of slow items is accepted, and its next results are read with a hold",
  slowItemsAreRead,
);

function returnedWithin(this: PlayWorld, bound: number): void {
  ok(this.waits.length >= 10, String(this.waits.length));
  ok(Math.max(...this.waits) <= bound, this.waits.join(", "));
}
Then("each result is returned within {int} ms of its run's end", returnedWithin);

/** Plays of one lot each, in which one thing happens to whoever runs its items. */
interface DelayPlays {
  readonly seeds: readonly [first: number, last: number];
  readonly access: number;
  readonly items: number;
  /** ms between two pieces of an item. */
  readonly pieceMs: number;
  /** Number of plays in which it must come to a delay; in the others the client ends its lot. */
  readonly leastDelays: number;
  /** Lets it happen; returns the delay in ms that follows, or undefined if there is none to measure. */
  readonly delayOf: (play: PassPlay) => number | undefined;
}

function delaysOf(plays: DelayPlays): number[] {
  const { seeds, access, items, pieceMs, leastDelays, delayOf } = plays;
  const delays: number[] = [];
  for (let seed = seeds[0]; seed <= seeds[1]; seed += 1) {
    const play = new PassPlay({ seed, stormy: 0, calm: 0, faults: [], access, items });
    Object.assign(play.manner, { trouble: 0, tear: 0, turnAway: 0, pieceMs });
    play.begin();
    play.world.run(6_500);
    const delay = delayOf(play);
    if (delay !== undefined) delays.push(delay);
  }
  ok(delays.length >= leastDelays, "most lots are not ended by their clients");
  return delays;
}

function runnerBecomesUnresponsive(this: PlayWorld): void {
  this.waits = delaysOf({
    seeds: [24, 32],
    access: 3,
    items: 8,
    pieceMs: 100,
    leastDelays: 6,
    delayOf: darkRunnerDelay,
  });
}
When("a runner becomes unresponsive while it runs items", runnerBecomesUnresponsive);

function lastFinishedWithin(this: PlayWorld, seconds: number): void {
  ok(Math.max(...this.waits) <= seconds * 1_000, this.waits.join(", "));
}
Then("the last item of the lot is finished within {int} s", lastFinishedWithin);

function theOnlyDispatcherRestarts(this: PlayWorld): void {
  this.waits = delaysOf({
    seeds: [9, 14],
    access: 1,
    items: 3,
    pieceMs: 400,
    leastDelays: 4,
    delayOf: newLifeDelay,
  });
}
When("the only dispatcher crashes while its items run, and restarts", theOnlyDispatcherRestarts);

function restartedWithin(this: PlayWorld, bound: number): void {
  ok(Math.max(...this.waits) <= bound, this.waits.join(", "));
}
Then("the items start again within {int} ms of its first dequeue", restartedWithin);

interface ObservedMessage {
  readonly kind: string;
  readonly command?: { readonly kind: string };
  readonly outcome?: {
    readonly value?: {
      readonly kind: string;
      readonly tasks?: readonly { readonly lot: string }[];
    };
  };
}

type MessageDelay = (play: PassPlay, message: ObservedMessage) => number | undefined;

/** Simulations in which some messages are delayed; `strikes` counts those. */
function simulateWithDelays(
  seeds: number,
  options: Partial<PassPlayOptions>,
  delayOf: MessageDelay,
): { plays: PassPlay[]; strikes: number } {
  const plays: PassPlay[] = [];
  let strikes = 0;
  for (let seed = 0; seed < seeds; seed += 1) {
    const play = new PassPlay({
      seed,
      stormy: 18_000,
      calm: 22_000,
      faults: [],
      lotEvery: 250,
      ...options,
    });
    function watch(_from: string, _to: string, message: unknown): number | undefined {
      if (play.world.now < 7_000 || play.world.now > 22_000) return undefined;
      const held = delayOf(play, message as ObservedMessage);
      if (held !== undefined) strikes += 1;
      return held;
    }
    play.world.watch = watch;
    plays.push(play.run());
  }
  return { plays, strikes };
}

function submissionsAreDelayed(this: PlayWorld): void {
  function delayOf(play: PassPlay, { kind, command }: ObservedMessage): number | undefined {
    return kind === "queue-inquiry" && command?.kind === "hand-in" && play.world.chance.happens(0.3)
      ? play.world.chance.between(900, 6_000)
      : undefined;
  }
  const { plays, strikes } = simulateWithDelays(10, { allowance: 300 }, delayOf);
  ok(strikes > 100, String(strikes));
  let refused = 0;
  for (const { counts } of plays) refused += counts["hand-in refused"] ?? 0;
  ok(refused > 100, String(refused));
  this.plays = plays;
}
When(
  "submissions to an often full queue are delayed for longer than callers wait",
  submissionsAreDelayed,
);
Then("no item runs of a lot that was refused at every attempt", noInvariantIsViolated);

function mostAreDefinite(this: PlayWorld): void {
  let [sure, unsure] = [0, 0];
  for (const { counts } of this.plays) {
    sure += (counts["hand-in refused"] ?? 0) + (counts["hand-in taken"] ?? 0);
    unsure += (counts["hand-in later"] ?? 0) + (counts["hand-in silence"] ?? 0);
  }
  ok(sure > unsure * 4, `${sure} ${unsure}`);
}
Then("most delayed submissions are still definitely refused or accepted", mostAreDefinite);

function grantsAreDelayed(this: PlayWorld): void {
  let ended = 0;
  function delayOf(play: PassPlay, { kind, outcome }: ObservedMessage): number | undefined {
    if (
      kind !== "queue-result" ||
      outcome?.value?.kind !== "DRAWN" ||
      outcome.value.tasks!.length === 0 ||
      !play.world.chance.happens(0.1)
    )
      return undefined;
    for (const { lot } of outcome.value.tasks!) if (play.endLot(lot)) ended += 1;
    return 4_000;
  }
  const { plays, strikes } = simulateWithDelays(8, {}, delayOf);
  ok(strikes > 30 && ended > 20, `${strikes} ${ended}`);
  this.plays = plays;
}
When("grants are delayed by 4 s while their lots are ended", grantsAreDelayed);

function endingsAreDelayed(this: PlayWorld): void {
  function delayOf(play: PassPlay, { kind, command }: ObservedMessage): number | undefined {
    if (kind !== "queue-inquiry" || command?.kind !== "settle" || !play.world.chance.happens(0.2))
      return undefined;
    return play.world.chance.happens(0.5)
      ? Number.POSITIVE_INFINITY
      : play.world.chance.between(500, 5_000);
  }
  const { plays, strikes } = simulateWithDelays(8, {}, delayOf);
  ok(strikes > 100, String(strikes));
  this.plays = plays;
}
When("settle requests to the owner are delayed or lost", endingsAreDelayed);

function atMostTwoRuns(this: PlayWorld): void {
  let runs = 0;
  let items = 0;
  for (const { counts } of this.plays) {
    runs += counts["runs"] ?? 0;
    items += (counts["item solved"] ?? 0) + (counts["item failed"] ?? 0);
  }
  ok(runs <= items * 2, `${runs} runs of ${items} items`);
}
Then("there are at most two runs per item on average", atMostTwoRuns);

function aNodeIsPartitioned(this: PlayWorld): void {
  const play = new PassPlay({ seed: 11, stormy: 0, calm: 0, faults: [], access: 1 });
  play.begin();
  play.world.run(6_500);
  // The partition begins as the first lot is on its way to its queue; the others meet it on their way to the lot directory.
  function watch(_from: string, _to: string, message: unknown): number | undefined {
    const { kind, command } = message as ObservedMessage;
    if (kind !== "queue-inquiry" || command?.kind !== "hand-in") return undefined;
    play.world.isolate("access-1");
    return Number.POSITIVE_INFINITY;
  }
  play.world.watch = watch;
  this.waits = handInDelays(play, 12, 150);
  this.plays = [play];
}
When("a node is partitioned from the others and lots are submitted there", aNodeIsPartitioned);

function eachIsAnsweredWithin(this: PlayWorld, bound: number): void {
  equal(this.waits.length, 12);
  ok(Math.max(...this.waits) <= bound, this.waits.join(", "));
  ok(
    (this.plays[0]!.counts["hand-in later"] ?? 0) > 0 &&
      (this.plays[0]!.counts["hand-in refused"] ?? 0) > 0,
    JSON.stringify(this.plays[0]!.counts),
  );
  noInvariantIsViolated.call(this);
}
Then(
  "each of its callers is answered within {int} ms, and none is refused a lot that may be accepted",
  eachIsAnsweredWithin,
);
