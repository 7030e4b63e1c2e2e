import type { DueAct } from "./duty-acts.js";
import type { FinishedAct } from "./duty-ledger.js";
import type { DutyRecords, DutySubject } from "./duty-records.js";
import { numberRanges } from "./number-ranges.js";

/** A subject of a duty, for operators. */
export interface SubjectStatus {
  /** Who won the last round, and with which fence; none where no act was due yet. */
  readonly holder?: string;
  readonly fence?: number;
  /** The act that the platform took last, by whom. */
  readonly last?: FinishedAct;
  /** Acts that are decided and not taken, and those so late that any machine takes them over; the oldest ones. */
  readonly open: readonly number[];
  readonly overdue: readonly number[];
}

/** acts. Told of each kind, at most. */
const toldMost = 10;

/** Status of all duties, by duty and subject. */
export function dutyStatus(
  records: DutyRecords,
  due: readonly DueAct[],
  now: number,
): Record<string, SubjectStatus> {
  const status: Record<string, SubjectStatus> = {};
  const overdue = due.filter(isOverdue, { records, now });
  for (const subject of subjectsOf(records, overdue)) {
    const record = records.record(subject);
    const numbers = overdue.filter(isOf, subject).map(({ number }) => number);
    status[`${subject.duty}/${subject.subject}`] = {
      ...(record === undefined ? {} : { holder: record.holder, fence: record.fence }),
      ...(record?.last === undefined ? {} : { last: record.last }),
      open: (record?.open ?? []).slice(0, toldMost),
      overdue: numbers.slice(0, toldMost),
    };
  }
  return status;
}

function isOverdue(this: { records: DutyRecords; now: number }, act: DueAct): boolean {
  if (act.takeoverAt > this.now) return false;
  return !numberRanges.has(this.records.record(act)?.finished ?? [], act.number);
}

function isOf(this: DutySubject, { duty, subject }: DueAct): boolean {
  return duty === this.duty && subject === this.subject;
}

function subjectsOf(records: DutyRecords, acts: readonly DueAct[]): DutySubject[] {
  const subjects = [...records.all()].map(([subject]) => subject);
  for (const act of acts) if (!subjects.some((known) => isOf.call(known, act))) subjects.push(act);
  return subjects;
}
