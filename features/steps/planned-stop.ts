import { deepEqual } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { ControlCommand } from "@chutewick/control";
import { constants, majority, votersOf, type ChainView } from "@chutewick/parts";
import { Deployment, configurationOf, type ControlMachine } from "@chutewick/simulator";
import { choices, spreadOf } from "./choices.js";

/** Planned stops of control machines while others are silent (docs/control-safety.md, M9). */

type Silence = "frozen" | "lost with their disks" | "unheard" | "deaf";
type Return = "the stopped one" | "a silent one";

interface World {
  size: number;
  losses: number;
  silentCount: number;
  silence: Silence;
  broken: string[];
}

/** s. From the first silence to the planned stop: within what counts as silence (1.5 s), and past it. */
const DELAYS = [0, 0.05, 0.3, 0.7, 1.2, 1.45, 2, 3.5];
/** ms. */
const LOOK_EVERY = 10;
const FORMED_AFTER = 8_000;
const STAYS_AWAY = 6_000;
const SERVES_WITHIN = 12_000;
/** ms. Until those who stay know of the view that was decided without the one that stopped. */
const DECISION_TRAVELS = 300;
/** ms. From the return of a machine that completes a majority: silence of the others, two agreements, a copy, a lease. */
const SERVES_AGAIN_WITHIN = 7_000;
const ORDER_PATIENCE = 1_000;
const ORDER_AGAIN_AFTER = 100;

class StopPlay {
  readonly broken: string[] = [];
  readonly #deployment: Deployment;
  readonly #losses: number;
  readonly #silence: Silence;
  readonly #silent: readonly ControlMachine[];
  readonly #stopped: ControlMachine;
  #acknowledged = 0;

  constructor({ size, losses, silence }: World, { silent, stopped }: Choice, seed: number) {
    this.#losses = losses;
    this.#silence = silence;
    this.#deployment = new Deployment(seed, {
      controls: size,
      storages: 2,
      accesses: 1,
      losses,
      seeds: size,
    });
    const { controls } = this.#deployment;
    this.#silent = silent.map((place) => controls[place]!);
    this.#stopped = controls[stopped]!;
  }

  run(delay: number, back: Return): void {
    const deployment = this.#deployment;
    for (const machine of deployment.machines) machine.start();
    deployment.world.run(FORMED_AFTER);
    deployment.founded();
    this.#demandService("formed", SERVES_WITHIN);
    for (const machine of this.#silent) this.#strike(machine);
    deployment.after(delay);
    const waited = this.#stop();
    if (waited < constants.handOverTimeoutMs) this.#checkLetGo(waited);
    const { controlsWanted } = deployment.policy;
    const missing = Math.max(0, controlsWanted - deployment.controls.length);
    if (missing + this.#silent.length < this.#losses) this.#demandService("stopped", SERVES_WITHIN);
    else {
      deployment.world.run(deployment.world.now + STAYS_AWAY);
      this.#bringBack(back);
      this.#demandService(`${back} is back`, SERVES_AGAIN_WITHIN);
    }
    this.#readBack();
  }

  #strike(machine: ControlMachine): void {
    if (this.#silence === "frozen") machine.freeze();
    else if (this.#silence === "lost with their disks") {
      machine.kill(true);
      machine.wipe();
    } else
      for (const { address } of this.#deployment.controls)
        if (this.#silence === "deaf") this.#deployment.silence(address, machine.address);
        else this.#deployment.silence(machine.address, address);
  }

  /** As a process does; ms for which it waited. */
  #stop(): number {
    const { world } = this.#deployment;
    const since = world.now;
    this.#stopped.leave();
    while (this.#stopped.core.isNeeded && world.now < since + constants.handOverTimeoutMs)
      world.run(world.now + LOOK_EVERY);
    this.#stopped.kill(false);
    return world.now - since;
  }

  get #present(): ControlMachine[] {
    return this.#deployment.live.filter((machine) => !this.#silent.includes(machine));
  }

  /** Who was let go before its time was over leaves a majority, and enough copies to confirm. */
  #checkLetGo(waited: number): void {
    this.#deployment.world.run(this.#deployment.world.now + DECISION_TRAVELS);
    const present = new Set<string>();
    let view: ChainView | undefined;
    for (const { core, folder } of this.#present) {
      present.add(folder!.identity);
      if ((core.view?.mark ?? 0) > (view?.mark ?? 0)) view = core.view;
    }
    const voters = votersOf(view!).filter(({ identity }) => present.has(identity)).length;
    const copies = view!.members.filter(({ identity }) => present.has(identity)).length;
    if (voters < majority(view!) || copies < this.#deployment.policy.copiesLeast)
      this.broken.push(
        `let go after ${waited} ms, and view ${view!.mark} has ${voters} of ${votersOf(view!).length} voters and ${copies} copies there`,
      );
  }

  #bringBack(back: Return): void {
    const [silent] = this.#silent;
    if (back === "the stopped one") this.#stopped.start();
    else if (this.#silence === "frozen") silent!.wake();
    else this.#deployment.hear();
  }

  #demandService(since: string, patience: number): void {
    const { world } = this.#deployment;
    const until = world.now + patience;
    const mark = this.#acknowledged + 1;
    while (this.#acknowledged < mark && world.now < until) this.#order(mark);
    if (this.#acknowledged < mark)
      this.broken.push(`${since}: nothing is acknowledged within ${patience} ms`);
  }

  #order(mark: number): void {
    const command: ControlCommand = {
      kind: "put",
      expected: undefined,
      mark,
      value: configurationOf(1),
      origin: `order ${mark}`,
    };
    const { told } = this.#deployment.order(command, this.#deployment.one(), ORDER_PATIENCE);
    if (told?.kind === "confirmed" && told.value.kind === "IN_FORCE") this.#acknowledged = mark;
    else this.#deployment.world.run(this.#deployment.world.now + ORDER_AGAIN_AFTER);
  }

  #readBack(): void {
    const { world } = this.#deployment;
    const until = world.now + SERVES_WITHIN;
    while (world.now < until) {
      const { told } = this.#deployment.order(
        { kind: "read" },
        this.#deployment.one(),
        ORDER_PATIENCE,
      );
      if (told?.kind === "confirmed" && told.value.kind === "CONFIGURATION") {
        if (told.value.mark < this.#acknowledged)
          this.broken.push(
            `${this.#acknowledged} was acknowledged, and ${told.value.mark} is read`,
          );
        return;
      }
      world.run(world.now + ORDER_AGAIN_AFTER);
    }
  }
}

function group(this: World, size: number, losses: number): void {
  Object.assign(this, { size, losses });
}
Given("a group of {int} control machines of which {int} may be lost", group);

function areSilent(this: World, silentCount: number, silence: string): void {
  Object.assign(this, { silentCount, silence });
}
Given(/^(\d+) of them (?:is|are) (frozen|lost with their disks|unheard|deaf)$/, areSilent);

interface Choice {
  readonly silent: readonly number[];
  readonly stopped: number;
  readonly delay: number;
}

/** Each other machine stops, after each delay. */
function stopsBeside(silent: readonly number[], size: number): Choice[] {
  const found: Choice[] = [];
  for (let stopped = 0; stopped < size; stopped += 1)
    if (!silent.includes(stopped))
      for (const delay of DELAYS) found.push({ silent, stopped, delay });
  return found;
}

function stopsPlayed(this: World, back: Return, most: number): void {
  const { size, silentCount } = this;
  const plays: Choice[] = [];
  for (const silent of choices(silentCount, size)) plays.push(...stopsBeside(silent, size));
  this.broken = [];
  for (const [index, choice] of spreadOf(plays, most, size + silentCount).entries()) {
    const play = new StopPlay(this, choice, index + 1);
    play.run(choice.delay, back);
    for (const broken of play.broken) this.broken.push(`${JSON.stringify(choice)}: ${broken}`);
  }
}
When(
  /^another one stops as planned 0 to 3.5 s later, and (the stopped one|a silent one) comes back, in (\d+) plays$/,
  { timeout: 300_000 },
  stopsPlayed,
);

function isLetGo(broken: string): boolean {
  return broken.includes("let go");
}

function nobodyLetGoEarly(this: World): void {
  deepEqual(this.broken.filter(isLetGo), []);
}
Then(
  "in each none is let go that leaves no majority or too few copies to confirm",
  nobodyLetGoEarly,
);

function goesOn(this: World): void {
  deepEqual(
    this.broken.filter((broken) => !isLetGo(broken)),
    [],
  );
}
Then("in each the group goes on, and no acknowledged configuration is gone", goesOn);
