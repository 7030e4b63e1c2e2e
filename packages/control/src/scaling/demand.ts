/** The number of runners that the work of a pool needs (docs/design.md §14.4). */
import { constants } from "@chutewick/parts";
import type { PoolLoad } from "./scaling-facts.js";

/** The smoothed work of one pool. */
export class Demand {
  /** Interactive requests, smoothed over a short time. */
  #live = 0;
  /** Interactive requests and items, smoothed over a long time. */
  #usualLive = 0;
  #usualItems = 0;
  /** Since when the slots of all runners have been full, and how many runners there are; undefined if they are not full. */
  #full: { readonly since: number; readonly runners: number } | undefined;
  /** Monotonic time in ms of the last observation. */
  #observedAt: number | undefined;

  observe(load: PoolLoad, now: number): void {
    const { live, items } = load;
    // The first observation is used unsmoothed.
    const elapsed = now - (this.#observedAt ?? Number.NEGATIVE_INFINITY);
    this.#observedAt = now;
    const timeConstant = live > this.#live ? constants.liveLoadRiseMs : constants.liveLoadFallMs;
    this.#live = smoothed(this.#live, live, elapsed, timeConstant);
    this.#usualLive = smoothed(this.#usualLive, live, elapsed, constants.usualLoadSmoothingMs);
    this.#usualItems = smoothed(this.#usualItems, items, elapsed, constants.usualLoadSmoothingMs);
    this.#observeSlots(load, now);
  }

  /** Reserves capacity for a burst of interactive requests, since new runners would start too late; lots can wait a little. */
  runners(seats: number, now: number): number {
    const live = Math.max(
      this.#live * constants.growthFactor,
      this.#usualLive * constants.burstFactor,
    );
    const needed = Math.ceil((live + this.#usualItems) / (seats * constants.targetSlotUtilization));
    const full = this.#full;
    if (full === undefined || now - full.since < constants.saturationDelayMs) return needed;
    return Math.max(needed, Math.ceil(full.runners * constants.saturationGrowthFactor));
  }

  #observeSlots({ live, items, seats, zones }: PoolLoad, now: number): void {
    let runners = 0;
    for (const zone of zones) runners += zone.runners;
    const isFull = runners > 0 && live + items >= runners * seats * constants.saturationFraction;
    this.#full = isFull ? { since: this.#full?.since ?? now, runners } : undefined;
  }
}

/** Exponential smoothing over irregular intervals. */
function smoothed(before: number, value: number, elapsed: number, timeConstant: number): number {
  return before + (value - before) * (1 - Math.exp(-elapsed / timeConstant));
}
