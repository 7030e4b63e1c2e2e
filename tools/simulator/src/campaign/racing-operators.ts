import type { ControlCommand, ControlOutcome } from "@chutewick/control";
import type { ChangeRecord } from "../checker.js";
import { Chance } from "../world.js";
import { campaignConfiguration } from "./configuration.js";
import type { Fleet } from "./fleet.js";
import type { RacingOptions } from "./options.js";
import { orderIdOf, toldOf } from "./order-outcome.js";

/** ms that an operator waits for an answer before it sends its order again. */
const ANSWER_PATIENCE = 1_500;
/** ms between two sendings of one order. */
const PAUSE_MOST = 200;
/** Sendings of one order before its operator gives up. */
const SENDINGS_MOST = 6;
/** ms between the end of one order and the next of the same operator. */
const REST_MOST = 800;
/** Versions that an order may be above its base. */
const STEP_MOST = 5;
/** Tells the moments of the racing operators from those of the campaign with the same seed. */
const SEED_OFFSET = 7_000_003;

/** One order, the same at each sending. */
interface RacingOrder {
  readonly id: string;
  readonly base: number;
  /** The version it is to become; undefined: the next. */
  readonly version: number | undefined;
  readonly command: ControlCommand;
  sendings: number;
}

/** Operators who read the configuration, and order the next one, whole with a version of their own or as a patch, all at once. */
export class RacingOperators {
  #fleet: Fleet;
  #options: RacingOptions;
  #quietAt: number;
  #chance: Chance;
  #orders = 0;

  constructor(fleet: Fleet, options: RacingOptions, quietAt: number) {
    this.#fleet = fleet;
    this.#options = options;
    this.#quietAt = quietAt;
    this.#chance = new Chance(fleet.options.seed + SEED_OFFSET);
  }

  /** Each operator begins after a rest of its own. */
  begin(): void {
    for (let number = 1; number <= this.#options.operators; number += 1)
      this.#rest(`operator-${number}`);
  }

  #rest(operator: string): void {
    const { world } = this.#fleet;
    const begin = (): void => this.#read(operator);
    if (world.now < this.#quietAt) world.after(this.#chance.between(0, REST_MOST), begin);
  }

  /** The version in force is the base of the order, so that operators who read at once race. */
  #read(operator: string): void {
    const { world, sight } = this.#fleet;
    const askedAt = world.now;
    this.#ask({ kind: "read" }, (outcome) => {
      if (outcome?.kind !== "confirmed" || outcome.value.kind !== "CONFIGURATION")
        return this.#rest(operator);
      const { mark, value } = outcome.value;
      const id = orderIdOf(value);
      sight.reads.push({ askedAt, at: world.now, mark, id });
      this.#send(operator, this.#newOrder(operator, mark));
    });
  }

  #newOrder(operator: string, base: number): RacingOrder {
    const { options, world } = this.#fleet;
    this.#orders += 1;
    const id = `${operator}-order-${this.#orders}`;
    const version = base + 1 + this.#chance.below(STEP_MOST);
    if (this.#chance.happens(0.5)) {
      const change = { ways: { slips: { labels: { change: id } } } };
      const command = { kind: "patch" as const, expected: base, change, word: id };
      return { id, base, version: undefined, command, sendings: 0 };
    }
    const value = campaignConfiguration(options, world.chance, id);
    const command = { kind: "put" as const, expected: base, mark: version, value, word: id };
    return { id, base, version, command, sendings: 0 };
  }

  #send(operator: string, order: RacingOrder): void {
    const { world, sight } = this.#fleet;
    order.sendings += 1;
    const record: ChangeRecord = {
      id: `${order.id}/${order.sendings}`,
      kind: "racing",
      order: order.id,
      value: order.id,
      version: order.version,
      expected: order.base,
      askedAt: world.now,
    };
    sight.changes.push(record);
    this.#ask(order.command, (outcome) => {
      record.endedAt = world.now;
      Object.assign(record, toldOf(outcome));
      if (record.told === "confirmed" && sight.healedAt > 0 && record.askedAt > sight.healedAt)
        sight.serviceAt.change ??= world.now;
      const isOver = record.told !== "unknown" && record.told !== "not-run";
      if (isOver || order.sendings >= SENDINGS_MOST) this.#rest(operator);
      else world.after(this.#chance.between(0, PAUSE_MOST), () => this.#send(operator, order));
    });
  }

  /** Told once: what any one control machine answered, or undefined where that was lost or came too late. */
  #ask(command: ControlCommand, told: (outcome: ControlOutcome | undefined) => void): void {
    const { world, controls } = this.#fleet;
    const isLost = command.kind !== "read" && this.#chance.happens(this.#options.lostAnswers);
    let isTold = false;
    const tell = (outcome: ControlOutcome | undefined): void => {
      if (isTold) return;
      isTold = true;
      told(outcome);
    };
    const answered = (outcome: ControlOutcome | undefined): void => {
      if (!isLost) tell(outcome);
    };
    this.#chance.pick(controls).inquire(command, answered);
    world.after(ANSWER_PATIENCE, () => tell(undefined));
  }
}
