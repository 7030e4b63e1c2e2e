/** How many runners there are to be of each pool in each zone; without I/O (docs/design.md §14.4). */
import { constants } from "@chutewick/parts";
import { PoolScaler, type ScalingOrder } from "./pool-scaler.js";
import type { ScalingFacts } from "./scaling-facts.js";

/** Plans for all pools whose runners may be ordered. */
export class ScalingPlanner {
  readonly #scalers = new Map<string, PoolScaler>();
  /** The most access nodes that were heard at once. */
  #nodesMost = 0;

  /** Orders that differ from what stands ordered; the same come again until they stand. */
  orders({ pools, accessNodes }: ScalingFacts, now: number): ScalingOrder[] {
    this.#nodesMost = Math.max(this.#nodesMost, accessNodes);
    const isWorkKnown = accessNodes > 0 && accessNodes >= this.#nodesMost * constants.scalingHeard;
    const orders: ScalingOrder[] = [];
    for (const load of pools) {
      let scaler = this.#scalers.get(load.pool);
      if (scaler === undefined) {
        scaler = new PoolScaler(load.pool, now);
        this.#scalers.set(load.pool, scaler);
      }
      orders.push(...scaler.orders(load, isWorkKnown, now));
    }
    return orders;
  }

  /** How often orders of a pool changed from more to fewer or back. */
  turnsOf(pool: string): number {
    return this.#scalers.get(pool)?.turns ?? 0;
  }
}
