import type { Machine } from "../world.js";
import type { Fault } from "./options.js";
import type { PassFleet } from "./pass-fleet.js";

/** ms from the start until a kind of fault strikes first at least, within how many more, and between two strikes. */
const FIRST_STRIKE_AT = 8_000;
const FIRST_STRIKE_WITHIN = [0, 4_000] as const;
const STRIKE_EVERY = [3_000, 7_000] as const;
/** ms that machines of each kind, links, and power are away. */
const NODE_AWAY = [300, 5_000] as const;
const CONTROL_AWAY = [300, 4_000] as const;
const CUT_LASTS = [500, 4_000] as const;
const POWER_AWAY = [500, 1_500] as const;
/** ms after a lost disk in which no storage machine is struck, so that it is copied again. */
const COPIED_WITHIN = 12_000;
/** Machines of a kind that must be up, for one to be struck. */
const UP_LEAST = 3;
/** Share of messages that are lost, and for how many ms. */
const LOSS_SHARE = [0.01, 0.15] as const;
const LOSS_LASTS = [500, 3_000] as const;
/** How often links break and runners fail while runners are struck, for how many ms, and how often links break afterwards. */
const TEAR_SHARE = [0, 0.5] as const;
const TROUBLE_SHARE = [0, 0.2] as const;
const TEAR_LASTS = 2_000;
const CALM_TEAR_SHARE = 0.05;
const RUNNER_AWAY = [500, 3_000] as const;

type Range = readonly [least: number, most: number];

/** Faults in company, of which each strikes one machine, link or runner at a time, back before the next. */
export class PassFaults {
  readonly #fleet: PassFleet;
  #wipedAt = Number.NEGATIVE_INFINITY;
  readonly #strikes: Readonly<Record<Fault, () => void>> = {
    "kill-access": () => this.#strikeAccess((machine) => machine.kill(false)),
    "freeze-access": () => this.#strikeAccess((machine) => machine.freeze()),
    "kill-storage": () => this.#strikeStorage((machine) => this.#kill(machine)),
    "freeze-storage": () => this.#strikeStorage((machine) => machine.freeze()),
    "wipe-storage": () => this.#strikeStorage((machine) => this.#wipe(machine)),
    "cut-storage": () => this.#cutStorage(),
    power: () => this.#losePower(),
    "kill-control": () => this.#killControl(),
    loss: () => this.#loseMessages(),
    runners: () => this.#strikeRunner(),
    "cut-access": () => this.#cutAccess(),
  };

  constructor(fleet: PassFleet) {
    this.#fleet = fleet;
  }

  /** The faults of the options strike until the traffic ends. */
  begin(): void {
    const { world, options } = this.#fleet;
    for (const fault of options.faults)
      world.at(FIRST_STRIKE_AT + world.chance.between(...FIRST_STRIKE_WITHIN), () =>
        this.#strikeAgain(fault),
      );
  }

  #strikeAgain(fault: Fault): void {
    const { world, quietAt } = this.#fleet;
    if (world.now > quietAt) return;
    this.#fleet.count(`fault ${fault}`);
    this.#strikes[fault]();
    world.after(world.chance.between(...STRIKE_EVERY), () => this.#strikeAgain(fault));
  }

  #strikeAccess(strike: (machine: Machine) => void): void {
    const { world, accesses } = this.#fleet;
    const machine = world.chance.pick(accesses);
    if (!isUp(machine)) return;
    strike(machine);
    this.#backAfter(machine, NODE_AWAY);
  }

  #strikeStorage(strike: (machine: Machine) => void): void {
    const { world, storages } = this.#fleet;
    const up = storages.filter(isUp);
    if (up.length < UP_LEAST || world.now - this.#wipedAt < COPIED_WITHIN) return;
    const machine = world.chance.pick(up);
    strike(machine);
    this.#backAfter(machine, NODE_AWAY);
  }

  /** A process ends, or its machine loses power. */
  #kill(machine: Machine): void {
    machine.kill(this.#fleet.world.chance.happens(0.5));
  }

  #wipe(machine: Machine): void {
    this.#kill(machine);
    machine.wipe();
    this.#wipedAt = this.#fleet.world.now;
  }

  #killControl(): void {
    const { world, controls } = this.#fleet;
    const up = controls.filter(isUp);
    if (up.length < UP_LEAST) return;
    const machine = world.chance.pick(up);
    this.#kill(machine);
    this.#backAfter(machine, CONTROL_AWAY);
  }

  #losePower(): void {
    for (const machine of this.#fleet.storages) {
      if (machine.alive) machine.kill(true);
      this.#backAfter(machine, POWER_AWAY);
    }
  }

  #cutStorage(): void {
    const { world, storages } = this.#fleet;
    const machine = world.chance.pick(storages);
    for (const other of storages) if (other !== machine) world.cut(machine.address, other.address);
    this.#mendLater();
  }

  #cutAccess(): void {
    const { world, accesses } = this.#fleet;
    world.isolate(world.chance.pick(accesses).address);
    this.#mendLater();
  }

  #mendLater(): void {
    const { world } = this.#fleet;
    world.after(world.chance.between(...CUT_LASTS), () => world.mend());
  }

  #loseMessages(): void {
    const { world } = this.#fleet;
    world.loss = world.chance.between(...LOSS_SHARE);
    world.after(world.chance.between(...LOSS_LASTS), () => {
      world.loss = 0;
    });
  }

  /** One runner is replaced, and links to all break more often. */
  #strikeRunner(): void {
    const { world, runners, manner } = this.#fleet;
    const { chance } = world;
    const runner = chance.pick(runners);
    runner.alive = false;
    manner.tear = chance.between(...TEAR_SHARE);
    manner.trouble = chance.between(...TROUBLE_SHARE);
    world.after(TEAR_LASTS, () => {
      manner.tear = CALM_TEAR_SHARE;
    });
    world.after(chance.between(...RUNNER_AWAY), () => {
      runner.incarnation += 1;
      runner.alive = true;
    });
  }

  #backAfter(machine: Machine, away: Range): void {
    const { world } = this.#fleet;
    world.after(world.chance.between(...away), () => {
      if (!machine.alive) machine.start();
      else machine.wake();
    });
  }
}

function isUp(machine: Machine): boolean {
  return machine.alive && !machine.frozen;
}
