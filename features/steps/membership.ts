import { equal, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  Chain,
  constants,
  type ChainCommand,
  type ChainMessage,
  type ChainView,
  type Ledger,
  type StateMachine,
  type Member,
} from "@chutewick/parts";
import { Chance, Folder } from "@chutewick/simulator";

interface World {
  schedules: Schedule[];
  schedule: Schedule;
}

class RegisterMachine implements StateMachine {
  apply(ledger: Ledger, command: unknown): number {
    const { value } = command as { value: number };
    ledger.put(`key-${value % 7}`, value);
    return value;
  }

  rebuild(): void {
    // There is no derived state.
  }
}

const head: Member = { identity: "head", address: "a1" };
const tail: Member = { identity: "tail", address: "a2" };
const joiner: Member = { identity: "joiner", address: "a3" };
const viewWithLearner: ChainView = { mark: 2, members: [head, tail], joiner };

interface Delivery {
  readonly at: number;
  readonly act: () => void;
}

/** Duration of one step of a schedule. */
const stepMs = 5;

/** Two members and a learner, over a network that loses and reorders messages, with disks that keep only synced writes. */
class Schedule {
  readonly chance: Chance;
  readonly chains = new Map<string, Chain>();
  readonly folders = new Map<string, Folder>();
  readonly #incarnations = new Map<string, number>();
  #pendingDeliveries: Delivery[] = [];
  now = 0;
  loss = 0;
  /** Duration of a sync to disk. */
  syncMs = 10;
  /** Addresses of machines whose writes do not complete. */
  readonly stalled = new Set<string>();
  entered = 0;
  /** Whether the learner has ever reported a complete copy. */
  wasComplete = false;
  /** Violations found, with their time. */
  readonly violations: string[] = [];

  constructor(seed: number) {
    this.chance = new Chance(seed);
    for (const member of [head, tail, joiner])
      this.folders.set(member.address, new Folder(member.identity));
    for (const member of [head, tail, joiner]) this.start(member);
  }

  start(member: Member): void {
    const incarnation = (this.#incarnations.get(member.address) ?? 0) + 1;
    this.#incarnations.set(member.address, incarnation);
    const persisted = this.folders.get(member.address)!.holdings().get("q");
    this.chains.set(
      member.address,
      new Chain("q", member, new RegisterMachine(), this.now, persisted),
    );
  }

  adopt(view: ChainView): void {
    for (const [address, chain] of this.chains) this.#perform(address, chain.adopt(view, this.now));
  }

  /** Restarts a machine from its synced state; messages to the previous incarnation are lost. */
  restart(member: Member, view: ChainView): void {
    this.start(member);
    const chain = this.chains.get(member.address)!;
    this.#perform(member.address, chain.adopt(view, this.now));
  }

  append(): void {
    this.entered += 1;
    const chain = this.chains.get(head.address)!;
    const command = { value: this.entered };
    this.#perform(head.address, chain.execute(`t${this.entered}`, command, this.now));
  }

  step(): void {
    this.now += stepMs;
    const due = this.#pendingDeliveries.filter(isDue, this).sort(byTime);
    this.#pendingDeliveries = this.#pendingDeliveries.filter(isLater, this);
    for (const { act } of due) act();
    if (this.now % constants.tickIntervalMs === 0)
      for (const [address, chain] of this.chains) this.#perform(address, chain.tick(this.now));
    this.#checkLearner();
  }

  run(milliseconds: number): void {
    const until = this.now + milliseconds;
    while (this.now < until) this.step();
  }

  get confirmed(): number {
    let most = 0;
    for (const member of [head, tail])
      most = Math.max(most, this.chains.get(member.address)!.confirmed);
    return most;
  }

  /** Log index that is durable on the learner. */
  learnerDurableIndex = 0;

  #checkLearner(): void {
    const isComplete = this.chains.get(joiner.address)!.copiedMark === viewWithLearner.mark;
    this.wasComplete ||= isComplete;
    if (this.wasComplete && this.confirmed > this.learnerDurableIndex)
      this.violations.push(
        `at ${this.now} ms ${this.confirmed} is confirmed, the joiner holds ${this.learnerDurableIndex}`,
      );
  }

  #perform(address: string, commands: readonly ChainCommand[]): void {
    for (const command of commands) {
      if (command.kind === "send") this.#send(address, command.to, command.message);
      else if (command.kind === "write") this.#write(address, command);
    }
  }

  #send(from: string, to: string, message: ChainMessage): void {
    if (this.chance.happens(this.loss)) return;
    const copy = this.folders.get(to)!.copy(message);
    const self = this;
    function deliver(): void {
      self.#perform(to, self.chains.get(to)!.receive(copy, from, self.now));
    }
    this.#schedule(to, this.chance.between(1, 40), deliver);
  }

  #write(address: string, { write, ticket }: Extract<ChainCommand, { kind: "write" }>): void {
    const folder = this.folders.get(address)!;
    const copy = folder.copy(write);
    const self = this;
    function synced(): void {
      if (self.stalled.has(address)) return self.#schedule(address, stepMs, synced);
      folder.write("q", copy);
      if (address === joiner.address) self.learnerDurableIndex = copy.state.place;
      self.#perform(address, self.chains.get(address)!.writeCompleted(ticket, self.now));
    }
    this.#schedule(address, this.syncMs, synced);
  }

  /** Schedules an action that runs only if the machine has not restarted by then. */
  #schedule(address: string, milliseconds: number, act: () => void): void {
    const incarnation = this.#incarnations.get(address);
    const incarnations = this.#incarnations;
    function actInIncarnation(): void {
      if (incarnations.get(address) === incarnation) act();
    }
    this.#pendingDeliveries.push({ at: this.now + milliseconds, act: actInIncarnation });
  }
}

function isDue(this: { now: number }, delivery: Delivery): boolean {
  return delivery.at <= this.now;
}

function isLater(this: { now: number }, delivery: Delivery): boolean {
  return delivery.at > this.now;
}

function byTime(left: Delivery, right: Delivery): number {
  return left.at - right.at;
}

/** Duration of the faults of a schedule, and the time that the chain then has to commit everything. */
const faultsMs = 4_000;
const calmMs = 4_000;

function runSchedule(seed: number): Schedule {
  const schedule = new Schedule(seed);
  const { chance } = schedule;
  schedule.adopt({ mark: 1, members: [head, tail] });
  schedule.run(200);
  // In some schedules the learner joins a chain that is still empty.
  const before = chance.pick([0, 0, 1, 30]);
  for (let number = 0; number < before; number += 1) schedule.append();
  schedule.run(400);
  schedule.adopt(viewWithLearner);
  schedule.loss = chance.pick([0, 0.05, 0.2]);
  const rate = chance.pick([0.02, 0.1, 0.4]);
  const restarts = chance.pick([0, 0.002, 0.005]);
  const until = schedule.now + faultsMs;
  while (schedule.now < until) {
    if (chance.happens(rate)) schedule.append();
    if (chance.happens(restarts)) schedule.restart(chance.pick([tail, joiner]), viewWithLearner);
    schedule.step();
  }
  schedule.loss = 0;
  schedule.run(calmMs);
  return schedule;
}

function runSchedules(this: World, count: number): void {
  this.schedules = [];
  for (let seed = 1; seed <= count; seed += 1) this.schedules.push(runSchedule(seed));
}
When(
  "{int} random schedules of entries, lost messages and restarts are played with a chain of 2 members and a joiner",
  runSchedules,
);

function checkLearnerComplete(this: World): void {
  for (const [index, { wasComplete, violations }] of this.schedules.entries()) {
    ok(wasComplete, `seed ${index + 1}: the joiner never counted as whole`);
    equal(violations.length, 0, `seed ${index + 1}: ${violations[0]}`);
  }
}
Then(
  "in each the joiner came to count as whole, and at every moment since then it held all that was confirmed on its disk",
  checkLearnerComplete,
);

function checkAllCommitted(this: World): void {
  for (const [index, { confirmed, chains }] of this.schedules.entries())
    equal(confirmed, chains.get(head.address)!.place, `seed ${index + 1}`);
}
Then("in each everything entered was confirmed in the end", checkAllCommitted);

function givenCompleteLearner(this: World): void {
  const schedule = new Schedule(1);
  schedule.adopt({ mark: 1, members: [head, tail] });
  schedule.run(200);
  schedule.append();
  schedule.run(200);
  schedule.adopt(viewWithLearner);
  schedule.run(1_000);
  ok(schedule.wasComplete);
  this.schedule = schedule;
}
Given("a chain of 2 members whose joiner counts as whole", givenCompleteLearner);

function stallLearnerDisk(this: World, count: number, seconds: number): void {
  const { schedule } = this;
  schedule.stalled.add(joiner.address);
  for (let number = 0; number < count; number += 1) schedule.append();
  schedule.run(seconds * 1_000);
}
When(
  "the joiner's disk stands still while {int} changes are entered, for {int} s",
  stallLearnerDisk,
);

function checkSlowLearner(this: World): void {
  const { schedule } = this;
  equal(schedule.chains.get(tail.address)!.slowReplica(schedule.now)?.identity, joiner.identity);
  equal(schedule.confirmed, 1);
}
Then("the tail names the joiner as stuck, and no change is confirmed", checkSlowLearner);

function removeLearner(this: World): void {
  this.schedule.wasComplete = false;
  this.schedule.adopt({ mark: 3, members: [head, tail] });
  this.schedule.run(500);
}
When("the next view leaves the joiner out", removeLearner);

function checkCommittedCount(this: World, count: number): void {
  equal(this.schedule.confirmed, count + 1);
}
Then("all {int} changes are confirmed", checkCommittedCount);
