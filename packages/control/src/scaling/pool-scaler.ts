/** The control loop of the number of runners of one pool, without I/O (docs/design.md §14.4). */
import { constants } from "@chutewick/parts";
import { Demand } from "./demand.js";
import type { PoolLoad, ScalingBounds } from "./scaling-facts.js";
import { ZoneState } from "./zone-standing.js";

/** The desired number of runners of a pool in a zone. */
export interface ScalingOrder {
  readonly pool: string;
  readonly zone: string;
  readonly desired: number;
}

/** The number of runners needed at one moment. */
interface NeedSample {
  readonly needed: number;
  readonly at: number;
}

/**
 * Orders more runners at once when the work needs them. Orders fewer one at a time, and only after fewer have been enough for a
 * long time. Each order is computed from the currently ordered count, so an order that was not carried out is repeated.
 */
export class PoolScaler {
  readonly #pool: string;
  readonly #zones = new Map<string, ZoneState>();
  readonly #demand = new Demand();
  readonly #startedAt: number;
  /** Recent samples that no later sample reaches, the greatest first (a sliding-window maximum). */
  #needs: NeedSample[] = [];
  /** The ordered count of all zones when last observed. */
  #total: number | undefined;
  #changedAt = Number.NEGATIVE_INFINITY;
  #isRising: boolean | undefined;
  #turns = 0;
  /** The last time in monotonic ms at which some work was unknown: samples up to then may be too low. */
  #unknownAt = Number.NEGATIVE_INFINITY;

  constructor(pool: string, now: number) {
    this.#pool = pool;
    this.#startedAt = now;
  }

  /** How often the ordered count changed its direction. */
  get directionChanges(): number {
    return this.#turns;
  }

  /** @param isWorkKnown whether all nodes that have work in progress are reporting */
  orders(load: PoolLoad, isWorkKnown: boolean, now: number): ScalingOrder[] {
    this.#observe(load, now);
    if (!isWorkKnown) this.#unknownAt = now;
    const { bounds } = load;
    const lost = this.#lost(bounds.boot, now);
    const needed = this.#demand.runners(load.seats, now) + lost;
    this.#recordNeed(needed, bounds, now);
    if (now - this.#startedAt < constants.scalingStartDelayMs) return [];
    const desired = this.#withinBounds(bounds);
    const total = sumOf(desired);
    if (needed > total * (1 + constants.scaleUpHysteresisFraction))
      this.#raise(desired, needed - total, bounds, now);
    else if (isWorkKnown && this.#isLowLong(total, bounds, now)) this.#lower(desired, bounds);
    return this.#changed(desired);
  }

  #observe(load: PoolLoad, now: number): void {
    this.#demand.observe(load, now);
    for (const zone of load.zones) {
      let state = this.#zones.get(zone.zone);
      if (state === undefined) {
        state = new ZoneState();
        this.#zones.set(zone.zone, state);
      }
      state.observe(zone, now);
    }
    // Zones that nothing is reported of any more.
    for (const [zone, state] of this.#zones)
      if (load.zones.every((each) => each.zone !== zone))
        state.observe({ zone, runners: 0, ordered: undefined }, now);
    if (load.zones.some(({ ordered }) => ordered !== undefined)) this.#recordChange(now);
  }

  /** Counts changes of direction of the ordered count. */
  #recordChange(now: number): void {
    let total = 0;
    for (const { ordered } of this.#zones.values()) total += ordered;
    const before = this.#total;
    this.#total = total;
    if (before === undefined || before === total) return;
    this.#changedAt = now;
    const isRising = total > before;
    if (this.#isRising !== undefined && this.#isRising !== isRising) this.#turns += 1;
    this.#isRising = isRising;
  }

  #lost(boot: number, now: number): number {
    let lost = 0;
    for (const zone of this.#zones.values()) lost += zone.lost(boot, now);
    return lost;
  }

  #recordNeed(needed: number, bounds: ScalingBounds, now: number): void {
    const since = now - lowerAfterMs(bounds);
    this.#needs = this.#needs.filter((sample) => sample.at >= since && sample.needed > needed);
    this.#needs.push({ needed, at: now });
  }

  #withinBounds({ minimum, maximum }: ScalingBounds): Map<string, number> {
    const desired = new Map<string, number>();
    for (const [zone, { ordered }] of this.#zones)
      desired.set(zone, Math.min(maximum, Math.max(minimum, ordered)));
    return desired;
  }

  /** Adds runners in intact zones up to the maximum, and the rest in zones that have lost many. */
  #raise(desired: Map<string, number>, more: number, bounds: ScalingBounds, now: number): void {
    const intact = [...this.#zones].filter(([, zone]) => !zone.isBroken(bounds.boot, now));
    let left = this.#add(desired, intact, more, bounds.maximum);
    if (left > 0) left = this.#add(desired, [...this.#zones], left, bounds.maximum);
  }

  /** @returns the number of runners that could not be added */
  #add(
    desired: Map<string, number>,
    zones: readonly (readonly [string, ZoneState])[],
    more: number,
    maximum: number,
  ): number {
    for (let left = more; left > 0; left -= 1) {
      const open = zones.filter(([zone]) => desired.get(zone)! < maximum);
      const least = bestOf(open, (zone, share) => -desired.get(zone)! / share);
      if (least === undefined) return left;
      desired.set(least, desired.get(least)! + 1);
    }
    return 0;
  }

  #lower(desired: Map<string, number>, { minimum }: ScalingBounds): void {
    const open = [...this.#zones].filter(([zone]) => desired.get(zone)! > minimum);
    const most = bestOf(open, (zone, share) => desired.get(zone)! / share);
    if (most !== undefined) desired.set(most, desired.get(most)! - 1);
  }

  /** Whether fewer runners have been enough for a long time, and the last change is not recent. */
  #isLowLong(total: number, bounds: ScalingBounds, now: number): boolean {
    const slack = Math.max(1, Math.ceil(total * constants.scaleDownHysteresisFraction));
    const highest = this.#needs[0]?.needed ?? total;
    return (
      highest <= total - slack &&
      now - this.#startedAt >= lowerAfterMs(bounds) &&
      now - this.#unknownAt >= lowerAfterMs(bounds) &&
      now - this.#changedAt >= Math.max(bounds.boot, constants.scaleDownIntervalMs)
    );
  }

  /** Orders for the zones whose desired count differs from the ordered one. */
  #changed(desired: ReadonlyMap<string, number>): ScalingOrder[] {
    const orders: ScalingOrder[] = [];
    for (const [zone, { ordered }] of this.#zones) {
      const wanted = desired.get(zone)!;
      if (wanted !== ordered) orders.push({ pool: this.#pool, zone, desired: wanted });
    }
    return orders;
  }
}

/** How long, in ms, fewer runners must have been enough before fewer are ordered. */
function lowerAfterMs({ boot }: ScalingBounds): number {
  return Math.max(constants.scaleDownDelayMs, constants.scaleDownDelayBoots * boot);
}

function sumOf(desired: ReadonlyMap<string, number>): number {
  let sum = 0;
  for (const count of desired.values()) sum += count;
  return sum;
}

/** The zone with the highest score. Ties are broken by name, so that all control machines choose the same zone. */
function bestOf(
  zones: readonly (readonly [string, ZoneState])[],
  score: (zone: string, share: number) => number,
): string | undefined {
  let best: { zone: string; score: number } | undefined;
  for (const [zone, { share }] of zones) {
    const scored = score(zone, Math.max(1, share));
    const isBetter =
      best === undefined || scored > best.score || (scored === best.score && zone < best.zone);
    if (isBetter) best = { zone, score: scored };
  }
  return best?.zone;
}
