import type { ControlCommand, ControlOutcome } from "@chutewick/control";
import type { ChangeRecord } from "../checker.js";
import type { ControlMachine } from "../machines.js";
import { campaignConfiguration } from "./configuration.js";
import type { Fleet } from "./fleet.js";
import { orderIdOf, toldOf } from "./order-outcome.js";

/** ms. When the first configuration is entered, and the pause before it is tried again. */
const FIRST_ORDER_AT = 1_500;
const FIRST_ORDER_PAUSE = 300;
/** Share of changes that two operators race for, and of orders that are malformed. */
const RACED_SHARE = 0.3;
const MALFORMED_SHARE = 0.15;
const RACING_OPERATORS = 2;

/** How a change is ordered; what is left out is drawn at random. */
export interface ChangeOptions {
  /** The control machine that is read, and that the first of several operators orders at. */
  readonly from?: ControlMachine;
  /** Operators that order on the same base. */
  readonly operators?: number;
  /** Whether the orders are malformed. */
  readonly isMalformed?: boolean;
  /** Called once the base was read, before the orders are sent. */
  readonly beforeOrders?: () => void;
}

/** Operators that read the configuration and order the next one. */
export class Operators {
  readonly #fleet: Fleet;
  #changeNumber = 0;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  /** Enters the first configuration, again and again until it is in force. */
  enterFirst(): void {
    this.#fleet.world.at(FIRST_ORDER_AT, () => this.#orderFirst());
  }

  /** Reads the configuration, and lets one or more operators order the next one on what was read. */
  change(options: ChangeOptions = {}): void {
    const { world, controls } = this.#fleet;
    const { chance } = world;
    const from = options.from ?? chance.pick(controls);
    const operators = options.operators ?? (chance.happens(RACED_SHARE) ? RACING_OPERATORS : 1);
    from.inquire({ kind: "read" }, (outcome) => {
      if (outcome?.kind !== "confirmed" || outcome.value.kind !== "CONFIGURATION") return;
      const { mark } = outcome.value;
      options.beforeOrders?.();
      for (let number = 0; number < operators; number += 1) {
        const record = this.#newRecord(mark, operators, options.isMalformed);
        this.#order(record, (): ControlMachine => {
          const isAnywhere = operators === 1 && options.isMalformed === undefined;
          return isAnywhere || number > 0 ? chance.pick(controls) : from;
        });
      }
    });
  }

  /** Reads the configuration at any control machine, for the checker. */
  read(): void {
    const { world, sight, controls } = this.#fleet;
    const askedAt = world.now;
    world.chance.pick(controls).inquire({ kind: "read" }, (outcome) => {
      if (outcome?.kind !== "confirmed" || outcome.value.kind !== "CONFIGURATION") return;
      const { mark, value } = outcome.value;
      sight.reads.push({ askedAt, at: world.now, mark, id: orderIdOf(value) });
    });
  }

  #orderFirst(): void {
    const { world, sight, controls, options } = this.#fleet;
    const record: ChangeRecord = {
      id: `first-${sight.founding.length}`,
      kind: "good",
      value: "first",
      askedAt: world.now,
      expected: 0,
    };
    sight.founding.push(record);
    const value = campaignConfiguration(options, world.chance, "first");
    controls[0]!.inquire({ kind: "put", expected: 0, value }, (outcome) => {
      record.endedAt = world.now;
      Object.assign(record, toldOf(outcome));
      if (record.told !== "confirmed") world.after(FIRST_ORDER_PAUSE, () => this.#orderFirst());
    });
  }

  #newRecord(base: number, operators: number, isMalformed?: boolean): ChangeRecord {
    const { world, sight } = this.#fleet;
    this.#changeNumber += 1;
    /** The first changes after the last fault are good ones, or chance could leave none to judge the service by. */
    const mayBeMalformed = (): boolean =>
      world.chance.happens(MALFORMED_SHARE) &&
      (sight.healedAt === 0 || sight.serviceAt.change !== undefined);
    const malformed = isMalformed ?? mayBeMalformed();
    const record: ChangeRecord = {
      id: `change-${this.#changeNumber}`,
      kind: malformed ? "malformed" : operators > 1 ? "racing" : "good",
      askedAt: world.now,
      expected: base,
    };
    sight.changes.push(record);
    return record;
  }

  #order(record: ChangeRecord, pickMachine: () => ControlMachine): void {
    const { world, options } = this.#fleet;
    const { id, expected } = record;
    const isMalformed = record.kind === "malformed";
    const configuration = campaignConfiguration(options, world.chance, id);
    const value = isMalformed ? { ...configuration, nonsense: true } : configuration;
    const machine = pickMachine();
    const patch = isMalformed ? value : { ways: { slips: { labels: { change: id } } } };
    const command: ControlCommand = world.chance.happens(0.5)
      ? { kind: "put", expected, value }
      : { kind: "patch", expected, change: patch };
    machine.inquire(command, (outcome) => this.#ended(record, outcome));
  }

  #ended(record: ChangeRecord, outcome: ControlOutcome | undefined): void {
    const { world, sight } = this.#fleet;
    record.endedAt = world.now;
    Object.assign(record, toldOf(outcome));
    if (record.told === "confirmed" && record.askedAt > sight.healedAt && sight.healedAt > 0)
      sight.serviceAt.change ??= world.now;
  }
}
