import type { Machine } from "../world.js";
import { startIfDown, type Fleet } from "./fleet.js";
import type { Range } from "./options.js";

/** ms by which a wall clock may step to either side. */
const CLOCK_STEP: Range = [-3_600_000, 3_600_000];
/** ms that the second of two machines that go down together stays away. */
const SECOND_LASTS: Range = [100, 4_000];
/** ms from a planned stop's announcement to its end, and from there to the next start. */
const STOP_TAKES = 4_000;
const STOPPED_FOR = 500;

/** Faults of single machines and runners that leave their disks; each is over after so many ms. */
export class MachineFaults {
  readonly #fleet: Fleet;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  /** A process ends, or its machine loses power with all unsynced writes. */
  kill(machine: Machine, isPowerLost: boolean, lasts: number): void {
    if (!machine.alive) return;
    const what = isPowerLost ? "power lost at" : "kill";
    this.#fleet.note(`${what} ${machine.name}, back after ${Math.round(lasts)}`);
    machine.kill(isPowerLost);
    this.#fleet.world.after(lasts, () => startIfDown(machine));
  }

  /** A machine loses power, and another one's process ends. */
  killTwo(machine: Machine, lasts: number): void {
    const { world, machines } = this.#fleet;
    this.kill(machine, true, lasts);
    this.kill(world.chance.pick(machines), false, world.chance.between(...SECOND_LASTS));
  }

  /** A process sleeps. */
  freeze(machine: Machine, lasts: number): void {
    if (!machine.alive || machine.frozen) return;
    this.#fleet.note(`freeze ${machine.name} for ${Math.round(lasts)}`);
    machine.freeze();
    this.#fleet.world.after(lasts, () => machine.wake());
  }

  /** A disk takes long to sync. */
  slowDisk(machine: Machine, lasts: number): void {
    this.#fleet.note(`slow disk at ${machine.name}`);
    machine.slowUntil = this.#fleet.world.now + lasts;
  }

  /** The wall clock of a control machine steps, for good. */
  stepClock(): void {
    const { world, controls } = this.#fleet;
    const control = world.chance.pick(controls);
    control.wallStep = world.chance.between(...CLOCK_STEP);
    this.#fleet.note(`clock step at ${control.name}`);
  }

  /** A runner crashes with all that it ran. */
  crashRunner(lasts: number): void {
    const { world, runners } = this.#fleet;
    const runner = world.chance.pick(runners);
    if (!runner.alive) return;
    this.#fleet.note(`runner ${runner.id} crashes`);
    runner.crash();
    world.after(lasts, () => runner.restart());
  }

  /** A planned stop and start of any machine. */
  stop(): void {
    const { world, controls, storages, accesses } = this.#fleet;
    const machine = world.chance.pick([...controls, ...storages, ...accesses]);
    if (!machine.alive || machine.frozen) return;
    this.#fleet.note(`${machine.name} is told to stop`);
    machine.leave();
    const { life } = machine;
    world.after(STOP_TAKES, () => {
      if (!machine.alive || machine.life !== life) return;
      machine.kill(false);
      world.after(STOPPED_FOR, () => startIfDown(machine));
    });
  }
}
