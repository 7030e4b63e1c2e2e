import { constants } from "@chutewick/parts";
import { keys } from "../keys.js";
import type { DueAct } from "./duty-acts.js";
import type { DutyInquiryOutcome, DutyOutcome, DutyOutput } from "./duty-outputs.js";
import type { DutyRecords, DutySubject } from "./duty-records.js";
import { SubjectPerformer, type DutyMachine } from "./subject-performer.js";

/** What holds for a machine at a moment. */
export interface DutySituation {
  readonly now: number;
  /** Place of this machine in the view of the control group, and how many members that has. */
  readonly place: number;
  readonly members: number;
  readonly records: DutyRecords;
  /** Acts that are due by what this machine knows itself. */
  readonly due: readonly DueAct[];
}

/** The acts of one subject. */
interface SubjectActs {
  readonly subject: DutySubject;
  readonly acts: Map<number, DueAct>;
}

/**
 * Performs the duties at the platform without I/O (docs/design.md §14): takes what is due and what became of commands and
 * calls, returns commands and calls. Subjects go on by themselves; their calls share this machine's part of what the platform
 * takes.
 */
export class DutyPerformer {
  readonly #machine: DutyMachine;
  readonly #subjects = new Map<string, SubjectPerformer>();
  /** Who waits for the outcome under a ticket. */
  readonly #waiting = new Map<string, SubjectPerformer>();
  /** ms. When each open act was first seen here without being due by this machine's own knowledge. */
  #openSince = new Map<string, number>();
  /** Calls that this machine may still make. */
  #budget = { tokens: 1, at: 0 };

  constructor(machine: DutyMachine) {
    this.#machine = machine;
  }

  /** Time passes. */
  beat(situation: DutySituation): DutyOutput[] {
    this.#refill(situation);
    const outputs: DutyOutput[] = [];
    for (const { subject, acts } of this.#actsBySubject(situation).values()) {
      const performer = this.#performer(subject);
      const asked = performer.beat({
        now: situation.now,
        place: situation.place,
        record: situation.records.record(subject),
        acts: [...acts.values()].sort(byNumber),
        mayCall: this.#budget.tokens >= 1,
      });
      this.#spend(asked);
      outputs.push(...this.#expect(performer, asked));
    }
    return outputs;
  }

  /** What became of a command. */
  inquired(ticket: string, outcome: DutyInquiryOutcome, now: number): DutyOutput[] {
    const performer = this.#waiting.get(ticket);
    this.#waiting.delete(ticket);
    if (performer === undefined) return [];
    return this.#expect(performer, performer.inquired(ticket, outcome, now));
  }

  /** What became of a call. */
  called(ticket: string, outcome: DutyOutcome, now: number): DutyOutput[] {
    const performer = this.#waiting.get(ticket);
    this.#waiting.delete(ticket);
    if (performer === undefined) return [];
    return this.#expect(performer, performer.called(ticket, outcome, now));
  }

  #performer(subject: DutySubject): SubjectPerformer {
    const key = keys.dutyKey(subject);
    const performer = this.#subjects.get(key) ?? new SubjectPerformer(this.#machine, subject);
    this.#subjects.set(key, performer);
    return performer;
  }

  /** Outcomes of these go to the performer. */
  #expect(performer: SubjectPerformer, outputs: DutyOutput[]): DutyOutput[] {
    for (const { ticket } of outputs) this.#waiting.set(ticket, performer);
    return outputs;
  }

  /** All subjects with acts that are due, or were decided and are not finished. */
  #actsBySubject({ due, records, now }: DutySituation): Map<string, SubjectActs> {
    const bySubject = new Map<string, SubjectActs>();
    function actsOf({ duty, subject }: DutySubject): Map<number, DueAct> {
      const key = keys.dutyKey({ duty, subject });
      const found = bySubject.get(key) ?? { subject: { duty, subject }, acts: new Map() };
      bySubject.set(key, found);
      return found.acts;
    }
    for (const act of this.#openActs(records, now)) actsOf(act).set(act.number, act);
    for (const act of due) actsOf(act).set(act.number, act);
    return bySubject;
  }

  /** Acts that are decided and not finished, also where this machine does not know why they were due. */
  #openActs(records: DutyRecords, now: number): DueAct[] {
    const open: DueAct[] = [];
    const since = new Map<string, number>();
    for (const act of records.openActs()) {
      const key = keys.actKey(act);
      const seenAt = this.#openSince.get(key) ?? now;
      since.set(key, seenAt);
      open.push({ ...act, takeoverAt: seenAt + this.#machine.bounds.lease });
    }
    this.#openSince = since;
    return open;
  }

  /** This machine's part of the calls that the platform takes: all machines may act at once, each on other subjects. */
  #refill({ members, now }: DutySituation): void {
    const part = constants.dutyCallsPart / Math.max(1, members);
    const perSecond = this.#machine.bounds.callsPerSecond * part;
    const elapsed = Math.max(0, now - this.#budget.at) / 1_000;
    const most = Math.max(1, perSecond);
    this.#budget = { tokens: Math.min(most, this.#budget.tokens + elapsed * perSecond), at: now };
  }

  /** A round that is asked for may lead to one call. */
  #spend(outputs: readonly DutyOutput[]): void {
    const claims = outputs.filter(isClaim).length;
    this.#budget = { ...this.#budget, tokens: this.#budget.tokens - claims };
  }
}

function isClaim(output: DutyOutput): boolean {
  return output.kind === "inquire" && output.command.kind === "claim-act";
}

function byNumber(one: DueAct, other: DueAct): number {
  return one.number - other.number;
}
