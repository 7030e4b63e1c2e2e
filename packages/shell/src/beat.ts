/** Periodic ticks of a process, and its monotonic clock (docs/design.md §10.5). */
import { constants } from "@chutewick/parts";
import { metrics } from "./metrics.js";

/** Tells whether a process is idle, so that it needs ticks less often. */
export interface ActivityMonitor {
  /** Whether nothing with a deadline is in progress. */
  readonly isIdle: () => boolean;
}

const alwaysBusy: ActivityMonitor = { isIdle: () => false };

/** Calls a process at a regular interval with the monotonic time; the interval is longer while the process is idle. */
export class Ticker {
  readonly #activity: ActivityMonitor;
  #onTick: (now: number) => void = nothing;
  #handle: NodeJS.Timeout | undefined;
  #isSlowInterval = false;
  /** Monotonic time in ms at which the next tick is due. */
  #dueAt = 0;

  /** Without a monitor the process counts as busy, and every tick comes after the normal interval. */
  constructor(activity: ActivityMonitor = alwaysBusy) {
    this.#activity = activity;
  }

  /** Starts the ticks; `onTick` is called with the monotonic time in ms. */
  start(onTick: (now: number) => void): void {
    this.#onTick = onTick;
    this.#schedule(constants.tickIntervalMs);
  }

  /** Stops the ticks. */
  stop(): void {
    clearTimeout(this.#handle);
  }

  /** Must be called when work may have started: if the process is no longer idle, the next tick comes within the normal interval. */
  wake(): void {
    if (this.#isSlowInterval && !this.#activity.isIdle()) this.#schedule(constants.tickIntervalMs);
  }

  #schedule(after: number): void {
    clearTimeout(this.#handle);
    this.#isSlowInterval = after > constants.tickIntervalMs;
    this.#dueAt = performance.now() + after;
    const tick = (): void => this.#tick();
    this.#handle = setTimeout(tick, after);
  }

  #tick(): void {
    const now = performance.now();
    metrics.tickStarted(now - this.#dueAt);
    // Scheduled before the call, because the call may stop the ticks.
    this.#schedule(
      this.#activity.isIdle() ? constants.idleTickIntervalMs : constants.tickIntervalMs,
    );
    this.#onTick(now);
  }
}

function nothing(): void {
  // Placeholder until the ticks are started.
}

/** Monotonic time in ms. */
export function monotonicNow(): number {
  return performance.now();
}

/** Resolves once a condition holds; checks it at every tick interval. */
export function waitUntil(holds: () => boolean): Promise<void> {
  function begin(resolve: () => void): void {
    function check(): void {
      if (!holds()) return;
      clearInterval(handle);
      resolve();
    }
    const handle = setInterval(check, constants.tickIntervalMs);
  }
  return new Promise<void>(begin);
}
