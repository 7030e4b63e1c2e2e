import { request } from "undici";
import { ports, type Machine } from "../system/machine.js";
import type { SoakSystem } from "./system.js";
import { pause } from "./time.js";
import type { Violations } from "./violations.js";

const answerPatience = 1_000;
/** ms. Often enough that most of what a process counted is read before it is killed. */
const readEvery = 2_000;

/** Reads the counters that each process keeps of its own broken invariants. */
export class OwnCounters {
  /** How often a process told its counters. */
  reads = 0;
  #system: SoakSystem;
  #violations: Violations;
  /** The last sum that each process told. */
  #sums = new Map<Machine, number>();
  #isOver = false;

  constructor(system: SoakSystem, violations: Violations) {
    this.#system = system;
    this.#violations = violations;
  }

  /** Reads until told to stop. */
  async run(): Promise<void> {
    while (!this.#isOver) {
      await pause(readEvery);
      await this.check();
    }
  }

  stop(): void {
    this.#isOver = true;
  }

  /** Reads the counters of all processes once. */
  async check(): Promise<void> {
    const machines = [...this.#system.diskMachines(), ...this.#system.machines("access")];
    await Promise.all(machines.map((machine) => this.#check(machine)));
  }

  async #check(machine: Machine): Promise<void> {
    const counters = await countersOf(machine);
    if (counters === undefined) return;
    this.reads += 1;
    let sum = 0;
    for (const count of Object.values(counters)) sum += Number(count);
    if (sum > (this.#sums.get(machine) ?? 0))
      this.#violations.add("OWN_COUNTERS", `${machine.name}: ${JSON.stringify(counters)}`);
    this.#sums.set(machine, sum);
  }
}

/** Undefined where the process does not tell any. */
async function countersOf({ ip }: Machine): Promise<Record<string, unknown> | undefined> {
  try {
    const told = await request(`http://${ip}:${ports.own}/status`, {
      signal: AbortSignal.timeout(answerPatience),
    });
    const status = (await told.body.json()) as { violations?: Record<string, unknown> };
    return status.violations;
  } catch {
    return undefined;
  }
}
