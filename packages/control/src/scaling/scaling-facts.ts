/** The input of scaling decisions, from sessions and the configuration (docs/design.md §14.4). */
import type { RunnerDescriptor, Sessions } from "@chutewick/parts";
import type { Configuration } from "../configuration.js";

/** Bounds of the number of runners of a pool; they hold for each zone separately. */
export interface ScalingBounds {
  readonly minimum: number;
  readonly maximum: number;
  /** Time in ms from the order of a runner until it serves. */
  readonly boot: number;
}

/** Runners of a pool in one zone. */
export interface ZoneRunners {
  readonly zone: string;
  /** Runners that are reported. */
  readonly runners: number;
  /** The ordered number of runners; undefined if none was ordered yet. */
  readonly ordered: number | undefined;
}

/** The load of a pool whose runners are ordered from the platform. */
export interface PoolLoad {
  readonly pool: string;
  readonly bounds: ScalingBounds;
  /** Concurrency slots of one runner. */
  readonly seats: number;
  /** Interactive requests in progress on its runners. */
  readonly live: number;
  /** Items of lots in progress on its runners. */
  readonly items: number;
  readonly zones: readonly ZoneRunners[];
}

/** The input of one planning round. */
export interface ScalingFacts {
  readonly pools: readonly PoolLoad[];
  /** Access nodes with a recent heartbeat. The work of nodes that are missing is unknown. */
  readonly accessNodes: number;
}

/** The sources of the facts. */
export interface ScalingSource {
  readonly configuration: Configuration;
  readonly sessions: Sessions;
  /** The ordered number of runners of a pool by zone; only zones with an order are present. */
  readonly ordered: (pool: string) => ReadonlyMap<string, number>;
}

/** Collects the facts from the sessions of one control machine. */
export function scalingFactsOf(source: ScalingSource, now: number): ScalingFacts {
  const { configuration, sessions, ordered } = source;
  const access = sessions.live("access", now);
  const work = new Map<string, { live: number; items: number }>();
  for (const { telling } of access)
    for (const [runner, live, items] of telling.burdens ?? []) {
      const sum = work.get(runner) ?? { live: 0, items: 0 };
      work.set(runner, { live: sum.live + live, items: sum.items + items });
    }
  const { runners } = sessions.registry(now);
  const pools: PoolLoad[] = [];
  for (const [pool, { scaling: bounds, seats }] of Object.entries(configuration.pools ?? {})) {
    if (bounds === undefined) continue;
    const poolRunners = runners.filter((card) => card.pool === pool);
    const zones = zonesOf(poolRunners, ordered(pool));
    pools.push({
      pool,
      bounds,
      seats: seats ?? averageSlots(poolRunners),
      ...sumOf(poolRunners, work),
      zones,
    });
  }
  return { pools, accessNodes: access.length };
}

function zonesOf(
  runners: readonly RunnerDescriptor[],
  ordered: ReadonlyMap<string, number>,
): ZoneRunners[] {
  const counts = new Map<string, number>();
  for (const zone of ordered.keys()) counts.set(zone, 0);
  for (const { zone } of runners) counts.set(zone, (counts.get(zone) ?? 0) + 1);
  return [...counts].map(([zone, count]) => ({ zone, runners: count, ordered: ordered.get(zone) }));
}

function averageSlots(runners: readonly RunnerDescriptor[]): number {
  let sum = 0;
  for (const { seats } of runners) sum += seats;
  return runners.length === 0 ? 1 : Math.max(1, sum / runners.length);
}

function sumOf(
  runners: readonly RunnerDescriptor[],
  work: ReadonlyMap<string, { readonly live: number; readonly items: number }>,
): { live: number; items: number } {
  const sum = { live: 0, items: 0 };
  for (const { id } of runners) {
    sum.live += work.get(id)?.live ?? 0;
    sum.items += work.get(id)?.items ?? 0;
  }
  return sum;
}
