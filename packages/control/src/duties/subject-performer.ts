import { constants, dutyBounds, type DutyBounds } from "@chutewick/parts";
import { Backoff } from "./backoff.js";
import { isSuperseding, type ActBody, type ActName, type DueAct } from "./duty-acts.js";
import { isClaimResult, type DutyRecord } from "./duty-ledger.js";
import type { DutyInquiryOutcome, DutyOutcome, DutyOutput } from "./duty-outputs.js";
import type { DutySubject } from "./duty-records.js";
import { numberRanges } from "./number-ranges.js";

/** What a machine is, to one that performs duties. */
export interface DutyMachine {
  /** Its name in the deployment. */
  readonly name: string;
  readonly bounds: DutyBounds;
  /** Numbers from 0 to 1, for pauses. */
  readonly random: () => number;
}

/** What holds at a moment. */
export interface SubjectSituation {
  readonly now: number;
  /** Place of this machine in the view of the control group; the first one claims first where nobody has. */
  readonly place: number;
  /** As confirmed, as far as this machine knows. */
  readonly record: DutyRecord | undefined;
  /** Acts of the subject that are due or open, ascending by number. */
  readonly acts: readonly DueAct[];
  /** Whether this machine's part of what the platform takes leaves a call now. */
  readonly mayCall: boolean;
}

/** A round that was asked for. */
interface Claim {
  readonly ticket: string;
  readonly act: ActName;
  /** ms. The round counts from here on. */
  readonly askedAt: number;
}

/** A call that is on its way. */
interface Call {
  readonly ticket: string;
  readonly act: ActName;
  readonly fence: number;
}

/** One that this machine won. */
interface Won {
  readonly fence: number;
  readonly body: ActBody;
}

/**
 * Performs the acts of one subject, one after another: claims a round, calls under it, and tells the group what the platform
 * took. A round counts for one call, and for a short time since it was asked for (docs/design.md §14).
 */
export class SubjectPerformer {
  readonly #machine: DutyMachine;
  readonly #subject: DutySubject;
  readonly #backoff: Backoff;
  #claim: Claim | undefined;
  #call: Call | undefined;
  /** Acts that the platform took, until the group has confirmed that it knows; with the ticket of the inquiry under way. */
  readonly #taken = new Map<number, string | undefined>();
  /** The newest fence that this machine won. */
  #wonFence = 0;
  /** The fence with which the platform answered that it has seen a higher one. */
  #outdatedFence: number | undefined;
  /** The last round that was seen in the record, by whomever, and when. */
  #seenRound = Number.NEGATIVE_INFINITY;
  #seenAt = Number.NEGATIVE_INFINITY;
  /** Another one's lease is not over before. */
  #heldUntil = Number.NEGATIVE_INFINITY;
  /** Calls in a row that got no answer, and until when others are left the first go for it. */
  #lostInRow = 0;
  #yieldsUntil = Number.NEGATIVE_INFINITY;
  #ticketNumber = 0;

  constructor(machine: DutyMachine, subject: DutySubject) {
    this.#machine = machine;
    this.#subject = subject;
    this.#backoff = new Backoff(machine.random);
  }

  /** Time passes. */
  beat(situation: SubjectSituation): DutyOutput[] {
    this.#see(situation);
    const outputs = this.#finishAll(situation);
    if (this.#claim !== undefined && situation.now > this.#freshUntil(this.#claim))
      this.#claim = undefined;
    if (this.#claim !== undefined || this.#call !== undefined) return outputs;
    const act = this.#next(situation);
    if (act !== undefined && this.#mayClaim(act, situation))
      outputs.push(this.#ask(act, situation));
    return outputs;
  }

  #see({ record, now }: SubjectSituation): void {
    if (record === undefined || record.at === this.#seenRound) return;
    this.#seenRound = record.at;
    this.#seenAt = now;
  }

  /** The oldest act that the platform has not taken. */
  #next({ record, acts }: SubjectSituation): DueAct | undefined {
    const candidates = isSuperseding(this.#subject.duty) ? acts.slice(-1) : acts;
    for (const act of candidates) {
      const isFinished = record !== undefined && numberRanges.has(record.finished, act.number);
      if (!isFinished && !this.#taken.has(act.number)) return act;
    }
    return undefined;
  }

  #mayClaim(act: DueAct, { record, place, now, mayCall }: SubjectSituation): boolean {
    if (!mayCall) return false;
    if (now < this.#yieldsUntil || !this.#backoff.isOver(now)) return false;
    if (this.#isHolder(record)) return true;
    if (record === undefined && place === 0) return true;
    const patience = place * constants.takeoverStagger;
    const isLeaseOver = now >= Math.max(this.#seenAt + this.#machine.bounds.lease, this.#heldUntil);
    return isLeaseOver && now >= act.takeoverAt + patience;
  }

  /** Whether this machine won last, as far as it knows: its own word may be newer than the record here. */
  #isHolder(record: DutyRecord | undefined): boolean {
    if (record === undefined || record.fence < this.#wonFence) return this.#wonFence > 0;
    return record.holder === this.#machine.name;
  }

  #ask({ number, body }: DueAct, { record, now }: SubjectSituation): DutyOutput {
    const act: ActName = { ...this.#subject, number };
    const ticket = this.#ticket();
    this.#claim = { ticket, act, askedAt: now };
    const fenceAtLeast = this.#fenceAtLeast(record);
    return {
      kind: "inquire",
      ticket,
      command: {
        kind: "claim-act",
        ...act,
        body,
        holder: this.#machine.name,
        lease: this.#machine.bounds.lease,
        ...(fenceAtLeast === undefined ? {} : { fenceAtLeast }),
      },
    };
  }

  /** Where the newest fence of the ledger is too low for the platform, the next one is to be well above. */
  #fenceAtLeast(record: DutyRecord | undefined): number | undefined {
    if (this.#outdatedFence === undefined || record === undefined) return undefined;
    const isNewest = record.holder === this.#machine.name && record.fence === this.#outdatedFence;
    return isNewest ? this.#outdatedFence * 2 : undefined;
  }

  #freshUntil({ askedAt }: Claim): number {
    return askedAt + dutyBounds.freshFor(this.#machine.bounds);
  }

  /** What became of a command under one of this subject's tickets. */
  inquired(ticket: string, outcome: DutyInquiryOutcome, now: number): DutyOutput[] {
    this.#told(ticket, outcome);
    if (this.#claim?.ticket !== ticket) return [];
    const claim = this.#claim;
    this.#claim = undefined;
    if (outcome.kind !== "confirmed" || !isClaimResult(outcome.value)) {
      this.#backoff.failed(now);
      return [];
    }
    switch (outcome.value.kind) {
      case "ACT_FINISHED":
        this.#taken.set(claim.act.number, "known");
        return [];
      case "ACT_HELD":
        this.#wonFence = 0;
        this.#heldUntil = now + outcome.value.wait;
        return [];
      case "ACT_WON":
        return this.#won(claim, outcome.value, now);
    }
  }

  #won(claim: Claim, { fence, body }: Won, now: number): DutyOutput[] {
    this.#wonFence = fence;
    const sendBy = this.#freshUntil(claim);
    if (now > sendBy) return [];
    const { act } = claim;
    const ticket = this.#ticket();
    this.#call = { ticket, act, fence };
    const holder = this.#machine.name;
    const patience = this.#patience;
    return [{ kind: "call", ticket, call: { act, body, holder, fence, sendBy, patience } }];
  }

  /** Longer after each call without an answer, as the platform may only be slow. */
  get #patience(): number {
    const longer = constants.dutyCallPatience * 2 ** this.#lostInRow;
    return Math.min(longer, constants.dutyCallPatienceMost);
  }

  /** What became of a call under one of this subject's tickets. */
  called(ticket: string, outcome: DutyOutcome, now: number): DutyOutput[] {
    if (this.#call?.ticket !== ticket) return [];
    const { act, fence } = this.#call;
    this.#call = undefined;
    switch (outcome) {
      case "taken":
      case "rejected":
        this.#backoff.succeeded();
        this.#lostInRow = 0;
        this.#outdatedFence = undefined;
        this.#taken.set(act.number, undefined);
        return [this.#finish(act.number)];
      case "outdated":
        this.#outdatedFence = fence;
        this.#backoff.pause(constants.dutyOutdatedPause, now);
        return [];
      case "busy":
        this.#lostInRow = 0;
        this.#backoff.failed(now);
        return [];
      case "lost":
      case "unsent":
        this.#lost(now);
        return [];
    }
  }

  /** A machine that does not reach the platform leaves it to the others to try. */
  #lost(now: number): void {
    this.#lostInRow += 1;
    this.#backoff.failed(now);
    if (this.#lostInRow % constants.dutyTriesUntilYield !== 0) return;
    this.#yieldsUntil = now + this.#machine.bounds.lease * constants.dutyYieldLeases;
  }

  /** Tells the group again what it has not confirmed, and forgets what it has. */
  #finishAll({ record }: SubjectSituation): DutyOutput[] {
    const outputs: DutyOutput[] = [];
    for (const [number, ticket] of this.#taken) {
      if (record !== undefined && numberRanges.has(record.finished, number))
        this.#taken.delete(number);
      else if (ticket === undefined) outputs.push(this.#finish(number));
    }
    return outputs;
  }

  #finish(number: number): DutyOutput {
    const ticket = this.#ticket();
    this.#taken.set(number, ticket);
    const holder = this.#machine.name;
    const command = { kind: "finish-act", ...this.#subject, number, holder } as const;
    return { kind: "inquire", ticket, command };
  }

  /** What was not confirmed is told again with the next beat. */
  #told(ticket: string, outcome: DutyInquiryOutcome): void {
    if (outcome.kind === "confirmed") return;
    for (const [number, told] of this.#taken)
      if (told === ticket) this.#taken.set(number, undefined);
  }

  #ticket(): string {
    this.#ticketNumber += 1;
    return `${this.#subject.duty}/${this.#subject.subject}/${this.#ticketNumber}`;
  }
}
