import type { Bounds } from "@chutewick/parts";
import { Deployment, smallBounds } from "../deployment.js";
import type { AccessMachine, ControlMachine, StorageMachine } from "../machines.js";
import type { Chance, Machine } from "../world.js";
import { History } from "./history.js";

/** Core machines and tolerated losses of a site; `lostAtOnce` may be less where fewer machines stand. */
export interface Shape {
  readonly cores: number;
  readonly losses: number;
  readonly lostAtOnce: number;
}

export const shapes: readonly Shape[] = [
  { cores: 3, losses: 1, lostAtOnce: 1 },
  { cores: 4, losses: 1, lostAtOnce: 1 },
  { cores: 5, losses: 1, lostAtOnce: 1 },
  { cores: 4, losses: 2, lostAtOnce: 1 },
  { cores: 5, losses: 2, lostAtOnce: 2 },
];

/** Deployments with other bounds than the small site's. */
export const boundsVariants: Readonly<Record<string, Partial<Bounds>>> = {
  small: {},
  leased: { goesOnAlone: false, reportsEvery: 1_000, contactWithin: 2_000, syncWithin: 3_000 },
  wide: { reportsEvery: 3_000, cancelWithin: 6_000, stopWithin: 15_000, syncWithin: 9_000 },
};

/** How a core machine is cut off from the others. */
export type CutKind = "silent" | "hears nothing" | "is not heard" | "refused";
export const cutKinds: readonly CutKind[] = ["silent", "hears nothing", "is not heard", "refused"];

const ACCESS_MACHINES = 2;
/** Control machines that the settings of a process name. */
const SEEDS = 3;
/** ms. From the first start until the group stands. */
const FOUNDING_TIME = 4_000;

/** A deployment whose control and storage machines of one number stand and fall together. */
export class Site {
  readonly deployment: Deployment;
  readonly history = new History();
  readonly shape: Shape;
  readonly boundsName: string;
  readonly bounds: Bounds;
  /** Control machines that refuse connections of clients. */
  readonly refusing = new Set<string>();
  #coreNumber: number;
  /** Until when each core machine counts as lost. */
  #lostUntil = new Map<number, number>();

  constructor(seed: number) {
    this.shape = shapes[seed % shapes.length]!;
    const variants = Object.keys(boundsVariants);
    this.boundsName = variants[Math.floor(seed / shapes.length) % variants.length]!;
    this.bounds = { ...smallBounds, ...boundsVariants[this.boundsName] };
    const { cores, losses } = this.shape;
    this.#coreNumber = cores;
    this.deployment = new Deployment(seed, {
      controls: cores,
      storages: cores,
      accesses: ACCESS_MACHINES,
      losses,
      bounds: this.bounds,
    });
  }

  get chance(): Chance {
    return this.deployment.world.chance;
  }

  get now(): number {
    return this.deployment.world.now;
  }

  /** Runs virtual time on by so many ms. */
  wait(milliseconds: number): void {
    const { world } = this.deployment;
    world.run(world.now + milliseconds);
  }

  start(): void {
    for (const machine of this.deployment.machines) machine.start();
    this.deployment.founded();
    this.wait(FOUNDING_TIME);
  }

  control(core: number): ControlMachine {
    return this.deployment.machine(`control-${core}`) as ControlMachine;
  }

  storage(core: number): StorageMachine {
    return this.deployment.machine(`storage-${core}`) as StorageMachine;
  }

  /** Numbers of the core machines that are not retired. */
  get cores(): number[] {
    const found: number[] = [];
    for (const machine of this.deployment.controls)
      if (!machine.retired) found.push(coreNumber(machine));
    return found;
  }

  get controls(): ControlMachine[] {
    return this.deployment.controls.filter((machine) => !machine.retired);
  }

  get accesses(): AccessMachine[] {
    return this.deployment.accesses;
  }

  /** The core machine whose control process leads; any other one where none does. */
  headCore(): number {
    const { head } = this.deployment;
    return head === undefined ? this.chance.pick(this.cores) : coreNumber(head);
  }

  // Budget of losses

  /** How many more machines may be lost now. */
  get lossesLeft(): number {
    let lost = 0;
    for (const until of this.#lostUntil.values()) if (until > this.now) lost += 1;
    return this.shape.lostAtOnce - lost;
  }

  isCounted(core: number): boolean {
    return (this.#lostUntil.get(core) ?? 0) <= this.now;
  }

  countLost(core: number): void {
    this.#lostUntil.set(core, Infinity);
  }

  /** A machine that is back counts as lost until it is synchronised. */
  countBack(core: number): void {
    this.#lostUntil.set(core, this.now + this.bounds.syncWithin);
  }

  forgetLost(core: number): void {
    this.#lostUntil.delete(core);
  }

  // Faults

  processes(core: number): Machine[] {
    return [this.control(core), this.storage(core)];
  }

  kill(core: number, how: "kill" | "power" | "wipe"): void {
    for (const machine of this.processes(core)) {
      machine.kill(how !== "kill");
      if (how === "wipe") machine.wipe();
    }
  }

  startCore(core: number): void {
    for (const machine of this.processes(core)) if (!machine.alive) machine.start();
  }

  /** Cuts a core machine off from every other machine; clients reach it unless it refuses. */
  cut(core: number, kind: CutKind): void {
    const own = this.processes(core).map(({ address }) => address);
    for (const { address } of this.deployment.machines) {
      if (own.includes(address)) continue;
      for (const cut of own) this.#cutPair(cut, address, kind);
    }
    if (kind === "refused") this.refusing.add(this.control(core).address);
  }

  #cutPair(cut: string, other: string, kind: CutKind): void {
    if (kind !== "hears nothing") this.deployment.silence(cut, other);
    if (kind !== "is not heard") this.deployment.silence(other, cut);
  }

  /** Ends all cuts and freezes and starts what is down. */
  mend(): void {
    this.deployment.hear();
    this.deployment.world.mend();
    this.deployment.world.loss = 0;
    this.refusing.clear();
    for (const machine of this.deployment.machines) {
      machine.wake();
      if (!machine.alive) machine.start();
    }
  }

  /** What the settings of a new machine name: the three oldest control machines not retired by then, up or down. */
  get #listedSeeds(): string[] {
    return this.controls.slice(0, SEEDS).map(({ address }) => address);
  }

  /** A blank core machine at an address of its own; its number. Its settings stay as they are written now. */
  addCore(): number {
    this.#coreNumber += 1;
    const seeds = this.#listedSeeds;
    const control = this.deployment.addControl(`control-${this.#coreNumber}`, seeds);
    const storage = this.deployment.addStorage(`storage-${this.#coreNumber}`, seeds);
    this.deployment.founded();
    control.start();
    storage.start();
    return this.#coreNumber;
  }

  retire(core: number): void {
    for (const machine of this.processes(core)) {
      machine.kill(true);
      machine.retired = true;
    }
    this.forgetLost(core);
  }
}

function coreNumber(machine: Machine): number {
  return Number(machine.name.slice(machine.name.lastIndexOf("-") + 1));
}
