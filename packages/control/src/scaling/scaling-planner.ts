/** Plans the number of runners of each pool in each zone, without I/O (docs/design.md §14.4). */
import { constants } from "@chutewick/parts";
import { PoolScaler, type ScalingOrder } from "./pool-scaler.js";
import type { ScalingFacts } from "./scaling-facts.js";

/** Plans all pools whose runners may be ordered. */
export class ScalingPlanner {
  readonly #scalers = new Map<string, PoolScaler>();
  /** The highest number of access nodes that were reporting at once. */
  #maxAccessNodes = 0;

  /** Orders that differ from the currently ordered counts; each is repeated until it is in force. */
  orders({ pools, accessNodes }: ScalingFacts, now: number): ScalingOrder[] {
    this.#maxAccessNodes = Math.max(this.#maxAccessNodes, accessNodes);
    const isWorkKnown =
      accessNodes > 0 && accessNodes >= this.#maxAccessNodes * constants.minReportingNodesFraction;
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

  /** How often the ordered count of a pool changed its direction. */
  directionChangesOf(pool: string): number {
    return this.#scalers.get(pool)?.directionChanges ?? 0;
  }
}
