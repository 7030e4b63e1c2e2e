/** Reports the usage counts of an access node to control machines; without I/O (docs/design.md §14.2). */
import type { LeaseMessage, UsageMessage, UsageTakenMessage } from "@chutewick/control";
import { constants } from "@chutewick/parts";
import type { Send } from "../membership.js";
import type { UsageCounter } from "./usage-counter.js";

/** Report progress of one control machine. */
interface ReportProgress {
  /** Incarnation of the control machine. */
  life: string;
  /** Sequence number of the last change that this incarnation has acknowledged. */
  acknowledged: number;
  /** Monotonic time (ms) of the last lease message from it. */
  heardAt: number;
  /** Monotonic time (ms) of the last report to it. */
  reportedAt: number;
}

/** Sends each control machine the counts that it has not acknowledged yet, in messages of bounded size. */
export class UsageReports {
  readonly #counter: UsageCounter;
  /** Incarnation of this node. */
  readonly #incarnation: string;
  /** Report progress by address of the control machine. */
  readonly #controls = new Map<string, ReportProgress>();
  #sentReports = 0;

  constructor(counter: UsageCounter, incarnation: string) {
    this.#counter = counter;
    this.#incarnation = incarnation;
  }

  /** Number of reports sent. */
  get told(): number {
    return this.#sentReports;
  }

  /** Records a lease message of a control machine; a new incarnation starts without any counts, so all are sent again. */
  recordLease(from: string, { stamp }: LeaseMessage, now: number): void {
    if (stamp === undefined) return;
    const progress = this.#controls.get(from);
    if (progress?.life === stamp.life) progress.heardAt = now;
    else
      this.#controls.set(from, {
        life: stamp.life,
        acknowledged: 0,
        heardAt: now,
        reportedAt: Number.NEGATIVE_INFINITY,
      });
  }

  /** Handles an acknowledgement; it is ignored if there is a gap between it and what was acknowledged before. */
  taken(from: string, { life, since, upTo }: UsageTakenMessage): void {
    const progress = this.#controls.get(from);
    if (progress === undefined || progress.life !== life || since > progress.acknowledged) return;
    progress.acknowledged = Math.max(progress.acknowledged, upTo);
  }

  /** Reports new counts together with the heartbeats, or on their own once the reporting interval has passed. */
  tick(now: number, areHeartbeatsSent: boolean): Send[] {
    const sends: Send[] = [];
    for (const [to, progress] of this.#controls) {
      if (now - progress.heardAt > constants.sessionTimeoutMs) this.#controls.delete(to);
      else if (this.#isDue(progress, now, areHeartbeatsSent)) {
        progress.reportedAt = now;
        sends.push({ kind: "send", to, message: this.#messageSince(progress.acknowledged) });
      }
    }
    this.#sentReports += sends.length;
    return sends;
  }

  #isDue(
    { acknowledged, reportedAt }: ReportProgress,
    now: number,
    withHeartbeats: boolean,
  ): boolean {
    if (acknowledged >= this.#counter.changes) return false;
    return withHeartbeats || now - reportedAt >= constants.usageReportIntervalMs;
  }

  #messageSince(since: number): UsageMessage {
    return { kind: "usage", life: this.#incarnation, since, ...this.#counter.changedSince(since) };
  }
}
