/** How many runners a pool's work needs (docs/design.md §14.4). */
import { constants } from "@chutewick/parts";
import type { PoolLoad } from "./scaling-facts.js";

/** Work of one pool, smoothed. */
export class Demand {
  /** Live requests now, and what is usual of them and of items. */
  #live = 0;
  #usualLive = 0;
  #usualItems = 0;
  /** Runners that serve, while their seats are full. */
  #full: { readonly since: number; readonly runners: number } | undefined;
  /** ms */
  #observedAt: number | undefined;

  observe(load: PoolLoad, now: number): void {
    const { live, items } = load;
    /** What is seen first is taken as it is. */
    const passed = now - (this.#observedAt ?? Number.NEGATIVE_INFINITY);
    this.#observedAt = now;
    const span = live > this.#live ? constants.scalingLiveUp : constants.scalingLiveDown;
    this.#live = smoothed(this.#live, live, passed, span);
    this.#usualLive = smoothed(this.#usualLive, live, passed, constants.scalingUsual);
    this.#usualItems = smoothed(this.#usualItems, items, passed, constants.scalingUsual);
    this.#observeSeats(load, now);
  }

  /** Live work is given room for a burst, since its runners would come too late; lots may wait a little. */
  runners(seats: number, now: number): number {
    const live = Math.max(
      this.#live * constants.scalingGrowth,
      this.#usualLive * constants.scalingBurst,
    );
    const needed = Math.ceil((live + this.#usualItems) / (seats * constants.scalingFill));
    const full = this.#full;
    if (full === undefined || now - full.since < constants.scalingFullAfter) return needed;
    return Math.max(needed, Math.ceil(full.runners * constants.scalingFullGrowth));
  }

  #observeSeats({ live, items, seats, zones }: PoolLoad, now: number): void {
    let runners = 0;
    for (const zone of zones) runners += zone.runners;
    const isFull = runners > 0 && live + items >= runners * seats * constants.scalingFull;
    this.#full = isFull ? { since: this.#full?.since ?? now, runners } : undefined;
  }
}

function smoothed(before: number, value: number, passed: number, span: number): number {
  return before + (value - before) * (1 - Math.exp(-passed / span));
}
