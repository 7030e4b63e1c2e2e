import { ok } from "node:assert/strict";
import type { ControlCommand, ControlOutcome } from "@chutewick/control";
import { configurationOf, type ControlMachine, type Deployment } from "@chutewick/simulator";

/** Operators who race for versions with most answers lost, and the history of what they saw. */

/** One order of an operator: the same command, sent until a clear answer is heard. */
export interface RacingOrder {
  readonly key: string;
  readonly base: number;
  readonly version: number;
  readonly command: ControlCommand;
  /** Kinds of the clear answers, also of those that were lost on their way. */
  readonly answers: Set<string>;
}

/** A read: when it was asked, and the version that it told. */
interface Reading {
  readonly askedAt: number;
  readonly version: number;
}

/** ms. An operator sends an order again when nothing was heard for this long. */
const SENT_AGAIN_AFTER = 1_000;
/** ms. After an unclear answer. */
const PAUSE = 100;

export class OrderRace {
  readonly orders: RacingOrder[] = [];
  /** When the first acknowledgement of a version was heard; lost ones do not count. */
  readonly acknowledgedAt = new Map<number, number>();
  readonly readings: Reading[] = [];
  readonly #deployment: Deployment;
  readonly #lost: number;
  readonly #until: number;
  #number = 0;

  constructor(deployment: Deployment, lost: number, lasts: number) {
    this.#deployment = deployment;
    this.#lost = lost;
    this.#until = deployment.world.now + lasts;
  }

  get #now(): number {
    return this.#deployment.world.now;
  }

  start(operators: number): void {
    for (let operator = 1; operator <= operators; operator += 1) this.#read();
  }

  /** Asks any machine; the answer may be lost, and then the asking is repeated. */
  #ask(command: ControlCommand, heard: (outcome: ControlOutcome | undefined) => void): void {
    const { world, controls } = this.#deployment;
    const self = this;
    let open = true;
    function once(outcome: ControlOutcome | undefined): void {
      if (!open) return;
      open = false;
      heard(outcome);
    }
    function told(outcome: ControlOutcome | undefined): void {
      if (outcome !== undefined) self.#note(command, outcome);
      if (world.chance.happens(self.#lost)) return;
      once(outcome);
    }
    function silent(): void {
      once(undefined);
    }
    world.after(SENT_AGAIN_AFTER, silent);
    world.chance.pick<ControlMachine>(controls).inquire(command, told);
  }

  #note(command: ControlCommand, outcome: ControlOutcome): void {
    if (outcome.kind !== "confirmed" || command.kind !== "put") return;
    for (const order of this.orders)
      if (order.key === command.word) order.answers.add(outcome.value.kind);
  }

  #read(): void {
    if (this.#now > this.#until) return;
    const askedAt = this.#now;
    const self = this;
    function heard(outcome: ControlOutcome | undefined): void {
      if (outcome?.kind !== "confirmed" || outcome.value.kind !== "CONFIGURATION")
        return self.#deployment.world.after(PAUSE, again);
      self.readings.push({ askedAt, version: outcome.value.mark });
      self.#order(outcome.value.mark);
    }
    function again(): void {
      self.#read();
    }
    this.#ask({ kind: "read" }, heard);
  }

  /** All who saw the same base pick the same number. */
  #order(base: number): void {
    this.#number += 1;
    const key = `order ${this.#number}`;
    const version = base + 3;
    const command: ControlCommand = {
      kind: "put",
      expected: base,
      mark: version,
      value: configurationOf(1),
      origin: key,
      word: key,
    };
    const order = { key, base, version, command, answers: new Set<string>() };
    this.orders.push(order);
    this.#send(order);
  }

  #send(order: RacingOrder): void {
    const { world } = this.#deployment;
    const self = this;
    function heard(outcome: ControlOutcome | undefined): void {
      if (outcome?.kind !== "confirmed") return world.after(PAUSE, again);
      if (outcome.value.kind === "IN_FORCE" && !self.acknowledgedAt.has(order.version))
        self.acknowledgedAt.set(order.version, self.#now);
      self.#read();
    }
    function again(): void {
      self.#send(order);
    }
    this.#ask(order.command, heard);
  }

  /** Sends every order once more to some machine, now that all is calm. */
  sendAllAgain(): void {
    for (const order of this.orders) {
      const { told } = this.#deployment.order(order.command, this.#deployment.one(), 8_000);
      ok(told?.kind === "confirmed", `${order.key}: ${JSON.stringify(told)}`);
      order.answers.add(told.value.kind);
    }
  }

  /** Orders taken, by their versions. */
  get taken(): RacingOrder[] {
    const taken: RacingOrder[] = [];
    for (const order of this.orders) if (order.answers.has("IN_FORCE")) taken.push(order);
    return taken.sort(byVersion);
  }
}

function byVersion(left: RacingOrder, right: RacingOrder): number {
  return left.version - right.version;
}
