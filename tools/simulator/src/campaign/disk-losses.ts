import type { AccessMachine, ControlMachine } from "../machines.js";
import type { Machine } from "../world.js";
import { areCopiesWhole } from "./copies.js";
import { startIfDown, type Fleet } from "./fleet.js";
import type { MachineFaults } from "./machine-faults.js";
import type { Range } from "./options.js";

/** ms between two lost disks at least. */
const WIPE_PAUSE = 1_000;
/** ms until a blank machine starts in place of one that is gone for good. */
const REPLACED_AFTER: Range = [100, 3_000];
/** Control machines among which the one is that is replaced. */
const REPLACEABLE_CONTROLS = 3;
/** Share of losses at which, where two may be lost at once, no second disk goes. */
const ONE_ONLY_SHARE = 0.4;
/** Share of the moments at which all machines go down that are losses of power, and ms until each is back. */
const ALL_POWER_SHARE = 0.6;
const ALL_BACK_AFTER: Range = [300, 2_500];
/** ms until a second machine is back with an empty disk, after all went down. */
const SECOND_BACK_AFTER = 500;

/**
 * Disks that are lost, as many at once as the fleet promises to bear: one, and the next only when all
 * is copied again; of control machines another may be away meanwhile, but none else without its disk
 * (docs/design.md §2.3).
 */
export class DiskLosses {
  readonly #fleet: Fleet;
  readonly #machineFaults: MachineFaults;
  #lastLossAt = Number.NEGATIVE_INFINITY;
  /** A control disk was lost, and not all copies stand again yet. */
  #isControlLost = false;
  #wasControlReplaced = false;

  constructor(fleet: Fleet, machineFaults: MachineFaults) {
    this.#fleet = fleet;
    this.#machineFaults = machineFaults;
  }

  /** Looks whether all stands again, so that the next control disk may be lost. */
  refresh(): void {
    if (this.#isControlLost && areCopiesWhole(this.#fleet)) this.#isControlLost = false;
  }

  /** A control or storage machine loses its disk, and comes back empty after so many ms. */
  wipe(machine: Machine, lasts: number): void {
    const { world, accesses } = this.#fleet;
    if (!machine.alive || accesses.includes(machine as AccessMachine)) return;
    if (world.now - this.#lastLossAt < WIPE_PAUSE) return;
    if (!this.#mayLose(machine)) return;
    this.#lastLossAt = world.now;
    this.#isControlLost ||= this.#isControl(machine);
    this.#loseDisk(machine, lasts);
    this.#loseAnother(machine, lasts);
  }

  /** A control machine is gone for good, and a blank one comes at a new address. */
  replaceControl(): void {
    const { world, controls, options } = this.#fleet;
    if ((this.#wasControlReplaced && options.losses !== true) || this.#isControlLost) return;
    this.#wasControlReplaced = true;
    this.#lastLossAt = world.now;
    this.#isControlLost = true;
    const gone = controls[world.chance.below(REPLACEABLE_CONTROLS)]!;
    this.#fleet.note(`${gone.name} is gone for good, a blank one comes at a new address`);
    gone.kill(true);
    gone.wipe();
    this.#fleet.replaceControl(gone, world.chance.between(...REPLACED_AFTER));
  }

  /** A storage machine is gone for good, and an empty one comes at a new address. */
  replaceStorage(): void {
    const { world, storages } = this.#fleet;
    const gone = world.chance.pick(storages);
    if (!gone.alive || !areCopiesWhole(this.#fleet)) return;
    this.#lastLossAt = world.now;
    this.#fleet.note(`${gone.name} is gone for good, an empty one comes at a new address`);
    gone.kill(true);
    gone.wipe();
    this.#fleet.replaceStorage(gone, world.chance.between(...REPLACED_AFTER));
  }

  /** All machines go down at one moment, with or without power; where all is whole one of them may lose its disk besides. */
  downAll(): void {
    const { world, machines } = this.#fleet;
    const { chance } = world;
    const isPowerLost = chance.happens(ALL_POWER_SHARE);
    const lost = isPowerLost ? this.#anyWithDisk() : undefined;
    const mayLose = lost?.alive === true && this.#mayLose(lost);
    for (const machine of machines)
      this.#machineFaults.kill(machine, isPowerLost, chance.between(...ALL_BACK_AFTER));
    if (lost === undefined || !mayLose) return;
    this.#lastLossAt = world.now;
    this.#isControlLost ||= this.#isControl(lost);
    this.#fleet.note(`disk lost at ${lost.name}`);
    lost.wipe();
    this.#loseAnother(lost, SECOND_BACK_AFTER);
  }

  #isControl(machine: Machine): boolean {
    return this.#fleet.controls.includes(machine as ControlMachine);
  }

  #anyWithDisk(): Machine {
    const { world, controls, storages } = this.#fleet;
    return world.chance.pick<Machine>([...controls, ...storages]);
  }

  #mayLose(machine: Machine): boolean {
    const isControlRule = this.#isControl(machine) && this.#fleet.options.twoLost !== true;
    return isControlRule ? !this.#isControlLost : areCopiesWhole(this.#fleet);
  }

  #loseDisk(machine: Machine, lasts: number): void {
    this.#fleet.note(`disk lost at ${machine.name}, back empty after ${Math.round(lasts)}`);
    machine.kill(true);
    machine.wipe();
    this.#fleet.world.after(lasts, () => startIfDown(machine));
  }

  /** Where two may be lost at once, often a second machine loses its disk at the same moment. */
  #loseAnother(machine: Machine, lasts: number): void {
    const { world, options } = this.#fleet;
    if (options.twoLost !== true || world.chance.happens(ONE_ONLY_SHARE)) return;
    const another = this.#anyWithDisk();
    if (another === machine || another.folder === undefined) return;
    this.#isControlLost ||= this.#isControl(another);
    this.#loseDisk(another, lasts);
  }
}
