/** Duties: acts at the platform that are performed by one control machine at a time (docs/design.md §14). */
import type { ScalingOrder } from "../scaling/pool-scaler.js";

/** The kinds of duties. */
export type DutyKind = "usage" | "scaling";

/** The number of requests of each tenant that began to run in a window of agreed wall-clock time. */
export interface UsageReport {
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** The content of an act. */
export type ActBody = UsageReport | ScalingOrder;

/** Identifies an act; the number rises within its duty and subject. */
export interface ActName {
  readonly duty: DutyKind;
  /** Acts of one subject share the holder and the fencing number. */
  readonly subject: string;
  readonly number: number;
}

/** An act that is due, with the content that it gets if it is not decided yet. */
export interface DueAct extends ActName {
  readonly body: ActBody;
  /** Time in monotonic ms of this machine from which a machine other than the last holder may claim it, too. */
  readonly takeoverAt: number;
}

/** Whether a newer act supersedes older ones: so for scaling, which sets one state, but not for reports, which all count. */
export function isSuperseding(duty: DutyKind): boolean {
  return duty === "scaling";
}
