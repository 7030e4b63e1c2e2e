import { policy, type Policy } from "@chutewick/parts";
import type { Sight, Violation } from "../checker.js";
import { AccessMachine, ControlMachine, StorageMachine, isHeadOf } from "../machines.js";
import { Runner, type Manner } from "../runners.js";
import { World, type Machine } from "../world.js";
import type { CampaignOptions } from "./options.js";
import { orderIdOf } from "./order-outcome.js";

/** Settings name three of the control machines (docs/design.md §13.8). */
const SEED_ADDRESSES = ["control-1", "control-2", "control-3"] as const;
const USUAL_MACHINES = 3;
/** Control and storage machines each, where two may be lost at once. */
const TWO_LOST_MACHINES = 5;
const USUAL_ACCESS = 3;
const USUAL_MODEL_RUNNERS = 5;
const USUAL_PLAIN_RUNNERS = 2;
const USUAL_SEATS = 12;
const PLAIN_SEATS = 24;
const USUAL_DEADLINE_SECONDS = 600;
/** The number that the storage machine has which may be added to the usual three. */
const ADDED_STORAGE_NUMBER = 4;

const twoLostPolicy: Policy = {
  ...policy.defaults,
  copiesLeast: 3,
  copiesWanted: 4,
  controlsWanted: 5,
  othersLeast: 3,
};

/** How often runners fail, and how fast they are, while nothing strikes them. */
const calmManner: Manner = {
  trouble: 0.03,
  tear: 0.03,
  lie: 0.01,
  silent: 0.003,
  short: 0.003,
  firstMs: 60,
  pieceMs: 25,
};

/** The machines and runners of one campaign, what was seen of them, and how machines come and go. */
export class Fleet {
  readonly options: CampaignOptions;
  readonly world: World;
  readonly controls: ControlMachine[] = [];
  readonly storages: StorageMachine[] = [];
  readonly accesses: AccessMachine[] = [];
  readonly runners: Runner[] = [];
  /** What struck so far, each with its ms. */
  readonly faults: string[] = [];
  /** What clients, operators and runners saw, for the checker. */
  readonly sight: Sight;
  /** Violations found while the run goes on; the checker's come at its end. */
  readonly violations: Violation[] = [];
  /** Numbers of the newest machines, from which those that come later count on. */
  #controlNumber: number;
  #storageNumber: number;

  constructor(options: CampaignOptions) {
    this.options = options;
    this.world = new World(options.seed);
    this.world.syncTakes = options.syncTakes ?? this.world.syncTakes;
    this.sight = emptySight(options);
    const isTwoLost = options.twoLost === true;
    if (isTwoLost) this.world.policy = twoLostPolicy;
    const count = isTwoLost ? TWO_LOST_MACHINES : USUAL_MACHINES;
    this.#controlNumber = count;
    this.#storageNumber = Math.max(count, ADDED_STORAGE_NUMBER);
    this.#addCoreMachines(count);
    this.#addAccessMachines(options.access ?? USUAL_ACCESS);
    this.#addRunners();
  }

  /** All machines, control machines first. */
  get machines(): Machine[] {
    return [...this.controls, ...this.storages, ...this.accesses];
  }

  /** Records a fault that struck. */
  note(text: string): void {
    this.faults.push(`${Math.round(this.world.now)} ${text}`);
  }

  /** The machine that owns a queue, by the newest view that stands on a disk. */
  owner(queue: string): StorageMachine | undefined {
    let found: StorageMachine | undefined;
    let mark = 0;
    for (const storage of this.storages) {
      const view = storage.folder?.holdings().get(queue)?.state.view;
      if (view === undefined || view.mark <= mark) continue;
      mark = view.mark;
      found = machineOf(this.storages, view.members[0]!.identity);
    }
    return found;
  }

  /** The head of the control chain, where one serves. */
  head(): ControlMachine | undefined {
    return this.controls.find(isHeadOf);
  }

  /** A blank control machine at a new address, instead of one that is gone; it starts after so many ms. */
  replaceControl(gone: ControlMachine, after: number): void {
    const { world, controls } = this;
    this.#controlNumber += 1;
    const name = `control-${this.#controlNumber}`;
    const blank = new ControlMachine(world, { name, seeds: this.#seedsNow(gone) });
    controls[controls.indexOf(gone)] = blank;
    gone.retired = true;
    world.after(after, () => startIfDown(blank));
  }

  /** An empty storage machine at a new address, instead of one that is gone; it starts after so many ms. */
  replaceStorage(gone: StorageMachine, after: number, started?: () => void): void {
    const { world, storages } = this;
    this.#storageNumber += 1;
    const name = `storage-${this.#storageNumber}`;
    const blank = new StorageMachine(world, { name, seeds: this.#seedsNow() });
    storages[storages.indexOf(gone)] = blank;
    gone.retired = true;
    world.after(after, () => {
      /** The end of the storm may have started it before. */
      startIfDown(blank);
      started?.();
    });
  }

  /** A fourth storage machine; nothing where there are more than three. */
  addStorage(): void {
    if (this.storages.length > USUAL_MACHINES) return;
    const name = `storage-${ADDED_STORAGE_NUMBER}`;
    const added = new StorageMachine(this.world, { name, seeds: this.#seedsNow() });
    this.storages.push(added);
    this.note(`${name} is added`);
    added.start();
  }

  /** The operator's list as it stands when a machine is set up. */
  #seedsNow(gone?: ControlMachine): string[] {
    const seeds: string[] = [];
    for (const control of this.controls)
      if (control !== gone && seeds.length < SEED_ADDRESSES.length) seeds.push(control.address);
    return seeds;
  }

  #addCoreMachines(count: number): void {
    for (let number = 1; number <= count; number += 1) {
      const name = `control-${number}`;
      this.controls.push(new ControlMachine(this.world, { name, seeds: SEED_ADDRESSES }));
    }
    for (let number = 1; number <= count; number += 1) {
      const name = `storage-${number}`;
      this.storages.push(new StorageMachine(this.world, { name, seeds: SEED_ADDRESSES }));
    }
  }

  #addAccessMachines(count: number): void {
    const hooks = {
      runnerAt: (url: string): Runner | undefined =>
        this.runners.find((runner) => runner.address === url),
      began: (machine: AccessMachine): void => this.#attemptBegan(machine),
    };
    for (let number = 1; number <= count; number += 1) {
      const name = `access-${number}`;
      this.accesses.push(new AccessMachine(this.world, { name, seeds: SEED_ADDRESSES }, hooks));
    }
  }

  /** Notes under which configuration a node sent an attempt's first byte. */
  #attemptBegan(machine: AccessMachine): void {
    const { mark, value } = machine.core.membership.configuration;
    this.sight.begins.push({
      node: `${machine.name}/${machine.life}`,
      at: this.world.now,
      mark,
      id: orderIdOf(value),
    });
  }

  #addRunners(): void {
    const { options, world, sight } = this;
    const models = options.modelRunners ?? USUAL_MODEL_RUNNERS;
    const seats = options.seats ?? USUAL_SEATS;
    const count = models + (options.plainRunners ?? USUAL_PLAIN_RUNNERS);
    for (let number = 1; number <= count; number += 1) {
      const kind = number <= models ? "model" : "plain";
      const card = {
        id: `${kind}-${number}`,
        kind,
        seats: kind === "model" ? seats : PLAIN_SEATS,
      } as const;
      this.runners.push(new Runner(world, card, sight.runs, { ...calmManner }));
    }
  }
}

function emptySight(options: CampaignOptions): Sight {
  return {
    inquiries: [],
    lots: [],
    founding: [],
    changes: [],
    reads: [],
    begins: [],
    deregistrations: [],
    runs: [],
    waiting: [],
    healedAt: 0,
    serviceAt: {},
    deadline: (options.deadlineSeconds ?? USUAL_DEADLINE_SECONDS) * 1_000,
    repaired: true,
    emptiedHolds: false,
  };
}

/** The machine whose data folder has this identity. */
export function machineOf<Kind extends Machine>(
  machines: readonly Kind[],
  identity: string,
): Kind | undefined {
  return machines.find((machine) => machine.folder?.identity === identity);
}

/** Starts a machine that nobody else started meanwhile. */
export function startIfDown(machine: Machine): void {
  if (!machine.alive) machine.start();
}

/** The label of the pool in which a runner stands. */
export function poolOf(runner: string): string {
  return runner === "model-1" || runner === "model-2" ? "big" : "small";
}
