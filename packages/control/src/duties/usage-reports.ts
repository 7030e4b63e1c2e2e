/** Decides which reports of usage are due. */
import { constants, type DutyBounds } from "@chutewick/parts";
import type { DueAct, UsageReport } from "./duty-acts.js";
import type { DutyRecord } from "./duty-ledger.js";
import type { DutyRecords, DutySubject } from "./duty-records.js";
import { numberRanges } from "./number-ranges.js";

/** Counts of requests that began to run in a window, by tenant. */
export interface UsageCounts {
  countsOf(window: number): ReadonlyMap<string, number>;
}

/** Agreed wall-clock time in ms since 1970 at a monotonic time; undefined while there is none. */
export interface AgreedClock {
  at(now: number): number | undefined;
}

/** A source of acts that are due at a monotonic time. */
export interface DutySource {
  due(now: number, records: DutyRecords): readonly DueAct[];
}

/** All windows form one subject, so that they are reported in order. */
export const usageSubject: DutySubject = { duty: "usage", subject: "all" };

/** The fraction of the time limit of a report after which it is made. */
const reportAfterFraction = 1 / 3;
/** The fraction of the time limit of a report after which any machine may make it. */
const takeoverAfterFraction = 2 / 3;

/**
 * Reports of usage: one for each window since the first configuration, even if nothing was served in it. A window is reported
 * after a delay that lets late counts arrive.
 */
export class UsageReports implements DutySource {
  readonly #bounds: DutyBounds;
  readonly #counts: UsageCounts;
  readonly #time: AgreedClock;
  /** The window in which this machine first knew a configuration. */
  #first: number | undefined;

  constructor(bounds: DutyBounds, counts: UsageCounts, time: AgreedClock) {
    this.#bounds = bounds;
    this.#counts = counts;
    this.#time = time;
  }

  /** Called when a configuration is in force: usage is reported from this window on. */
  start(now: number): void {
    const time = this.#time.at(now);
    if (time !== undefined) this.#first ??= Math.floor(time / this.#bounds.window);
  }

  due(now: number, records: DutyRecords): readonly DueAct[] {
    const time = this.#time.at(now);
    if (time === undefined || this.#first === undefined) return [];
    const { window, reportWithin } = this.#bounds;
    const last = Math.floor((time - reportWithin * reportAfterFraction) / window) - 1;
    const record = records.record(usageSubject);
    const acts: DueAct[] = [];
    for (let number = this.#firstWindow(record, last); number <= last; number += 1) {
      if (record !== undefined && numberRanges.has(record.finished, number)) continue;
      const end = (number + 1) * window;
      const takeoverAt = now + end + reportWithin * takeoverAfterFraction - time;
      acts.push({ ...usageSubject, number, body: this.#report(number), takeoverAt });
    }
    return acts;
  }

  /** The first window to report: the oldest one in the record, even if it precedes the start of this machine, so that none is skipped. */
  #firstWindow(record: DutyRecord | undefined, last: number): number {
    const oldest = record?.finished[0]?.[0] ?? record?.open[0] ?? this.#first!;
    const first = Math.min(this.#first!, oldest);
    return Math.max(first, last + 1 - constants.maxDueUsageWindows);
  }

  #report(window: number): UsageReport {
    return { window, counts: Object.fromEntries(this.#counts.countsOf(window)) };
  }
}
