/** Performs all duties of a control machine, without I/O (docs/design.md §14). */
import { constants } from "@chutewick/parts";
import { keys } from "../keys.js";
import type { DueAct } from "./duty-acts.js";
import type { DutyCommandOutcome, DutyOutcome, DutyOutput } from "./duty-outputs.js";
import type { DutyRecords, DutySubject } from "./duty-records.js";
import { SubjectPerformer, type DutyMachine } from "./subject-performer.js";

/** State that duties depend on, at one moment. */
export interface DutySituation {
  readonly now: number;
  /** Position of this machine in the view of the control group. */
  readonly place: number;
  /** Number of members of that view. */
  readonly members: number;
  readonly records: DutyRecords;
  /** Acts that are due according to this machine's own state. */
  readonly due: readonly DueAct[];
}

/** The acts of one subject. */
interface SubjectActs {
  readonly subject: DutySubject;
  readonly acts: Map<number, DueAct>;
}

/**
 * Performs the duties at the platform: its inputs are the acts that are due and the outcomes of commands and calls, its outputs
 * are new commands and calls. Subjects are independent of each other, but their calls share this machine's part of the call rate
 * of the platform.
 */
export class DutyPerformer {
  readonly #machine: DutyMachine;
  readonly #subjects = new Map<string, SubjectPerformer>();
  /** Performers that expect an outcome, by ticket. */
  readonly #pending = new Map<string, SubjectPerformer>();
  /** When this machine first saw each open act in the records, in monotonic ms. */
  #openSince = new Map<string, number>();
  /** Token bucket of the calls that this machine may make. */
  #budget = { tokens: 1, at: 0 };

  constructor(machine: DutyMachine) {
    this.#machine = machine;
  }

  /** Advances the clock; returns the commands that are due. */
  tick(situation: DutySituation): DutyOutput[] {
    this.#refill(situation);
    const outputs: DutyOutput[] = [];
    for (const { subject, acts } of this.#actsBySubject(situation).values()) {
      const performer = this.#performer(subject);
      const commands = performer.tick({
        now: situation.now,
        place: situation.place,
        record: situation.records.record(subject),
        acts: [...acts.values()].sort(byNumber),
        mayCall: this.#budget.tokens >= 1,
      });
      this.#spend(commands);
      outputs.push(...this.#awaitOutcomes(performer, commands));
    }
    return outputs;
  }

  /** Handles the outcome of a command. */
  handleCommandOutcome(ticket: string, outcome: DutyCommandOutcome, now: number): DutyOutput[] {
    const performer = this.#pending.get(ticket);
    this.#pending.delete(ticket);
    if (performer === undefined) return [];
    return this.#awaitOutcomes(performer, performer.handleCommandOutcome(ticket, outcome, now));
  }

  /** Handles the outcome of a call. */
  handleCallOutcome(ticket: string, outcome: DutyOutcome, now: number): DutyOutput[] {
    const performer = this.#pending.get(ticket);
    this.#pending.delete(ticket);
    if (performer === undefined) return [];
    return this.#awaitOutcomes(performer, performer.handleCallOutcome(ticket, outcome, now));
  }

  #performer(subject: DutySubject): SubjectPerformer {
    const key = keys.dutyKey(subject);
    const performer = this.#subjects.get(key) ?? new SubjectPerformer(this.#machine, subject);
    this.#subjects.set(key, performer);
    return performer;
  }

  /** Routes the outcomes of these outputs to the performer. */
  #awaitOutcomes(performer: SubjectPerformer, outputs: DutyOutput[]): DutyOutput[] {
    for (const { ticket } of outputs) this.#pending.set(ticket, performer);
    return outputs;
  }

  /** All subjects with acts that are due, or that are decided but not finished. */
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

  /** Acts that are decided but not finished, including those that are not due by this machine's own state. */
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

  /** Refills the budget. The call rate is divided by the members, as all machines may act at once on different subjects. */
  #refill({ members, now }: DutySituation): void {
    const share = constants.platformCallRateFraction / Math.max(1, members);
    const perSecond = this.#machine.bounds.callsPerSecond * share;
    const elapsed = Math.max(0, now - this.#budget.at) / 1_000;
    const maxTokens = Math.max(1, perSecond);
    this.#budget = {
      tokens: Math.min(maxTokens, this.#budget.tokens + elapsed * perSecond),
      at: now,
    };
  }

  /** Charges one call for each requested round. */
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
