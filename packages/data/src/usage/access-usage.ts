/** Usage accounting of an access node: counting, reporting and the shared time by which it counts (docs/design.md §14.1, §14.2). */
import type { LeaseMessage, UsageTakenMessage } from "@chutewick/control";
import { AgreedTime } from "@chutewick/parts";
import type { Send } from "../membership.js";
import { UsageCounter } from "./usage-counter.js";
import { UsageReports } from "./usage-reports.js";

/** Connects the usage counter of a node to the clocks of control machines and to its reports to them. */
export class AccessUsage {
  readonly time = new AgreedTime();
  readonly counter: UsageCounter;
  readonly #reports: UsageReports;

  /**
   * @param incarnation incarnation of the node
   * @param windowMs length of usage windows; undefined if usage is not counted
   */
  constructor(incarnation: string, windowMs: number | undefined) {
    this.counter = new UsageCounter(this.time, windowMs);
    this.#reports = new UsageReports(this.counter, incarnation);
  }

  /** Totals for metrics: `usageCounted` live requests, `usageTold` reports sent. */
  get counts(): { readonly usageCounted: number; readonly usageTold: number } {
    return { usageCounted: this.counter.changes, usageTold: this.#reports.told };
  }

  recordLease(from: string, message: LeaseMessage, now: number): void {
    this.#reports.recordLease(from, message, now);
    const { identity: source, wall, askedAt } = message;
    if (wall !== undefined) this.time.recordReading({ source, wall, late: now - askedAt }, now);
  }

  /** Handles the acknowledgement of a usage report. */
  taken(from: string, message: UsageTakenMessage): void {
    this.#reports.taken(from, message);
  }

  tick(now: number, wall: number, areHeartbeatsSent: boolean): Send[] {
    this.time.readOwnClock(wall, now);
    if (areHeartbeatsSent) this.counter.forget(now);
    return this.#reports.tick(now, areHeartbeatsSent);
  }
}
