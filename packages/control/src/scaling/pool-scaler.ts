/** The control loop of one pool's number of runners; without I/O (docs/design.md §14.4). */
import { constants } from "@chutewick/parts";
import { Demand } from "./demand.js";
import type { PoolLoad, ScalingBounds } from "./scaling-facts.js";
import { ZoneStanding } from "./zone-standing.js";

/** How many runners of a pool are to be in a zone. */
export interface ScalingOrder {
  readonly pool: string;
  readonly zone: string;
  readonly desired: number;
}

/** A need at a moment. */
interface NeedAt {
  readonly needed: number;
  readonly at: number;
}

/**
 * Orders more runners at once when the work needs them, and fewer only after fewer were enough for long, one at a time. What it
 * orders follows from what stands ordered, so an order that was not carried out is made again.
 */
export class PoolScaler {
  readonly #pool: string;
  readonly #zones = new Map<string, ZoneStanding>();
  readonly #demand = new Demand();
  readonly #startedAt: number;
  /** Those of late that no later one reaches, the greatest first. */
  #needs: NeedAt[] = [];
  /** Of all zones, as it stood when last observed. */
  #total: number | undefined;
  #changedAt = Number.NEGATIVE_INFINITY;
  #isRising: boolean | undefined;
  #turns = 0;
  /** ms. When some work was unknown last: needs noted until then may be too low. */
  #unknownAt = Number.NEGATIVE_INFINITY;

  constructor(pool: string, now: number) {
    this.#pool = pool;
    this.#startedAt = now;
  }

  /** How often orders changed from more to fewer or back. */
  get turns(): number {
    return this.#turns;
  }

  /** isWorkKnown: whether all nodes that have work under way are heard. */
  orders(load: PoolLoad, isWorkKnown: boolean, now: number): ScalingOrder[] {
    this.#observe(load, now);
    if (!isWorkKnown) this.#unknownAt = now;
    const { bounds } = load;
    const lost = this.#lost(bounds.boot, now);
    const needed = this.#demand.runners(load.seats, now) + lost;
    this.#remember(needed, bounds, now);
    if (now - this.#startedAt < constants.scalingSettles) return [];
    const desired = this.#withinBounds(bounds);
    const total = sumOf(desired);
    if (needed > total * (1 + constants.scalingMissing))
      this.#raise(desired, needed - total, bounds, now);
    else if (isWorkKnown && this.#isLowLong(total, bounds, now)) this.#lower(desired, bounds);
    return this.#changed(desired);
  }

  #observe(load: PoolLoad, now: number): void {
    this.#demand.observe(load, now);
    for (const zone of load.zones) {
      let standing = this.#zones.get(zone.zone);
      if (standing === undefined) {
        standing = new ZoneStanding();
        this.#zones.set(zone.zone, standing);
      }
      standing.observe(zone, now);
    }
    /** A zone of which nothing is heard any more. */
    for (const [zone, standing] of this.#zones)
      if (load.zones.every((each) => each.zone !== zone))
        standing.observe({ zone, runners: 0, ordered: undefined }, now);
    if (load.zones.some(({ ordered }) => ordered !== undefined)) this.#noteChange(now);
  }

  /** Counts changes of direction of what stands ordered. */
  #noteChange(now: number): void {
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
    for (const standing of this.#zones.values()) lost += standing.lost(boot, now);
    return lost;
  }

  #remember(needed: number, bounds: ScalingBounds, now: number): void {
    const since = now - lowerAfter(bounds);
    this.#needs = this.#needs.filter((held) => held.at >= since && held.needed > needed);
    this.#needs.push({ needed, at: now });
  }

  #withinBounds({ minimum, maximum }: ScalingBounds): Map<string, number> {
    const desired = new Map<string, number>();
    for (const [zone, { ordered }] of this.#zones)
      desired.set(zone, Math.min(maximum, Math.max(minimum, ordered)));
    return desired;
  }

  /** In zones that stand, where there is room; the rest where much was lost. */
  #raise(desired: Map<string, number>, more: number, bounds: ScalingBounds, now: number): void {
    const standing = [...this.#zones].filter(([, zone]) => !zone.isBroken(bounds.boot, now));
    let left = this.#add(desired, standing, more, bounds.maximum);
    if (left > 0) left = this.#add(desired, [...this.#zones], left, bounds.maximum);
  }

  /** @returns what found no room */
  #add(
    desired: Map<string, number>,
    zones: readonly (readonly [string, ZoneStanding])[],
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

  /** Whether fewer were enough for long, and the last change is not recent. */
  #isLowLong(total: number, bounds: ScalingBounds, now: number): boolean {
    const slack = Math.max(1, Math.ceil(total * constants.scalingSpare));
    const highest = this.#needs[0]?.needed ?? total;
    return (
      highest <= total - slack &&
      now - this.#startedAt >= lowerAfter(bounds) &&
      now - this.#unknownAt >= lowerAfter(bounds) &&
      now - this.#changedAt >= Math.max(bounds.boot, constants.scalingLowerEvery)
    );
  }

  #changed(desired: ReadonlyMap<string, number>): ScalingOrder[] {
    const orders: ScalingOrder[] = [];
    for (const [zone, { ordered }] of this.#zones) {
      const wanted = desired.get(zone)!;
      if (wanted !== ordered) orders.push({ pool: this.#pool, zone, desired: wanted });
    }
    return orders;
  }
}

/** ms. Fewer must have been enough for so long. */
function lowerAfter({ boot }: ScalingBounds): number {
  return Math.max(constants.scalingLowerAfter, constants.scalingLowerBoots * boot);
}

function sumOf(desired: ReadonlyMap<string, number>): number {
  let sum = 0;
  for (const count of desired.values()) sum += count;
  return sum;
}

/** The zone with the highest score; of several the first by name, so that all control machines choose alike. */
function bestOf(
  zones: readonly (readonly [string, ZoneStanding])[],
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
