import { constants, type DutyBounds } from "@chutewick/parts";
import type { DueAct, UsageReport } from "./duty-acts.js";
import type { DutyRecord } from "./duty-ledger.js";
import type { DutyRecords, DutySubject } from "./duty-records.js";
import { numberRanges } from "./number-ranges.js";

/** Knows the requests of each tenant that began to run in a window. */
export interface UsageCounts {
  countsOf(window: number): ReadonlyMap<string, number>;
}

/** Knows true time, in ms since 1970; undefined while it does not. */
export interface TrueTime {
  at(now: number): number | undefined;
}

/** A source of acts that are due at a moment of the monotonic clock. */
export interface DutySource {
  due(now: number, records: DutyRecords): readonly DueAct[];
}

/** All windows form one subject, so that they are reported in order. */
export const usageSubject: DutySubject = { duty: "usage", subject: "all" };

/** Parts of the time in which a report is due: from when on it is made, and from when on by any machine. */
const reportedFrom = 1 / 3;
const takenOverFrom = 2 / 3;

/**
 * Reports of usage that are due: one for each window since this system has a configuration, also where nothing was served.
 * A window is reported once late counts had time to come in.
 */
export class UsageReports implements DutySource {
  readonly #bounds: DutyBounds;
  readonly #counts: UsageCounts;
  readonly #time: TrueTime;
  /** The window in which this machine first knew a configuration. */
  #first: number | undefined;

  constructor(bounds: DutyBounds, counts: UsageCounts, time: TrueTime) {
    this.#bounds = bounds;
    this.#counts = counts;
    this.#time = time;
  }

  /** A configuration is in force: what is served from now on is reported. */
  begin(now: number): void {
    const time = this.#time.at(now);
    if (time !== undefined) this.#first ??= Math.floor(time / this.#bounds.window);
  }

  due(now: number, records: DutyRecords): readonly DueAct[] {
    const time = this.#time.at(now);
    if (time === undefined || this.#first === undefined) return [];
    const { window, reportWithin } = this.#bounds;
    const last = Math.floor((time - reportWithin * reportedFrom) / window) - 1;
    const record = records.record(usageSubject);
    const acts: DueAct[] = [];
    for (let number = this.#from(record, last); number <= last; number += 1) {
      if (record !== undefined && numberRanges.has(record.finished, number)) continue;
      const end = (number + 1) * window;
      const takeoverAt = now + end + reportWithin * takenOverFrom - time;
      acts.push({ ...usageSubject, number, body: this.#report(number), takeoverAt });
    }
    return acts;
  }

  /** From the oldest window that the record knows on, also before this machine came up: none in between is left out. */
  #from(record: DutyRecord | undefined, last: number): number {
    const oldest = record?.finished[0]?.[0] ?? record?.open[0] ?? this.#first!;
    const first = Math.min(this.#first!, oldest);
    return Math.max(first, last + 1 - constants.usageWindowsMost);
  }

  #report(window: number): UsageReport {
    return { window, counts: Object.fromEntries(this.#counts.countsOf(window)) };
  }
}
