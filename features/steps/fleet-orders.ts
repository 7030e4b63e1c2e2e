import { ok } from "node:assert/strict";
import { When } from "@cucumber/cucumber";
import type { Answer, Fleet, KeyedOrder } from "@chutewick/fleet";
import { Chance } from "@chutewick/simulator";

/** ms that an operator waits for an answer. */
const ANSWER_PATIENCE = 4_000;
/** Sendings of one order, at most. */
const SENDINGS_MOST = 10;

interface World {
  fleet: Fleet;
}

/** Tells the orders of one race from those of another. */
let races = 0;

/** One operator of a race: reads, orders, and sends the order again until an answer comes through. */
class Operator {
  #fleet: Fleet;
  #name: string;
  #chance: Chance;
  #lost: number;

  constructor(fleet: Fleet, number: number, lost: number) {
    this.#fleet = fleet;
    this.#name = `race-${races}-operator-${number}`;
    this.#chance = new Chance(number);
    this.#lost = lost;
  }

  /** How many of its orders were acknowledged. */
  async run(orders: number): Promise<number> {
    let acknowledged = 0;
    for (let number = 1; number <= orders; number += 1) {
      const base = await this.#read();
      if (base === undefined) continue;
      const key = `${this.#name}-${number}`;
      const change = { ways: { check: { labels: { tried: key } } } };
      const told = await this.#send({ key, base, change });
      if (told?.status === 200) acknowledged += 1;
    }
    return acknowledged;
  }

  async #read(): Promise<number | undefined> {
    const at = this.#chance.below(3);
    try {
      const told = await this.#fleet.control("GET", "/configuration", undefined, undefined, at);
      return told.status === 200 ? (told.body["mark"] as number) : undefined;
    } catch {
      return undefined;
    }
  }

  async #send(order: KeyedOrder): Promise<Answer | undefined> {
    for (let sending = 1; sending <= SENDINGS_MOST; sending += 1) {
      const isLost = this.#chance.happens(this.#lost);
      try {
        const at = this.#chance.below(3);
        const told = await this.#fleet.order(order, at, ANSWER_PATIENCE, isLost);
        if (told.status < 500) return told;
      } catch {
        // The outcome isn't known: the same order is sent again.
      }
    }
    return undefined;
  }
}

async function operatorsRace(
  this: World,
  operators: number,
  orders: number,
  lost: number,
): Promise<void> {
  races += 1;
  const runs: Promise<number>[] = [];
  for (let number = 1; number <= operators; number += 1)
    runs.push(new Operator(this.fleet, number, lost / 10).run(orders));
  const acknowledged = (await Promise.all(runs)).reduce((sum, one) => sum + one, 0);
  ok(acknowledged >= orders, `${acknowledged} orders were acknowledged`);
}
When(
  "{int} operators race with {int} orders each and lose {int} of 10 answers",
  { timeout: 120_000 },
  operatorsRace,
);
