/** The usage that an access node counts and tells, with the time that it counts by (docs/design.md §14.1, §14.2). */
import type { LeaseMessage, UsageTakenMessage } from "@chutewick/control";
import { AgreedTime } from "@chutewick/parts";
import type { Send } from "../membership.js";
import { UsageCounter } from "./usage-counter.js";
import { UsageReports } from "./usage-reports.js";

/** Ties the counter of a node to the clocks that it hears of and to its reports to control. */
export class AccessUsage {
  readonly time = new AgreedTime();
  readonly counter: UsageCounter;
  readonly #reports: UsageReports;

  /** The life of the node, and the length of windows in ms. */
  constructor(life: string, window: number | undefined) {
    this.counter = new UsageCounter(this.time, window);
    this.#reports = new UsageReports(this.counter, life);
  }

  get counts(): { readonly usageCounted: number; readonly usageTold: number } {
    return { usageCounted: this.counter.changes, usageTold: this.#reports.told };
  }

  heardLease(from: string, message: LeaseMessage, now: number): void {
    this.#reports.heard(from, message, now);
    const { identity: source, wall, askedAt } = message;
    if (wall !== undefined) this.time.heard({ source, wall, late: now - askedAt }, now);
  }

  taken(from: string, message: UsageTakenMessage): void {
    this.#reports.taken(from, message);
  }

  beat(now: number, wall: number, areHeartbeatsSent: boolean): Send[] {
    this.time.readOwnClock(wall, now);
    if (areHeartbeatsSent) this.counter.forget(now);
    return this.#reports.beat(now, areHeartbeatsSent);
  }
}
