import type { DutyBounds } from "@chutewick/parts";
import { World } from "../world.js";
import { DutyGroup } from "./duty-group.js";
import { DutyMachine } from "./duty-machine.js";
import { DutyPlatform, type PlatformMood } from "./duty-platform.js";
import { brokenDutyRules } from "./duty-rules.js";

/** A play of the model of duties. */
export interface DutyPlay {
  readonly seed: number;
}

/** What came of it. */
export interface DutyPlayed {
  readonly seed: number;
  readonly broken: readonly string[];
  /** Windows, after the first one taken, whose report was due and not taken by the end, after a calm time. */
  readonly missing: readonly number[];
  readonly calls: number;
  /** Windows taken, and the times that the holder of their reports changed. */
  readonly reports: number;
  readonly handOvers: number;
}

export const dutyModelBounds: DutyBounds = {
  kinds: ["usage", "scaling"],
  callsPerSecond: 50,
  lease: 3_000,
  thawSlack: 300,
  window: 5_000,
  reportWithin: 10_000,
};

/** Machines, and ms of trouble and of calm after it. */
const machineCount = 3;
const troubleLasts = 60_000;
const calmLasts = 40_000;
/** ms. Pauses between faults, and how long each lasts, at most. */
const pauseMost = 2_500;
const faultMost = 9_000;

const moods: readonly PlatformMood[] = ["silent", "busy", "reset", "slow", "down"];

/** Random schedules of faults on three machines with the real performers and records (docs/design.md §14). */
export function playDuties({ seed }: DutyPlay): DutyPlayed {
  const world = new World(seed);
  world.loss = world.chance.pick([0, 0.02, 0.2]);
  world.delayMost = world.chance.pick([3, 30, 300]);
  const play = new DutyRounds(world);
  world.run(troubleLasts);
  play.calm();
  world.run(troubleLasts + calmLasts);
  return play.result(seed);
}

class DutyRounds {
  readonly #world: World;
  readonly #platform: DutyPlatform;
  readonly #group: DutyGroup;
  readonly #machines: DutyMachine[] = [];

  constructor(world: World) {
    this.#world = world;
    this.#platform = new DutyPlatform(world);
    const names = ["one", "two", "three"].slice(0, machineCount);
    this.#group = new DutyGroup(world, names);
    for (const [place, name] of names.entries()) {
      const machine = new DutyMachine(world, {
        name,
        place,
        members: machineCount,
        bounds: dutyModelBounds,
        platform: this.#platform,
        group: this.#group,
      });
      machine.clockRate = world.chance.pick([0.995, 1, 1.005]);
      this.#machines.push(machine);
    }
    for (const machine of this.#machines) machine.start();
    this.#nextFault();
  }

  #nextFault(): void {
    const { chance } = this.#world;
    this.#world.after(chance.between(0, pauseMost), () => {
      if (this.#world.now > troubleLasts) return;
      this.#fault(chance.between(20, faultMost));
      this.#nextFault();
    });
  }

  #fault(lasts: number): void {
    const { chance } = this.#world;
    const struck = chance.happens(0.7) ? this.#lastHolder() : chance.pick(this.#machines);
    const faults = [
      () => this.#freeze(struck, lasts),
      () => this.#freezeAfterWin(struck, lasts),
      () => this.#kill(struck, lasts),
      () => this.#cutFromGroup(struck, lasts),
      () => this.#cutFromPlatform(struck, lasts),
      () => this.#group.standStill(chance.between(0, 3_000), chance.happens(0.5)),
      () => this.#stepClock(struck),
      () => this.#moodChanges(lasts),
    ];
    chance.pick(faults)();
  }

  /** Whose report came last; the first machine where none came. */
  #lastHolder(): DutyMachine {
    const last = this.#platform.seen.at(-1)?.holder;
    return this.#machines.find(({ name }) => name === last) ?? this.#machines[0]!;
  }

  #freeze(machine: DutyMachine, lasts: number): void {
    machine.freeze();
    this.#world.after(lasts, () => machine.wake());
  }

  /** The round is won and its word is on the way: what is read on waking is as old as the freeze. */
  #freezeAfterWin(machine: DutyMachine, lasts: number): void {
    this.#world.watch = (from, to, message) => {
      const { kind } = message as { kind: string };
      if (from !== "group" || to !== machine.address || kind !== "told") return 0;
      this.#world.watch = undefined;
      this.#freeze(machine, lasts);
      return 0;
    };
  }

  #kill(machine: DutyMachine, lasts: number): void {
    machine.kill(false);
    this.#world.after(lasts, () => {
      if (!machine.alive) machine.start();
    });
  }

  #cutFromGroup(machine: DutyMachine, lasts: number): void {
    this.#world.cut(machine.address, this.#group.address);
    this.#world.after(lasts, () => this.#world.join(machine.address, this.#group.address));
  }

  #cutFromPlatform(machine: DutyMachine, lasts: number): void {
    machine.isCutFromPlatform = true;
    this.#world.after(lasts, () => {
      machine.isCutFromPlatform = false;
    });
  }

  #stepClock(machine: DutyMachine): void {
    machine.wallStep = this.#world.chance.between(-15_000, 15_000);
  }

  #moodChanges(lasts: number): void {
    this.#platform.mood = this.#world.chance.pick(moods);
    this.#world.after(lasts, () => {
      this.#platform.mood = "well";
    });
  }

  /** All troubles are over. */
  calm(): void {
    const world = this.#world;
    world.watch = undefined;
    world.loss = 0;
    world.mend();
    this.#platform.mood = "well";
    for (const machine of this.#machines) {
      machine.isCutFromPlatform = false;
      machine.wallStep = 0;
      machine.wake();
      if (!machine.alive) machine.start();
    }
  }

  result(seed: number): DutyPlayed {
    const { seen } = this.#platform;
    const reports = seen.filter((call) => call.isAccepted && call.subject.includes("/usage/"));
    const taken = new Set(reports.map(({ number }) => number));
    const newestDue =
      (troubleLasts + calmLasts - dutyModelBounds.reportWithin) / dutyModelBounds.window;
    const missing: number[] = [];
    for (let number = Math.min(...taken); number < Math.floor(newestDue); number += 1)
      if (!taken.has(number)) missing.push(number);
    let handOvers = 0;
    for (const [index, { holder }] of reports.entries())
      if (index > 0 && reports[index - 1]!.holder !== holder) handOvers += 1;
    return {
      seed,
      broken: [...brokenDutyRules(seen, dutyModelBounds.lease), ...this.#group.lateCalls],
      missing,
      calls: seen.length,
      reports: taken.size,
      handOvers,
    };
  }
}
