/** Status of duties for operators. */
import type { DueAct } from "./duty-acts.js";
import type { FinishedAct } from "./duty-ledger.js";
import type { DutyRecords, DutySubject } from "./duty-records.js";
import { numberRanges } from "./number-ranges.js";

/** Status of one subject of a duty. */
export interface SubjectStatus {
  /** The machine that won the last round; undefined if no act was due yet. */
  readonly holder?: string;
  /** Fencing number of the last round. */
  readonly fence?: number;
  /** The act that the platform accepted last. */
  readonly last?: FinishedAct;
  /** The oldest acts that are decided but not accepted yet. */
  readonly open: readonly number[];
  /** The oldest acts that are so late that any machine may take them over. */
  readonly overdue: readonly number[];
}

/** Maximum number of acts in each list. */
const maxListedActs = 10;

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
    const numbers = overdue.filter(belongsTo, subject).map(({ number }) => number);
    status[`${subject.duty}/${subject.subject}`] = {
      ...(record === undefined ? {} : { holder: record.holder, fence: record.fence }),
      ...(record?.last === undefined ? {} : { last: record.last }),
      open: (record?.open ?? []).slice(0, maxListedActs),
      overdue: numbers.slice(0, maxListedActs),
    };
  }
  return status;
}

function isOverdue(this: { records: DutyRecords; now: number }, act: DueAct): boolean {
  if (act.takeoverAt > this.now) return false;
  return !numberRanges.has(this.records.record(act)?.finished ?? [], act.number);
}

function belongsTo(this: DutySubject, { duty, subject }: DueAct): boolean {
  return duty === this.duty && subject === this.subject;
}

function subjectsOf(records: DutyRecords, acts: readonly DueAct[]): DutySubject[] {
  const subjects = [...records.all()].map(([subject]) => subject);
  for (const act of acts)
    if (!subjects.some((known) => belongsTo.call(known, act))) subjects.push(act);
  return subjects;
}
