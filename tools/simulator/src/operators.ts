import type { ControlCommand, ControlOutcome } from "@chutewick/control";
import type { Campaign } from "./campaign.js";
import type { ChangeRecord } from "./checker.js";
import { Chance } from "./world.js";

/** Operators who race each other with orders that are sent again after a lost answer. */
export interface RacingOptions {
  /** Orders under way at once. */
  readonly operators: number;
  /** Share of the answers that never reach their operator. */
  readonly lostAnswers: number;
}

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

/** What an operator learnt of an order. */
export function toldOf(outcome: ControlOutcome | undefined): Pick<ChangeRecord, "told" | "mark"> {
  if (outcome === undefined || outcome.kind === "unknown") return { told: "unknown" };
  if (outcome.kind === "not-run") return { told: "not-run" };
  switch (outcome.value.kind) {
    case "IN_FORCE":
      return { told: "confirmed", mark: outcome.value.mark };
    case "CONFLICT":
      return { told: "conflict", mark: outcome.value.mark };
    default:
      return { told: "refused" };
  }
}

/** Operators who read the configuration, and order the next one, whole with a version of their own or as a patch, all at once. */
export class RacingOperators {
  #campaign: Campaign;
  #options: RacingOptions;
  #quietAt: number;
  #chance: Chance;
  #orders = 0;

  constructor(campaign: Campaign, options: RacingOptions, quietAt: number) {
    this.#campaign = campaign;
    this.#options = options;
    this.#quietAt = quietAt;
    this.#chance = new Chance(campaign.options.seed + SEED_OFFSET);
  }

  begin(): void {
    for (let number = 1; number <= this.#options.operators; number += 1)
      this.#rest(`operator-${number}`);
  }

  #rest(operator: string): void {
    const { world } = this.#campaign;
    const begin = (): void => this.#read(operator);
    if (world.now < this.#quietAt) world.after(this.#chance.between(0, REST_MOST), begin);
  }

  /** The version in force is the base of the order, so that operators who read at once race. */
  #read(operator: string): void {
    const { world, sight } = this.#campaign;
    const askedAt = world.now;
    this.#ask({ kind: "read" }, (outcome) => {
      if (outcome?.kind !== "confirmed" || outcome.value.kind !== "CONFIGURATION")
        return this.#rest(operator);
      const { mark, value } = outcome.value;
      const id = value.ways["slips"]?.labels["change"];
      sight.reads.push({ askedAt, at: world.now, mark, id });
      this.#send(operator, this.#newOrder(operator, mark));
    });
  }

  #newOrder(operator: string, base: number): RacingOrder {
    this.#orders += 1;
    const id = `${operator}-order-${this.#orders}`;
    const version = base + 1 + this.#chance.below(STEP_MOST);
    if (this.#chance.happens(0.5)) {
      const change = { ways: { slips: { labels: { change: id } } } };
      const command = { kind: "patch" as const, expected: base, change, word: id };
      return { id, base, version: undefined, command, sendings: 0 };
    }
    const value = this.#campaign.configurationWith(id);
    const command = { kind: "put" as const, expected: base, mark: version, value, word: id };
    return { id, base, version, command, sendings: 0 };
  }

  #send(operator: string, order: RacingOrder): void {
    const { world, sight } = this.#campaign;
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
    const { world, controls } = this.#campaign;
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
