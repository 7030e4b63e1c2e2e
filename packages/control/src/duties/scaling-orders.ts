/** Decides which orders of scaling are due. */
import { constants, type DutyBounds } from "@chutewick/parts";
import type { ScalingOrder } from "../scaling/pool-scaler.js";
import type { DueAct } from "./duty-acts.js";
import type { DutyRecords, DutySubject } from "./duty-records.js";
import type { DutySource } from "./usage-reports.js";

/** The desired number of runners for each pool and zone. */
export interface ScalingDemand {
  desired(now: number): Iterable<ScalingOrder>;
}

/** Orders of scaling: one is due for each subject whose desired count differs from the last decided one. */
export class ScalingOrders implements DutySource {
  readonly #bounds: DutyBounds;
  readonly #demand: ScalingDemand;
  /** Since when the desired count of each subject differs from the decided one, in monotonic ms. */
  #differsSince = new Map<string, number>();

  constructor(bounds: DutyBounds, demand: ScalingDemand) {
    this.#bounds = bounds;
    this.#demand = demand;
  }

  due(now: number, records: DutyRecords): readonly DueAct[] {
    const acts: DueAct[] = [];
    const since = new Map<string, number>();
    for (const order of this.#demand.desired(now)) {
      const subject = subjectOf(order);
      const newest = records.record(subject)?.newest;
      if (newest !== undefined && isSame(order, newest.body)) continue;
      const differsSince = this.#differsSince.get(subject.subject) ?? now;
      since.set(subject.subject, differsSince);
      const takeoverAt = differsSince + this.#bounds.lease * constants.scalingTakeoverLeases;
      acts.push({ ...subject, number: (newest?.number ?? 0) + 1, body: order, takeoverAt });
    }
    this.#differsSince = since;
    return acts;
  }
}

function subjectOf({ pool, zone }: ScalingOrder): DutySubject {
  return { duty: "scaling", subject: `${pool}/${zone}` };
}

function isSame(order: ScalingOrder, decided: unknown): boolean {
  return (decided as ScalingOrder).desired === order.desired;
}
