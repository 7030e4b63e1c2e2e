import { bounds, type Machine } from "../system/machine.js";
import { nextId, send, type Exchange } from "./exchange.js";
import type { Operator } from "./operator.js";
import type { Random } from "./random.js";
import type { SoakSystem } from "./system.js";
import { now, pause } from "./time.js";
import { handlingOf, noRoute, type Handling } from "./versions.js";
import type { Violations } from "./violations.js";

/** ms. Between the probes of one access machine. */
const probeEvery = 200;
const probePatience = 1_500;

/** Requests on routes that changed lately, sent to each access machine: they tell the configuration in force there. */
export class Probes {
  judged = 0;
  #system: SoakSystem;
  #operator: Operator;
  #violations: Violations;
  #random: Random;
  #isOver = false;

  constructor(system: SoakSystem, operator: Operator, violations: Violations, random: Random) {
    this.#system = system;
    this.#operator = operator;
    this.#violations = violations;
    this.#random = random;
  }

  /** Probes all access machines until told to stop. */
  async run(): Promise<void> {
    const loops: Promise<void>[] = [];
    for (const { name } of this.#system.machines("access")) loops.push(this.#probe(name));
    await Promise.all(loops);
  }

  stop(): void {
    this.#isOver = true;
  }

  async #probe(name: string): Promise<void> {
    while (!this.#isOver) {
      await pause(probeEvery);
      const { recentRoutes } = this.#operator;
      const time = now();
      if (recentRoutes.length === 0 || !this.#system.calm.wasCalm(name, time, time)) continue;
      const machine = this.#system.machine(name);
      await this.#probeRoute(machine, this.#random.pick(recentRoutes));
    }
  }

  async #probeRoute(machine: Machine, route: string): Promise<void> {
    const sentAt = now();
    const path = `/${route}/probe`;
    const patience = probePatience;
    const call = { machine, method: "POST", path, id: nextId(), body: "{}", patience } as const;
    const exchange = await send(call);
    const handling = this.#handlingOf(exchange);
    if (handling === undefined) return;
    const { calm } = this.#system;
    if (!calm.wasCalm(machine.name, sentAt, exchange.endedAt)) return;
    const isSettled = calm.wereDisksCalm(sentAt, exchange.endedAt);
    const bound = bounds.applyMs + (isSettled ? 0 : bounds.stretchMs);
    const allowed = this.#operator.versions.allowed(sentAt, exchange.endedAt, bound);
    this.judged += 1;
    if (allowed.some((version) => handlingOf(version, route) === handling)) return;
    this.#violations.add(
      "CONFIG_IN_FORCE",
      `${machine.name} handled ${route} as ${handling}; versions that may be in force ${allowed[0]?.revision}..${allowed.at(-1)?.revision} say ${handlingOf(allowed[0]!, route)}; core settled ${isSettled}`,
    );
  }

  /** Undefined where the answer tells nothing. */
  #handlingOf({ call, status, isComplete }: Exchange): Handling | undefined {
    if (!isComplete) return undefined;
    if (status === 404) return noRoute;
    return status === 200 ? this.#system.serviceThatRan(call.id) : undefined;
  }
}
