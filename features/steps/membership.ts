import { equal, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  Chain,
  constants,
  type ChainCommand,
  type ChainMessage,
  type ChainView,
  type Ledger,
  type Machine,
  type Member,
} from "@chutewick/parts";
import { Chance, Folder } from "@chutewick/simulator";

interface World {
  schedules: Schedule[];
  schedule: Schedule;
}

class Register implements Machine {
  apply(ledger: Ledger, command: unknown): number {
    const { value } = command as { value: number };
    ledger.put(`key-${value % 7}`, value);
    return value;
  }

  rebuild(): void {
    // Nothing is derived.
  }
}

const head: Member = { identity: "head", address: "a1" };
const tail: Member = { identity: "tail", address: "a2" };
const joiner: Member = { identity: "joiner", address: "a3" };
const withJoiner: ChainView = { mark: 2, members: [head, tail], joiner };

interface Delivery {
  readonly at: number;
  readonly act: () => void;
}

/** ms. One step of a schedule. */
const stepLasts = 5;

/** Two members and a joiner over a network that loses and reorders, with disks that keep only what was synced. */
class Schedule {
  readonly chance: Chance;
  readonly chains = new Map<string, Chain>();
  readonly folders = new Map<string, Folder>();
  readonly #lives = new Map<string, number>();
  #agenda: Delivery[] = [];
  now = 0;
  loss = 0;
  /** ms. */
  syncLasts = 10;
  /** Whose writes are not synced. */
  readonly stalled = new Set<string>();
  entered = 0;
  /** Whether the joiner ever told that its copy is whole. */
  wasWhole = false;
  /** What went wrong, with its moment. */
  readonly broken: string[] = [];

  constructor(seed: number) {
    this.chance = new Chance(seed);
    for (const member of [head, tail, joiner])
      this.folders.set(member.address, new Folder(member.identity));
    for (const member of [head, tail, joiner]) this.start(member);
  }

  start(member: Member): void {
    const life = (this.#lives.get(member.address) ?? 0) + 1;
    this.#lives.set(member.address, life);
    const holding = this.folders.get(member.address)!.holdings().get("q");
    this.chains.set(member.address, new Chain("q", member, new Register(), this.now, holding));
  }

  adopt(view: ChainView): void {
    for (const [address, chain] of this.chains) this.#perform(address, chain.adopt(view, this.now));
  }

  /** Another life from what is synced; what is on its way to the one before is gone. */
  restart(member: Member, view: ChainView): void {
    this.start(member);
    const chain = this.chains.get(member.address)!;
    this.#perform(member.address, chain.adopt(view, this.now));
  }

  enter(): void {
    this.entered += 1;
    const chain = this.chains.get(head.address)!;
    const command = { value: this.entered };
    this.#perform(head.address, chain.inquire(`t${this.entered}`, command, this.now));
  }

  step(): void {
    this.now += stepLasts;
    const due = this.#agenda.filter(isDue, this).sort(byMoment);
    this.#agenda = this.#agenda.filter(isLater, this);
    for (const { act } of due) act();
    if (this.now % constants.beatEvery === 0)
      for (const [address, chain] of this.chains) this.#perform(address, chain.beat(this.now));
    this.#look();
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

  /** The place that the joiner's disk holds. */
  joinerSynced = 0;

  #look(): void {
    const isWhole = this.chains.get(joiner.address)!.copiedMark === withJoiner.mark;
    this.wasWhole ||= isWhole;
    if (this.wasWhole && this.confirmed > this.joinerSynced)
      this.broken.push(
        `at ${this.now} ms ${this.confirmed} is confirmed, the joiner holds ${this.joinerSynced}`,
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
    this.#after(to, this.chance.between(1, 40), deliver);
  }

  #write(address: string, { write, ticket }: Extract<ChainCommand, { kind: "write" }>): void {
    const folder = this.folders.get(address)!;
    const copy = folder.copy(write);
    const self = this;
    function synced(): void {
      if (self.stalled.has(address)) return self.#after(address, stepLasts, synced);
      folder.write("q", copy);
      if (address === joiner.address) self.joinerSynced = copy.state.place;
      self.#perform(address, self.chains.get(address)!.written(ticket, self.now));
    }
    this.#after(address, this.syncLasts, synced);
  }

  /** In this life of the machine only. */
  #after(address: string, milliseconds: number, act: () => void): void {
    const life = this.#lives.get(address);
    const lives = this.#lives;
    function actInLife(): void {
      if (lives.get(address) === life) act();
    }
    this.#agenda.push({ at: this.now + milliseconds, act: actInLife });
  }
}

function isDue(this: { now: number }, delivery: Delivery): boolean {
  return delivery.at <= this.now;
}

function isLater(this: { now: number }, delivery: Delivery): boolean {
  return delivery.at > this.now;
}

function byMoment(left: Delivery, right: Delivery): number {
  return left.at - right.at;
}

/** ms. How long the faults of a schedule go on, and how long the chain then has to confirm everything. */
const faultsLast = 4_000;
const calmLasts = 4_000;

function played(seed: number): Schedule {
  const schedule = new Schedule(seed);
  const { chance } = schedule;
  schedule.adopt({ mark: 1, members: [head, tail] });
  schedule.run(200);
  /** Some join a chain that is empty as yet. */
  const before = chance.pick([0, 0, 1, 30]);
  for (let number = 0; number < before; number += 1) schedule.enter();
  schedule.run(400);
  schedule.adopt(withJoiner);
  schedule.loss = chance.pick([0, 0.05, 0.2]);
  const rate = chance.pick([0.02, 0.1, 0.4]);
  const restarts = chance.pick([0, 0.002, 0.005]);
  const until = schedule.now + faultsLast;
  while (schedule.now < until) {
    if (chance.happens(rate)) schedule.enter();
    if (chance.happens(restarts)) schedule.restart(chance.pick([tail, joiner]), withJoiner);
    schedule.step();
  }
  schedule.loss = 0;
  schedule.run(calmLasts);
  return schedule;
}

function playAll(this: World, count: number): void {
  this.schedules = [];
  for (let seed = 1; seed <= count; seed += 1) this.schedules.push(played(seed));
}
When(
  "{int} random schedules of entries, lost messages and restarts are played with a chain of 2 members and a joiner",
  playAll,
);

function heldAll(this: World): void {
  for (const [index, { wasWhole, broken }] of this.schedules.entries()) {
    ok(wasWhole, `seed ${index + 1}: the joiner never counted as whole`);
    equal(broken.length, 0, `seed ${index + 1}: ${broken[0]}`);
  }
}
Then(
  "in each the joiner came to count as whole, and at every moment since then it held all that was confirmed on its disk",
  heldAll,
);

function allConfirmed(this: World): void {
  for (const [index, { confirmed, chains }] of this.schedules.entries())
    equal(confirmed, chains.get(head.address)!.place, `seed ${index + 1}`);
}
Then("in each everything entered was confirmed in the end", allConfirmed);

function wholeJoiner(this: World): void {
  const schedule = new Schedule(1);
  schedule.adopt({ mark: 1, members: [head, tail] });
  schedule.run(200);
  schedule.enter();
  schedule.run(200);
  schedule.adopt(withJoiner);
  schedule.run(1_000);
  ok(schedule.wasWhole);
  this.schedule = schedule;
}
Given("a chain of 2 members whose joiner counts as whole", wholeJoiner);

function joinerStalls(this: World, count: number, seconds: number): void {
  const { schedule } = this;
  schedule.stalled.add(joiner.address);
  for (let number = 0; number < count; number += 1) schedule.enter();
  schedule.run(seconds * 1_000);
}
When("the joiner's disk stands still while {int} changes are entered, for {int} s", joinerStalls);

function namesJoiner(this: World): void {
  const { schedule } = this;
  equal(schedule.chains.get(tail.address)!.stuck(schedule.now)?.identity, joiner.identity);
  equal(schedule.confirmed, 1);
}
Then("the tail names the joiner as stuck, and no change is confirmed", namesJoiner);

function leftOut(this: World): void {
  this.schedule.wasWhole = false;
  this.schedule.adopt({ mark: 3, members: [head, tail] });
  this.schedule.run(500);
}
When("the next view leaves the joiner out", leftOut);

function changesConfirmed(this: World, count: number): void {
  equal(this.schedule.confirmed, count + 1);
}
Then("all {int} changes are confirmed", changesConfirmed);
