import type { ScalingOrder } from "../scaling/pool-scaler.js";

/** Duties: acts towards the platform that one control machine at a time performs (docs/design.md §14). */

/** What kinds of duties there are. */
export type DutyKind = "usage" | "scaling";

/** Requests of each tenant that began to run in a window of true time. */
export interface UsageReport {
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** What an act says, whole. */
export type ActBody = UsageReport | ScalingOrder;

/** An act by name: the number rises within its duty and subject. */
export interface ActName {
  readonly duty: DutyKind;
  /** Acts of one subject share fence and holder. */
  readonly subject: string;
  readonly number: number;
}

/** An act that is due, with what it would say if it is not decided yet. */
export interface DueAct extends ActName {
  readonly body: ActBody;
  /** ms, of the asking machine's monotonic clock. From then on another than the last holder claims it, too. */
  readonly takeoverAt: number;
}

/** Where the platform sees one state only (scaling), a newer act makes older ones void; of reports each one counts. */
export function isSuperseding(duty: DutyKind): boolean {
  return duty === "scaling";
}
