import type { ControlOutcome } from "@chutewick/control";
import type { ControlMachine } from "../machines.js";
import { configurationOf, orderIn } from "./configuration.js";
import type { OrderRecord, Sending } from "./history.js";
import type { Site } from "./site.js";

export interface OperatorOptions {
  /** Part of the answers that never reach the operator. */
  readonly answersLost: number;
  /** Sendings of one order at most. */
  readonly sendingsMost: number;
  /** ms that an operator waits for an answer before sending the order to another machine. */
  readonly patience: readonly [least: number, most: number];
  /** ms between two orders, and between two reads, of each background client. */
  readonly pause: readonly [least: number, most: number];
}

const usual: OperatorOptions = {
  answersLost: 0.1,
  sendingsMost: 12,
  patience: [800, 2_500],
  pause: [200, 900],
};

/** What one operator was told at last: `undefined` where no answer came at any sending. */
export type OrderEnd = "confirmed" | "conflict" | "refused" | undefined;

/** Operators that send orders, repeat them after lost answers, and read, at every control machine. */
export class Operators {
  readonly #site: Site;
  readonly #options: OperatorOptions;
  #orderNumber = 0;
  /** Called as a control machine tells that an order is in force. */
  confirmed: ((machine: ControlMachine) => void) | undefined;
  stopped = false;
  /** Orders that are under way. */
  open = 0;

  constructor(site: Site, options: Partial<OperatorOptions> = {}) {
    this.#site = site;
    this.#options = { ...usual, ...options };
  }

  /** Reads the configuration at one machine; undefined: no answer, or none that tells it. */
  read(at: ControlMachine, told: (mark: number | undefined) => void): void {
    const { history, refusing } = this.#site;
    const site = this.#site;
    const askedAt = site.now;
    if (refusing.has(at.address)) return told(undefined);
    function answered(outcome: ControlOutcome | undefined): void {
      const value = outcome?.kind === "confirmed" ? outcome.value : undefined;
      if (value?.kind !== "CONFIGURATION") {
        history.count("read unanswered");
        return told(undefined);
      }
      history.count("read answered");
      const { mark } = value;
      history.reads.push({ askedAt, at: site.now, mark, id: orderIn(value.value) });
      told(mark);
    }
    at.inquire({ kind: "read" }, answered);
  }

  newOrder(base: number, number: number): OrderRecord {
    this.#orderNumber += 1;
    const id = `order-${this.#orderNumber}`;
    const order = { id, base, number, askedAt: this.#site.now, sendings: [] };
    this.#site.history.orders.push(order);
    return order;
  }

  /** Sends an order until an answer comes back or its sendings are used up. */
  submit(order: OrderRecord, ended: (end: OrderEnd) => void): void {
    this.open += 1;
    this.#attempt(order, (end) => {
      this.open -= 1;
      ended(end);
    });
  }

  #attempt(order: OrderRecord, ended: (end: OrderEnd) => void): void {
    const { chance, deployment, history } = this.#site;
    let over = false;
    const machine = this.#otherMachine(order);
    const again = (): void => {
      if (over) return;
      over = true;
      if (order.sendings.length < this.#options.sendingsMost) return this.#attempt(order, ended);
      history.count("order given up");
      ended(undefined);
    };
    const heard = ({ answer }: Sending): void => {
      if (over || chance.happens(this.#options.answersLost)) return;
      if (answer === "unknown" || answer === "not-run") {
        deployment.world.after(chance.between(20, 200), again);
        return;
      }
      over = true;
      history.count(`order ${answer}`);
      ended(answer);
    };
    deployment.world.after(chance.between(...this.#options.patience), again);
    this.#send(order, machine, heard);
  }

  #send(order: OrderRecord, machine: ControlMachine, heard: (sending: Sending) => void): void {
    const site = this.#site;
    const sending: Sending = { machine: machine.name, askedAt: site.now };
    order.sendings.push(sending);
    if (site.refusing.has(machine.address)) {
      sending.answer = "not-run";
      sending.answeredAt = site.now;
      return;
    }
    const told = (outcome: ControlOutcome | undefined): void => {
      sending.answer = answerOf(outcome);
      sending.answeredAt = site.now;
      if (outcome?.kind === "confirmed" && "mark" in outcome.value)
        sending.mark = outcome.value.mark;
      if (sending.answer === "confirmed") this.confirmed?.(machine);
      heard(sending);
    };
    const { id, base, number } = order;
    const value = configurationOf(id);
    machine.inquire({ kind: "put", expected: base, mark: number, value, origin: id }, told);
  }

  #anyMachine(): ControlMachine {
    return this.#site.chance.pick(this.#site.controls);
  }

  /** One that the order was sent to least often. */
  #otherMachine(order: OrderRecord): ControlMachine {
    const { controls, chance } = this.#site;
    const sent = (machine: ControlMachine): number =>
      order.sendings.filter((sending) => sending.machine === machine.name).length;
    const least = Math.min(...controls.map(sent));
    return chance.pick(controls.filter((machine) => sent(machine) === least));
  }

  /** Reads at any machine and orders the next number, again and again. */
  keepOrdering(): void {
    const { chance, deployment } = this.#site;
    const again = (): void => {
      deployment.world.after(chance.between(...this.#options.pause), order);
    };
    const order = (): void => {
      if (this.stopped) return;
      this.read(this.#anyMachine(), (mark) => {
        if (mark === undefined || this.stopped) return again();
        this.submit(this.newOrder(mark, mark + 1 + chance.below(3)), again);
      });
    };
    order();
  }

  keepReading(): void {
    const { chance, deployment } = this.#site;
    const read = (): void => {
      if (this.stopped) return;
      this.read(this.#anyMachine(), () => undefined);
      deployment.world.after(chance.between(...this.#options.pause), read);
    };
    read();
  }
}

function answerOf(outcome: ControlOutcome | undefined): NonNullable<Sending["answer"]> {
  if (outcome === undefined || outcome.kind === "unknown") return "unknown";
  if (outcome.kind === "not-run") return "not-run";
  if (outcome.value.kind === "IN_FORCE") return "confirmed";
  return outcome.value.kind === "CONFLICT" ? "conflict" : "refused";
}
