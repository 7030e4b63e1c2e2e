/** Ways of ordering runners that were weighed against the product's (docs/decisions.md). */
import type { PoolLoad, ScalingOrder } from "@chutewick/control";
import type { Way } from "./scaling-fleet.js";

const FILL = 0.6;
/** ms */
const SAMPLED_EVERY = 500;
const PERIODS = 8;
/** runners more while work fills nearly all seats, and fewer while it leaves many free. */
const QUEUE_STEP = 3;
const FULL = 0.9;
const FREE = 0.5;

/** As many as there are. */
export function fixed(): readonly ScalingOrder[] {
  return [];
}

/** Work under way over a target part of the seats, both ways at once. */
export function plainTarget(load: PoolLoad): readonly ScalingOrder[] {
  return spread(load, (load.live + load.items) / (load.seats * FILL));
}

/** More while seats are full, so that work waits; fewer while half of them are free. */
export function queueBased(load: PoolLoad): readonly ScalingOrder[] {
  const runners = countOf(load);
  const fill = (load.live + load.items) / Math.max(1, servingOf(load) * load.seats);
  if (fill > FULL) return spread(load, runners + QUEUE_STEP);
  return fill < FREE ? spread(load, runners - 1) : [];
}

/** The line through the last periods, drawn on over the boot time. */
export function forecast(): Way {
  const samples: number[] = [];
  function way(load: PoolLoad): readonly ScalingOrder[] {
    samples.push(load.live + load.items);
    if (samples.length > PERIODS) samples.shift();
    const half = Math.floor(samples.length / 2);
    const [earlier, later] = [mean(samples.slice(0, half)), mean(samples.slice(half))];
    const slope = half === 0 ? 0 : (later - earlier) / (half * SAMPLED_EVERY);
    const expected = later + slope * (load.bounds.boot + (half * SAMPLED_EVERY) / 2);
    return spread(load, expected / (load.seats * FILL));
  }
  return way;
}

function mean(values: readonly number[]): number {
  let sum = 0;
  for (const value of values) sum += value;
  return values.length === 0 ? 0 : sum / values.length;
}

function countOf({ zones }: PoolLoad): number {
  let count = 0;
  for (const { ordered, runners } of zones) count += ordered ?? runners;
  return count;
}

function servingOf({ zones }: PoolLoad): number {
  let count = 0;
  for (const { runners } of zones) count += runners;
  return count;
}

/** So many runners in all, alike in each zone. */
function spread({ pool, bounds, zones }: PoolLoad, runners: number): ScalingOrder[] {
  const each = Math.ceil(runners / zones.length);
  const desired = Math.min(bounds.maximum, Math.max(bounds.minimum, each));
  return zones
    .filter(({ ordered, runners: heard }) => desired !== (ordered ?? heard))
    .map(({ zone }) => ({ pool, zone, desired }));
}
