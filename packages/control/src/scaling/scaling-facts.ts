/** What the number of runners goes by, from sessions and the configuration (docs/design.md §14.4). */
import type { RunnerCard, Sessions } from "@chutewick/parts";
import type { Configuration } from "../configuration.js";

/** Bounds of a pool's runners, in each zone by itself. */
export interface ScalingBounds {
  readonly minimum: number;
  readonly maximum: number;
  /** ms from the order of a runner until it serves. */
  readonly boot: number;
}

/** Runners of a pool in one zone. */
export interface ZoneRunners {
  readonly zone: string;
  /** Those heard of. */
  readonly runners: number;
  /** What stands ordered there; undefined where nothing was ordered yet. */
  readonly ordered: number | undefined;
}

/** A pool whose runners are ordered. */
export interface PoolLoad {
  readonly pool: string;
  readonly bounds: ScalingBounds;
  /** Of one runner. */
  readonly seats: number;
  /** Under way at its runners: live requests, and items of lots. */
  readonly live: number;
  readonly items: number;
  readonly zones: readonly ZoneRunners[];
}

/** What a control machine knows at one moment. */
export interface ScalingFacts {
  readonly pools: readonly PoolLoad[];
  /** Access nodes heard lately: where some are missing, so is their work. */
  readonly accessNodes: number;
}

/** Where facts come from. */
export interface ScalingSource {
  readonly configuration: Configuration;
  readonly sessions: Sessions;
  /** What stands ordered of a pool in a zone, and all zones where something does. */
  readonly ordered: (pool: string) => ReadonlyMap<string, number>;
}

/** Facts as the sessions of one control machine tell them. */
export function scalingFactsOf(source: ScalingSource, now: number): ScalingFacts {
  const { configuration, sessions, ordered } = source;
  const access = sessions.live("access", now);
  const work = new Map<string, { live: number; items: number }>();
  for (const { telling } of access)
    for (const [runner, live, items] of telling.burdens ?? []) {
      const held = work.get(runner) ?? { live: 0, items: 0 };
      work.set(runner, { live: held.live + live, items: held.items + items });
    }
  const { runners } = sessions.registry(now);
  const pools: PoolLoad[] = [];
  for (const [pool, { scaling: bounds, seats }] of Object.entries(configuration.pools ?? {})) {
    if (bounds === undefined) continue;
    const own = runners.filter((card) => card.pool === pool);
    const zones = zonesOf(own, ordered(pool));
    pools.push({ pool, bounds, seats: seats ?? usualSeats(own), ...sumOf(own, work), zones });
  }
  return { pools, accessNodes: access.length };
}

function zonesOf(
  runners: readonly RunnerCard[],
  ordered: ReadonlyMap<string, number>,
): ZoneRunners[] {
  const counts = new Map<string, number>();
  for (const zone of ordered.keys()) counts.set(zone, 0);
  for (const { zone } of runners) counts.set(zone, (counts.get(zone) ?? 0) + 1);
  return [...counts].map(([zone, count]) => ({ zone, runners: count, ordered: ordered.get(zone) }));
}

function usualSeats(runners: readonly RunnerCard[]): number {
  let sum = 0;
  for (const { seats } of runners) sum += seats;
  return runners.length === 0 ? 1 : Math.max(1, sum / runners.length);
}

function sumOf(
  runners: readonly RunnerCard[],
  work: ReadonlyMap<string, { readonly live: number; readonly items: number }>,
): { live: number; items: number } {
  const sum = { live: 0, items: 0 };
  for (const { id } of runners) {
    sum.live += work.get(id)?.live ?? 0;
    sum.items += work.get(id)?.items ?? 0;
  }
  return sum;
}
