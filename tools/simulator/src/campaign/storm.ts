import { zoneNamed } from "../machines.js";
import type { Runner } from "../runners.js";
import type { Machine } from "../world.js";
import type { DiskLosses } from "./disk-losses.js";
import type { Fleet } from "./fleet.js";
import type { MachineFaults } from "./machine-faults.js";
import type { NetworkFaults } from "./network-faults.js";
import { USUAL_STORMY, type Range } from "./options.js";
import type { PlannedChanges } from "./planned-changes.js";

/** ms. When the first fault strikes, the pause between two, and how long one lasts. */
const STORM_STARTS_AT = 8_000;
const FAULT_EVERY: Range = [200, 3_000];
const FAULT_LASTS: Range = [100, 6_000];
/** ms after the storm's length until which faults strike. */
const FAULTS_GO_ON = 4_000;
/** ms that control is out of reach longer than other faults last, so that leases run out. */
const AWAY_LONGER = 3_000;
/** Zones by number. */
const ZONES = 3;

type FaultKind =
  | "kill"
  | "power"
  | "freeze"
  | "cut"
  | "isolate"
  | "wipe"
  | "slow"
  | "loss"
  | "runner"
  | "clock"
  | "split"
  | "both"
  | "replace"
  | "replace storage"
  | "add"
  | "empty"
  | "roll"
  | "away"
  | "stop"
  | "zone"
  | "all";

/** Kinds of faults, drawn as often as they stand here. */
const usualFaults: readonly FaultKind[] = [
  "kill",
  "kill",
  "power",
  "freeze",
  "freeze",
  "cut",
  "isolate",
  "wipe",
  "slow",
  "loss",
  "runner",
  "clock",
  "split",
  "both",
  "replace",
  "add",
  "empty",
  "roll",
  "away",
  "stop",
  "zone",
];
/** The same for storms of losses. */
const lossFaults: readonly FaultKind[] = [
  "kill",
  "power",
  "power",
  "freeze",
  "cut",
  "isolate",
  "isolate",
  "wipe",
  "wipe",
  "wipe",
  "slow",
  "loss",
  "split",
  "both",
  "both",
  "replace",
  "replace storage",
  "add",
  "empty",
  "away",
  "stop",
  "stop",
  "zone",
  "all",
];

/** The faults that a storm draws from, by what they go for. */
export interface StormParts {
  readonly machineFaults: MachineFaults;
  readonly networkFaults: NetworkFaults;
  readonly diskLosses: DiskLosses;
  readonly plannedChanges: PlannedChanges;
}

/** A fault as it was drawn: the machine that it strikes, where it strikes one, and for how many ms. */
type Strike = (machine: Machine, lasts: number) => void;

/** Faults of random kinds at random moments. */
export class Storm {
  readonly #fleet: Fleet;
  readonly #parts: StormParts;
  readonly #kinds: readonly FaultKind[];
  readonly #strikes: Readonly<Record<FaultKind, Strike>>;

  constructor(fleet: Fleet, parts: StormParts) {
    this.#fleet = fleet;
    this.#parts = parts;
    this.#kinds = fleet.options.losses === true ? lossFaults : usualFaults;
    this.#strikes = this.#strikesByKind();
  }

  /** Faults strike from 8 s on, until shortly before the storm's end. */
  begin(): void {
    this.#fleet.world.at(STORM_STARTS_AT, () => this.#rage());
  }

  #rage(): void {
    const { world, options } = this.#fleet;
    if (world.now > (options.stormy ?? USUAL_STORMY) + FAULTS_GO_ON) return;
    this.#strike();
    world.after(world.chance.between(...FAULT_EVERY), () => this.#rage());
  }

  #strike(): void {
    const { world, machines } = this.#fleet;
    const kind = world.chance.pick(this.#kinds);
    const machine = world.chance.pick(machines);
    const lasts = world.chance.between(...FAULT_LASTS);
    this.#strikes[kind](machine, lasts);
  }

  #strikesByKind(): Record<FaultKind, Strike> {
    const { machineFaults, networkFaults, diskLosses, plannedChanges } = this.#parts;
    return {
      kill: (machine, lasts) => machineFaults.kill(machine, false, lasts),
      power: (machine, lasts) => machineFaults.kill(machine, true, lasts),
      both: (machine, lasts) => machineFaults.killTwo(machine, lasts),
      freeze: (machine, lasts) => machineFaults.freeze(machine, lasts),
      slow: (machine, lasts) => machineFaults.slowDisk(machine, lasts),
      stop: () => machineFaults.stop(),
      clock: () => machineFaults.stepClock(),
      runner: (_machine, lasts) => machineFaults.crashRunner(lasts),
      cut: (machine, lasts) => networkFaults.cut(machine, lasts),
      isolate: (machine, lasts) => networkFaults.isolate(machine, lasts),
      split: (_machine, lasts) => networkFaults.splitControl(lasts),
      away: (_machine, lasts) => networkFaults.cutControl(lasts + AWAY_LONGER),
      loss: (_machine, lasts) => networkFaults.loseMessages(lasts),
      wipe: (machine, lasts) => diskLosses.wipe(machine, lasts),
      replace: () => diskLosses.replaceControl(),
      "replace storage": () => diskLosses.replaceStorage(),
      all: () => diskLosses.downAll(),
      add: () => this.#fleet.addStorage(),
      empty: () => plannedChanges.empty(),
      roll: () => plannedChanges.replaceRunners(),
      zone: (_machine, lasts) => this.#loseZone(lasts),
    };
  }

  /** A third of the access nodes, one control and one storage machine and their runners are cut off together, or lose power. */
  #loseZone(lasts: number): void {
    const { world, machines, runners } = this.#fleet;
    const zone = `zone-${world.chance.below(ZONES)}`;
    const isInside = (name: string): boolean => zoneNamed(name) === zone;
    const lost = machines.filter(({ name }) => isInside(name));
    const lostRunners = runners.filter(({ id }) => isInside(id));
    if (!world.chance.happens(0.5)) return this.#losePower(zone, lost, lostRunners, lasts);
    this.#fleet.note(`${zone} is cut off for ${Math.round(lasts)}`);
    const others = [
      ...machines.filter(({ name }) => !isInside(name)),
      ...runners.filter(({ id }) => !isInside(id)),
    ];
    for (const other of others)
      for (const one of [...lost, ...lostRunners]) world.cut(one.address, other.address);
    this.#parts.networkFaults.mendAfter(lasts);
  }

  #losePower(
    zone: string,
    machines: readonly Machine[],
    runners: readonly Runner[],
    lasts: number,
  ): void {
    this.#fleet.note(`${zone} loses power`);
    for (const machine of machines) this.#parts.machineFaults.kill(machine, true, lasts);
    for (const runner of runners) if (runner.alive) runner.crash();
    this.#fleet.world.after(lasts, () => {
      for (const runner of runners) if (!runner.alive) runner.restart();
    });
  }
}
