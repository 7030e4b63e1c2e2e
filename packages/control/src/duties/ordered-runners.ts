import type { ScalingOrder } from "../scaling/pool-scaler.js";
import type { DutyRecords } from "./duty-records.js";

/** The ordered number of runners by pool and zone: the last decision, whether the platform has accepted it yet or not. */
export function orderedRunners(
  records: DutyRecords,
): ReadonlyMap<string, ReadonlyMap<string, number>> {
  const ordered = new Map<string, Map<string, number>>();
  for (const [{ duty }, { newest }] of records.all()) {
    if (duty !== "scaling") continue;
    const { pool, zone, desired } = newest.body as ScalingOrder;
    const zones = ordered.get(pool) ?? new Map<string, number>();
    zones.set(zone, desired);
    ordered.set(pool, zones);
  }
  return ordered;
}
