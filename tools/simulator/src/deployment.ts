import {
  lotDirectoryQueue,
  policy,
  type Bounds,
  type ChainView,
  type Policy,
  type RunnerDescriptor,
} from "@chutewick/parts";
import { configuration, keys, type ControlCommand, type ControlOutcome } from "@chutewick/control";
import {
  AccessMachine,
  ControlMachine,
  StorageMachine,
  type AccessHooks,
  type Setting,
} from "./machines.js";
import { World, type Machine } from "./world.js";

/** A deployment with bounds of its own under virtual time, for one thing after another (docs/testing.md). */
export const smallBounds: Bounds = {
  reportsEvery: 1_200,
  contactWithin: 3_000,
  acknowledgeWithin: 4_000,
  drainWithin: 2_000,
  applyWithin: 2_000,
  cancelWithin: 3_000,
  stopWithin: 8_000,
  syncWithin: 5_000,
  recoverWithin: 12_000,
  losses: { machines: 1, zones: 0, regions: 0 },
  memory: 350,
  descriptors: 4_100,
  disk: 560,
  goesOnAlone: true,
};

export interface Size {
  readonly controls: number;
  readonly storages: number;
  readonly accesses: number;
  readonly losses: number;
  readonly seeds?: number;
  /** Whether nodes go on without a lease; true where the bounds of a small site hold. */
  readonly goesOnAlone?: boolean;
  /** Those of a small site where none are told. */
  readonly bounds?: Bounds;
}

export class Deployment {
  readonly world: World;
  readonly policy: Policy;
  readonly controls: ControlMachine[] = [];
  readonly storages: StorageMachine[] = [];
  readonly accesses: AccessMachine[] = [];
  readonly #settings = new Map<string, { -readonly [Key in keyof Setting]: Setting[Key] }>();
  readonly #oneWay = new Set<string>();
  readonly #seeds: string[] = [];
  /** Reports of each runner so far; none from those that are silent. */
  readonly #reports = new Map<string, number>();
  readonly #silent = new Set<string>();

  constructor(seed: number, size: Size) {
    this.world = new World(seed);
    this.world.delayMost = 1.5;
    this.world.syncTakes = [8, 14];
    const worked = policy.from({
      ...(size.bounds ?? smallBounds),
      losses: { machines: size.losses, zones: 0, regions: 0 },
      goesOnAlone: size.goesOnAlone ?? (size.bounds ?? smallBounds).goesOnAlone,
    });
    if (!worked.ok) throw new Error(worked.reason);
    this.policy = worked.value;
    for (let number = 1; number <= (size.seeds ?? 3); number += 1)
      this.#seeds.push(`control-${number}`);
    for (let number = 1; number <= size.controls; number += 1) this.addControl(`control-${number}`);
    for (let number = 1; number <= size.storages; number += 1) this.addStorage(`storage-${number}`);
    for (let number = 1; number <= size.accesses; number += 1)
      this.addAccess(`access-${number}`, this.#seeds);
    const oneWay = this.#oneWay;
    function watch(from: string, to: string): number | undefined {
      return oneWay.has(`${from}|${to}`) ? Number.POSITIVE_INFINITY : undefined;
    }
    this.world.watch = watch;
  }

  #setting(name: string): Setting {
    const setting = { policy: this.policy, founding: true };
    this.#settings.set(name, setting);
    return setting;
  }

  /** After the very first start no machine is told again that it founds. */
  founded(): void {
    for (const setting of this.#settings.values()) setting.founding = false;
  }

  addControl(name: string, seeds: readonly string[] = this.#seeds): ControlMachine {
    const machine = new ControlMachine(this.world, { name, seeds, setting: this.#setting(name) });
    this.controls.push(machine);
    return machine;
  }

  addStorage(name: string, seeds: readonly string[] = this.#seeds): StorageMachine {
    const machine = new StorageMachine(this.world, { name, seeds, setting: this.#setting(name) });
    this.storages.push(machine);
    return machine;
  }

  addAccess(name: string, seeds: readonly string[]): AccessMachine {
    const machine = new AccessMachine(
      this.world,
      { name, seeds, setting: this.#setting(name) },
      deaf,
    );
    this.accesses.push(machine);
    return machine;
  }

  get machines(): Machine[] {
    return [...this.controls, ...this.storages, ...this.accesses];
  }

  machine(name: string): Machine {
    for (const machine of this.machines) if (machine.name === name) return machine;
    throw new Error(`there is no ${name}`);
  }

  after(seconds: number): void {
    this.world.run(this.world.now + seconds * 1_000);
  }

  /** Messages from one to the other are lost; the other way they go on. */
  silence(from: string, to: string): void {
    this.#oneWay.add(`${from}|${to}`);
  }

  hear(): void {
    this.#oneWay.clear();
  }

  /** Enters an order at a control machine and waits for what is told; how long that took in ms. */
  order(
    command: ControlCommand,
    at: ControlMachine,
    patience: number,
  ): { told: ControlOutcome | undefined; took: number } {
    const since = this.world.now;
    let told: ControlOutcome | undefined;
    function tell(outcome: ControlOutcome | undefined): void {
      told = outcome;
    }
    at.inquire(command, tell);
    while (told === undefined && this.world.now < since + patience)
      this.world.run(this.world.now + 5);
    return { told, took: this.world.now - since };
  }

  get live(): ControlMachine[] {
    return this.controls.filter(isUp);
  }

  get head(): ControlMachine | undefined {
    return this.live.find(isHead);
  }

  /** A control machine that the group counts on. */
  one(): ControlMachine {
    const members = this.members;
    const able: ControlMachine[] = [];
    for (const machine of this.live)
      if (members.length === 0 || members.includes(machine.address)) able.push(machine);
    return this.world.chance.pick(able);
  }

  /** Of the newest view that a control machine works in. */
  get members(): string[] {
    let view: ChainView | undefined;
    for (const { core } of this.live)
      if ((core.view?.mark ?? 0) > (view?.mark ?? 0)) view = core.view;
    return (view?.members ?? []).map(addressOf).sort();
  }

  /** The members of each queue, as the head has it. */
  queues(): Map<string, string[]> {
    const found = new Map<string, string[]>();
    const told = this.head?.core.status(this.world.now)["queues"] as
      Record<string, ChainView> | undefined;
    for (const [queue, view] of Object.entries(told ?? {}))
      found.set(queue, view.members.map(addressOf).sort());
    return found;
  }

  /** A runner that reports as often as the deployment has it, to any control machine that lives. */
  addRunner(id: string, pool: string): void {
    this.#reports.set(id, 0);
    const self = this;
    function again(): void {
      if (self.#silent.has(id)) return;
      if (self.live.length > 0) self.report(id, pool, (self.#reports.get(id) ?? 0) + 1);
      self.world.after(smallBounds.reportsEvery, again);
    }
    again();
  }

  report(
    id: string,
    pool: string,
    sequence: number,
    at = this.world.chance.pick(this.live),
    url = `${id}:8080`,
  ): string {
    this.#reports.set(id, Math.max(sequence, this.#reports.get(id) ?? 0));
    const card: Omit<RunnerDescriptor, "age"> = {
      id,
      incarnation: 1,
      url,
      kind: "plain",
      models: [],
      labels: {},
      seats: 4,
      zone: "a",
      burden: 0,
      pool,
    };
    return at.announce(card, sequence);
  }

  stopReports(id: string): void {
    this.#silent.add(id);
  }

  /** Where a node knows a runner to be. */
  known(node: AccessMachine, id: string): string | undefined {
    for (const card of node.core.membership.runners(this.world.now))
      if (card.id === id) return card.url;
    return undefined;
  }

  mark(node: AccessMachine): number {
    return node.core.membership.configuration.mark;
  }

  holdsQueue(name: string): boolean {
    for (const machine of this.storages) {
      if (machine.name !== name) continue;
      for (const [, view] of machine.core.membership.follower.under<ChainView>(keys.queue))
        if (view.members.some(hasAddress, name)) return true;
    }
    return false;
  }
}

/** A pool with lots, whose runners carry as many models as are asked for. */
export function configurationOf(models: number): unknown {
  const names: string[] = [];
  for (let number = 1; number <= models; number += 1) names.push(`m${number}`);
  return {
    pools: { readers: { models: names } },
    passages: {
      slips: {
        host: "a.example",
        prefix: "/slips/",
        kind: "lot",
        pools: [{ pool: "readers", weight: 1 }],
        guard: 3_000,
      },
      ask: {
        host: "a.example",
        prefix: "/ask/",
        kind: "stream",
        pools: [{ pool: "readers", weight: 1 }],
        guard: 3_000,
      },
    },
  };
}

/** The chains that control places for that configuration: its queues, and the lot directory. */
export function plans(models: number): string[] {
  const checked = configuration.check(configurationOf(models));
  if (!checked.ok) throw new Error(checked.reason);
  return [lotDirectoryQueue, ...configuration.queues(checked.value).map(queueOf)];
}

const deaf: AccessHooks = { runnerAt: nobody, began: nothing };

function nobody(): undefined {
  return undefined;
}
function nothing(): void {
  // Nobody looks.
}
function isUp(machine: Machine): boolean {
  return machine.alive && !machine.frozen;
}
function isHead(machine: ControlMachine): boolean {
  return machine.core.isHead;
}
function addressOf(member: { address: string }): string {
  return member.address;
}
function queueOf(plan: { queue: string }): string {
  return plan.queue;
}
function hasAddress(this: string, member: { address: string }): boolean {
  return String(this) === member.address;
}
