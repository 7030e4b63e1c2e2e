import type { Machine } from "../world.js";
import type { AwaySpan } from "./counts.js";
import type { Fleet } from "./fleet.js";
import type { Range } from "./options.js";

/** Share of messages that are lost while messages are lost at all. */
const LOSS_SHARE: Range = [0.01, 0.2];

/** Faults of the network between machines; each is over after so many ms. */
export class NetworkFaults {
  readonly #fleet: Fleet;
  /** Cuts ordered so far: only the end of the newest mends the network. */
  #cutNumber = 0;
  /** When the control group was out of reach. */
  readonly awaySpans: AwaySpan[] = [];

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  /** One machine is cut from another one. */
  cut(machine: Machine, lasts: number): void {
    const { world, machines } = this.#fleet;
    const other = world.chance.pick(machines);
    if (other === machine) return;
    this.#fleet.note(`cut ${machine.name} from ${other.name}`);
    world.cut(machine.address, other.address);
    this.mendAfter(lasts);
  }

  /** One machine is cut from all others. */
  isolate(machine: Machine, lasts: number): void {
    this.#fleet.note(`cut off ${machine.name}`);
    this.#fleet.world.isolate(machine.address);
    this.mendAfter(lasts);
  }

  /** One control machine is cut from the other control machines. */
  splitControl(lasts: number): void {
    const { world, controls } = this.#fleet;
    this.#fleet.note("split the control group");
    const lone = world.chance.pick(controls);
    for (const other of controls) if (other !== lone) world.cut(lone.address, other.address);
    this.mendAfter(lasts);
  }

  /** The whole control group is out of reach of every node. */
  cutControl(lasts: number): void {
    const { world, controls, storages, accesses } = this.#fleet;
    this.#fleet.note(`the control group is away for ${Math.round(lasts)}`);
    for (const control of controls)
      for (const node of [...storages, ...accesses]) world.cut(control.address, node.address);
    this.awaySpans.push({ from: world.now, to: world.now + lasts });
    this.mendAfter(lasts);
  }

  /** Some share of all messages is lost. */
  loseMessages(lasts: number): void {
    const { world } = this.#fleet;
    this.#fleet.note("messages are lost");
    world.loss = world.chance.between(...LOSS_SHARE);
    world.after(lasts, () => {
      world.loss = 0;
    });
  }

  /** Mends the whole network after so many ms, unless something was cut again meanwhile. */
  mendAfter(lasts: number): void {
    const { world } = this.#fleet;
    this.#cutNumber += 1;
    const number = this.#cutNumber;
    world.after(lasts, () => {
      if (this.#cutNumber === number) world.mend();
    });
  }
}
