import { equal } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { ControlCommand, ControlOutcome } from "@chutewick/control";
import { constants, type ChainView, type Member } from "@chutewick/parts";
import { Deployment, configurationOf, type ControlMachine } from "@chutewick/simulator";
import { choices, spreadOf } from "./choices.js";

interface World {
  kind: { isPlanned: boolean; isElsewhere: boolean; isGone: boolean };
  first: number;
  size: number;
  second: number;
  broken: string[];
  deployment: Deployment;
  leaver: ControlMachine;
}

/** One play of a control group that loses machines, gets others for them, and loses as many again. */
interface SecondLoss {
  readonly losses: number;
  readonly size: number;
  readonly isElsewhere: boolean;
  readonly isGone: boolean;
  readonly first: readonly number[];
  readonly second: readonly number[];
  /** Whether the first ones stop as planned, and then are gone with their disks. */
  readonly isPlanned: boolean;
  readonly after: Step;
  /** s. From that step to the second loss. */
  readonly delay: number;
}

type Step = "loss" | "start" | "first put in" | "all put in";

/** ms. For so long an operator asks for the configuration again. */
const readsBackWithin = 3_000;
/** ms. */
const lookEvery = 50;
const orderEvery = 400;
const serviceIsBackWithin = 12_000;
const othersStartAfter = 2_500;

class GroupPlay {
  readonly deployment: Deployment;
  readonly play: SecondLoss;
  readonly broken: string[] = [];
  /** Machines that count as lost: down, or started so lately that they may still be brought up to date. */
  readonly #lost = new Set<ControlMachine>();
  readonly #started: ControlMachine[] = [];
  #acknowledged = 0;
  #ordered = 0;

  constructor(play: SecondLoss, seed: number) {
    this.play = play;
    this.deployment = new Deployment(seed, {
      controls: play.size,
      storages: 2,
      accesses: 1,
      losses: play.losses,
    });
  }

  run(): void {
    const { deployment, play } = this;
    for (const machine of deployment.machines) machine.start();
    this.#pass(8_000);
    deployment.founded();
    this.#orderAgain();
    this.#pass(1_000);
    const lost = play.isPlanned ? this.#stop(play.first) : this.#lose(play.first);
    const started = this.#started;
    const self = this;
    function startOthers(): void {
      for (const machine of lost) started.push(self.#replace(machine, play.isElsewhere));
    }
    deployment.world.after(othersStartAfter, startOthers);
    this.#reach(play.after, started);
    this.#pass(play.delay * 1_000);
    const again = this.#lose(play.second);
    const lostAt = deployment.world.now;
    if (!play.isGone) for (const machine of again) this.#replace(machine, false);
    const acknowledged = this.#acknowledged;
    while (
      this.#acknowledged === acknowledged &&
      deployment.world.now < lostAt + serviceIsBackWithin
    )
      this.#pass(lookEvery);
    if (this.#acknowledged === acknowledged)
      this.broken.push("nothing was acknowledged within 12 s of the second loss");
    this.#readBack();
  }

  #reach(step: Step, started: readonly ControlMachine[]): void {
    const { world } = this.deployment;
    const wanted = { loss: 0, start: 0, "first put in": 1, "all put in": this.play.first.length };
    const until = world.now + 20_000;
    while ((step !== "loss" && started.length === 0) || this.#countPutIn(started) < wanted[step]) {
      if (world.now > until) return void this.broken.push(`${step} was never reached`);
      this.#pass(lookEvery);
    }
  }

  /** Stopped as planned, as a process does: it waits until it is let go, for a bounded time. */
  #stop(numbers: readonly number[]): ControlMachine[] {
    const { world } = this.deployment;
    const machines = this.#chosen(numbers);
    for (const machine of machines) machine.leave();
    const until = world.now + constants.handOverTimeoutMs;
    while (machines.some(isNeeded) && world.now < until) this.#pass(lookEvery);
    for (const machine of machines) {
      machine.kill(false);
      machine.wipe();
      this.#lost.add(machine);
    }
    return machines;
  }

  /** By their places in the newest view, of those that are up. */
  #chosen(numbers: readonly number[]): ControlMachine[] {
    const machines: ControlMachine[] = [];
    const up: ControlMachine[] = [];
    for (const address of this.deployment.members)
      for (const machine of this.deployment.live) if (machine.address === address) up.push(machine);
    for (const number of numbers) machines.push(up[number % up.length]!);
    return [...new Set(machines)];
  }

  /** Each lost one loses its disk as well. */
  #lose(numbers: readonly number[]): ControlMachine[] {
    const machines = this.#chosen(numbers);
    for (const machine of machines) {
      machine.kill(true);
      machine.wipe();
      this.#lost.add(machine);
    }
    return machines;
  }

  #replace(machine: ControlMachine, isElsewhere: boolean): ControlMachine {
    const { deployment } = this;
    if (!isElsewhere) {
      machine.start();
      return machine;
    }
    machine.retired = true;
    const other = deployment.addControl(`${machine.name}-new`);
    deployment.founded();
    other.start();
    return other;
  }

  #countPutIn(machines: readonly ControlMachine[]): number {
    const members = this.deployment.head?.core.view?.members ?? [];
    let count = 0;
    for (const { folder } of machines)
      if (folder !== undefined && members.some(hasIdentity, folder.identity)) count += 1;
    return count;
  }

  #pass(milliseconds: number): void {
    const { world } = this.deployment;
    const until = world.now + milliseconds;
    while (world.now < until) {
      world.run(Math.min(until, world.now + lookEvery));
      this.#look();
    }
  }

  /** Whether the newest view could lose as many more as may be lost and still agree. */
  #look(): void {
    const { deployment, play } = this;
    const there = new Set<string>();
    let view: ChainView | undefined;
    for (const { alive, folder, core } of deployment.controls) {
      if (!alive) continue;
      there.add(folder!.identity);
      if ((core.view?.mark ?? 0) > (view?.mark ?? 0)) view = core.view;
    }
    if (view === undefined || view.members.length < play.size - play.losses) return;
    if (deployment.world.now < 8_000) return;
    /** One that came for a lost one counts as lost until it is put in. */
    const left = play.losses - this.#lost.size + this.#countPutIn(this.#started);
    const shape = shapeOf(view, there);
    if (left >= 0 && isWithoutMajority(shape, left))
      this.broken.push(
        `at ${deployment.world.now} ms view ${view.mark} has ${shape.voters} voters, ${shape.gone} of them gone, and ${left} more may be lost`,
      );
  }

  #orderAgain(): void {
    const { deployment } = this;
    const self = this;
    this.#ordered += 1;
    const mark = this.#ordered;
    function told(outcome: ControlOutcome | undefined): void {
      if (outcome?.kind === "confirmed" && outcome.value.kind === "IN_FORCE")
        self.#acknowledged = Math.max(self.#acknowledged, mark);
    }
    const command: ControlCommand = {
      kind: "put",
      expected: undefined,
      mark,
      value: configurationOf(1),
      origin: `order ${mark}`,
    };
    if (deployment.live.length > 0) deployment.one().inquire(command, told);
    function again(): void {
      self.#orderAgain();
    }
    deployment.world.after(orderEvery, again);
  }

  /** As operators do: a machine that says that it cannot know now is asked again, or another one, for a bounded time. */
  #readBack(): void {
    const { world } = this.deployment;
    const acknowledged = this.#acknowledged;
    const until = world.now + readsBackWithin;
    let mark = this.#read();
    while (mark === undefined && world.now < until) {
      this.#pass(lookEvery);
      mark = this.#read();
    }
    if (mark === undefined || mark < acknowledged)
      this.broken.push(`${acknowledged} was acknowledged, and ${mark ?? "nothing"} is read`);
  }

  /** The version that is told to be in force; undefined where the answer is not definite. */
  #read(): number | undefined {
    const { deployment } = this;
    const { told } = deployment.order({ kind: "read" }, deployment.one(), readsBackWithin);
    return told?.kind === "confirmed" && told.value.kind === "CONFIGURATION"
      ? told.value.mark
      : undefined;
  }
}

function isNeeded(machine: ControlMachine): boolean {
  return machine.core.isNeeded;
}

function hasIdentity(this: string, member: Member): boolean {
  return member.identity === String(this);
}

/** What decides whether the next view can be agreed on. */
interface VoterShape {
  readonly voters: number;
  readonly gone: number;
}

function shapeOf(view: ChainView, there: ReadonlySet<string>): VoterShape {
  const voters = view.voters ?? view.members;
  let gone = 0;
  for (const { identity } of voters) if (!there.has(identity)) gone += 1;
  return { voters: voters.length, gone };
}

function isWithoutMajority({ voters, gone }: VoterShape, losses: number): boolean {
  return voters - gone - losses < Math.floor(voters / 2) + 1;
}

function kindOfLoss(this: World, how: string, where: string, then: string): void {
  this.kind = {
    isPlanned: how === "stop as planned",
    isElsewhere: where === "elsewhere",
    isGone: then === "gone for good",
  };
}
Given(
  /^control machines that (lose their disks|stop as planned) come back empty (at their addresses|elsewhere), and those lost then are (gone for good|back at once without disks)$/,
  kindOfLoss,
);

function howMany(this: World, first: number, size: number, second: number): void {
  Object.assign(this, { first, size, second });
}
Given("{int} of {int} are lost first, and then {int}", howMany);

/** s. After each step. */
const delays = [0, 0.1, 0.5, 1, 2, 5];

function playSecondLosses(this: World, after: Step, most: number): void {
  const { first, second, size } = this;
  const losses = (size - 1) / 2;
  const plays: SecondLoss[] = [];
  for (const firstOnes of choices(first, size))
    for (const secondOnes of choices(second, size))
      for (const delay of delays)
        plays.push({
          losses,
          size,
          ...this.kind,
          first: firstOnes,
          second: secondOnes,
          after,
          delay,
        });
  this.broken = [];
  for (const [index, play] of spreadOf(plays, most, size + first).entries()) {
    const played = new GroupPlay(play, index + 1);
    played.run();
    for (const broken of played.broken) this.broken.push(`${JSON.stringify(play)}: ${broken}`);
  }
}
When(
  "the second loss strikes 0, 0.1, 0.5, 1, 2 and 5 s after the step {string}, in {int} plays",
  playSecondLosses,
);

function isNoMajority(broken: string): boolean {
  return broken.includes("voters");
}

function servesAgain(this: World): void {
  const found: string[] = [];
  for (const broken of this.broken) if (!isNoMajority(broken)) found.push(broken);
  equal(found.length, 0, found.slice(0, 3).join("; "));
}
Then(
  "in each the group serves again within 12 s, and no acknowledged configuration is gone",
  servesAgain,
);

function keptMajority(this: World): void {
  const found = this.broken.filter(isNoMajority);
  equal(found.length, 0, `${found.length}: ${found.slice(0, 3).join("; ")}`);
}
Then("at no moment could as many machines as may still be lost leave no majority", keptMajority);

function beingCopiedTo(this: World): void {
  const deployment = new Deployment(11, { controls: 3, storages: 2, accesses: 1, losses: 1 });
  this.deployment = deployment;
  for (const machine of deployment.machines) machine.start();
  deployment.after(8);
  deployment.founded();
  const command: ControlCommand = {
    kind: "put",
    expected: undefined,
    mark: 1,
    value: configurationOf(1),
    origin: "order 1",
  };
  equal(deployment.order(command, deployment.one(), 6_000).told?.kind, "confirmed");
  const lost = deployment.controls[2]!;
  lost.kill(true);
  lost.wipe();
  deployment.after(4);
  lost.start();
  while (deployment.head?.core.view?.joiner === undefined)
    deployment.world.run(deployment.world.now + 1);
}
Given(
  "a group of 3 control machines, one of which lost its disk and is being copied to",
  beingCopiedTo,
);

function stopsAsPlanned(this: World): void {
  this.leaver = this.deployment.head!;
  this.leaver.leave();
}
When("one that holds a copy stops as planned", stopsAsPlanned);

function waitsForCopy(this: World): void {
  const { deployment, leaver } = this;
  equal(leaver.core.isNeeded, true);
  const until = deployment.world.now + constants.handOverTimeoutMs;
  while (leaver.core.isNeeded && deployment.world.now < until)
    deployment.world.run(deployment.world.now + 1);
  equal(leaver.core.isNeeded, false);
  equal(leaver.core.view?.members.some(hasIdentity, leaver.folder!.identity), false);
}
Then("it waits until the new one is put in and it is let go, within 4 s", waitsForCopy);

/** The new one alone holds a copy then; a blank comes, and is copied to. */
function nothingIsGone(this: World): void {
  const { deployment, leaver } = this;
  leaver.kill(false);
  leaver.wipe();
  for (const machine of deployment.controls) {
    if (machine === leaver || machine === deployment.controls[2]) continue;
    machine.kill(true);
    machine.wipe();
  }
  equal(deployment.live[0]!.folder!.holdings().get("control")!.state.confirmed > 0, true);
  const records = deployment.live[0]!.folder!.holdings().get("control")!.records;
  equal(records.some(isConfiguration), true);
}
Then(
  "as its disk goes with it, and the other old one is lost, nothing acknowledged is gone",
  nothingIsGone,
);

function isConfiguration([key]: readonly [string, unknown]): boolean {
  return key === "configuration";
}
