/** How a pool stands in one zone: what is ordered there and what came of it (docs/design.md §14.4). */
import { constants } from "@chutewick/parts";
import type { ZoneRunners } from "./scaling-facts.js";

/** Runners of one zone, as they were ordered and as they serve. */
export class ZoneStanding {
  /** Runners here, of those that there were before anything was ordered: new ones are spread alike. */
  share = 0;
  /** What stands ordered, or the most ever seen where nothing was ordered yet. */
  ordered = 0;
  #runners = 0;
  /** The most that served of what stands ordered. */
  #served = 0;
  /** ms. When it was ordered to be more. */
  #raisedAt = Number.NEGATIVE_INFINITY;

  observe({ runners, ordered }: ZoneRunners, now: number): void {
    const standing = ordered ?? Math.max(this.ordered, runners);
    if (ordered === undefined) this.share = standing;
    else if (this.share === 0) this.share = Math.max(1, ordered);
    if (ordered !== undefined && standing > this.ordered) this.#raisedAt = now;
    this.ordered = standing;
    this.#runners = runners;
    this.#served = Math.min(standing, Math.max(this.#served, runners));
  }

  /** Runners that served, or should by now, and don't: of a zone that is dark, all of them. */
  lost(boot: number, now: number): number {
    const isBooted = now - this.#raisedAt > boot + constants.scalingBootLate;
    const expected = isBooted ? this.ordered : this.#served;
    return Math.max(0, expected - this.#runners);
  }

  /** Whether so many are lost that new ones would hardly come up here. */
  isBroken(boot: number, now: number): boolean {
    return this.lost(boot, now) > this.ordered * constants.scalingZoneLost;
  }
}
