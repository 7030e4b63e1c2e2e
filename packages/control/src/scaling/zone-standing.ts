/** The state of a pool in one zone: the ordered runners and the ones that serve (docs/design.md §14.4). */
import { constants } from "@chutewick/parts";
import type { ZoneRunners } from "./scaling-facts.js";

/** Ordered and serving runners of a pool in one zone. */
export class ZoneState {
  /** Runners in this zone before the first order; new runners are spread over the zones in the same proportion. */
  share = 0;
  /** The ordered number of runners, or the highest number observed if none was ordered yet. */
  ordered = 0;
  #runners = 0;
  /** The highest number of runners that served at once, up to the ordered number. */
  #served = 0;
  /** When the ordered number last rose, in monotonic ms. */
  #raisedAt = Number.NEGATIVE_INFINITY;

  observe({ runners, ordered }: ZoneRunners, now: number): void {
    const target = ordered ?? Math.max(this.ordered, runners);
    if (ordered === undefined) this.share = target;
    else if (this.share === 0) this.share = Math.max(1, ordered);
    if (ordered !== undefined && target > this.ordered) this.#raisedAt = now;
    this.ordered = target;
    this.#runners = runners;
    this.#served = Math.min(target, Math.max(this.#served, runners));
  }

  /** The number of runners that served, or should serve by now, but do not; in a failed zone, all of them. */
  lost(boot: number, now: number): number {
    const isBooted = now - this.#raisedAt > boot + constants.bootGraceMs;
    const expected = isBooted ? this.ordered : this.#served;
    return Math.max(0, expected - this.#runners);
  }

  /** Whether so many runners are lost that new ones are unlikely to start in this zone. */
  isBroken(boot: number, now: number): boolean {
    return this.lost(boot, now) > this.ordered * constants.lostZoneFraction;
  }
}
