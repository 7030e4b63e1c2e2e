/** Performs the acts of one subject of a duty, without I/O (docs/design.md §14). */
import { constants, dutyBounds, type DutyBounds } from "@chutewick/parts";
import { Backoff } from "./backoff.js";
import { isSuperseding, type ActBody, type ActName, type DueAct } from "./duty-acts.js";
import { isClaimResult, type DutyRecord } from "./duty-ledger.js";
import type { DutyCommandOutcome, DutyOutcome, DutyOutput } from "./duty-outputs.js";
import type { DutySubject } from "./duty-records.js";
import { numberRanges } from "./number-ranges.js";

/** Identity and settings of the control machine that performs duties. */
export interface DutyMachine {
  /** Its name in the deployment. */
  readonly name: string;
  readonly bounds: DutyBounds;
  /** Random numbers from 0 to 1, for the jitter of pauses. */
  readonly random: () => number;
}

/** State that the acts of a subject depend on, at one moment. */
export interface SubjectSituation {
  readonly now: number;
  /** Position of this machine in the view of the control group. The first one (0) claims subjects that have no holder. */
  readonly place: number;
  /** The last committed record that this machine knows. */
  readonly record: DutyRecord | undefined;
  /** Acts of the subject that are due or open, ascending by number. */
  readonly acts: readonly DueAct[];
  /** Whether this machine's part of the call rate of the platform allows a call now. */
  readonly mayCall: boolean;
}

/** A round (a claim of one act) that was requested. */
interface Claim {
  readonly ticket: string;
  readonly act: ActName;
  /** When the round was requested, in monotonic ms; its validity starts here. */
  readonly askedAt: number;
}

/** A call in flight. */
interface Call {
  readonly act: ActName;
  readonly fence: number;
}

/** A round that this machine won. */
interface WonRound {
  readonly fence: number;
  readonly body: ActBody;
}

/**
 * Performs the acts of one subject, the oldest first: it claims a round, makes a call in it, and reports to the control group which
 * acts the platform accepted. While the platform has not answered a call, the next act may be claimed unless it supersedes that one. A round is valid for one call, and only for a short time after it was requested
 * (docs/design.md §14).
 */
export class SubjectPerformer {
  readonly #machine: DutyMachine;
  readonly #subject: DutySubject;
  readonly #backoff: Backoff;
  #claim: Claim | undefined;
  /** Calls in flight by ticket, at most one for an act. */
  readonly #calls = new Map<string, Call>();
  /** Acts that the platform accepted and that are not committed as finished yet, with the ticket of the command in progress. */
  readonly #acceptedActs = new Map<number, string | undefined>();
  /** The newest fencing number that this machine won. */
  #wonFence = 0;
  /** The fencing number that the platform rejected because it has seen a higher one. */
  #outdatedFence: number | undefined;
  /** Time of the last round in the record, of any holder, and when this machine saw it. */
  #seenRound = Number.NEGATIVE_INFINITY;
  #seenAt = Number.NEGATIVE_INFINITY;
  /** The lease of another holder does not end before this time. */
  #heldUntil = Number.NEGATIVE_INFINITY;
  /** Consecutive calls without an answer. */
  #consecutiveLostCalls = 0;
  /** This machine claims nothing before this time, so that another one can try. */
  #yieldsUntil = Number.NEGATIVE_INFINITY;
  #ticketNumber = 0;

  constructor(machine: DutyMachine, subject: DutySubject) {
    this.#machine = machine;
    this.#subject = subject;
    this.#backoff = new Backoff(machine.random);
  }

  /** Advances the clock; returns the commands that are due. */
  tick(situation: SubjectSituation): DutyOutput[] {
    this.#observeRound(situation);
    const outputs = this.#finishAccepted(situation);
    if (this.#claim !== undefined && situation.now > this.#freshUntil(this.#claim))
      this.#claim = undefined;
    if (this.#claim !== undefined || this.#calls.size >= this.#maxCalls) return outputs;
    const act = this.#nextAct(situation);
    if (act !== undefined && this.#mayClaim(act, situation))
      outputs.push(this.#requestRound(act, situation));
    return outputs;
  }

  #observeRound({ record, now }: SubjectSituation): void {
    if (record === undefined || record.at === this.#seenRound) return;
    this.#seenRound = record.at;
    this.#seenAt = now;
  }

  /**
   * Number of calls that may be in flight. An act must not overtake an older one that it supersedes. Acts that all count need not wait
   * for an answer that is slow; but each claim renews the lease, so a machine that may have lost the platform claims one at a time.
   */
  get #maxCalls(): number {
    const isOneByOne = isSuperseding(this.#subject.duty) || this.#consecutiveLostCalls > 0;
    return isOneByOne ? 1 : constants.maxDutyCallsInFlight;
  }

  /** The oldest act that the platform has not accepted and that no call in flight is for. */
  #nextAct({ record, acts }: SubjectSituation): DueAct | undefined {
    const candidates = isSuperseding(this.#subject.duty) ? acts.slice(-1) : acts;
    for (const act of candidates) {
      const isFinished = record !== undefined && numberRanges.has(record.finished, act.number);
      if (isFinished || this.#acceptedActs.has(act.number)) continue;
      if (!this.#isInFlight(act.number)) return act;
    }
    return undefined;
  }

  #isInFlight(number: number): boolean {
    for (const { act } of this.#calls.values()) if (act.number === number) return true;
    return false;
  }

  #mayClaim(act: DueAct, { record, place, now, mayCall }: SubjectSituation): boolean {
    if (!mayCall) return false;
    if (now < this.#yieldsUntil || !this.#backoff.isOver(now)) return false;
    if (this.#isHolder(record)) return true;
    if (record === undefined && place === 0) return true;
    const stagger = place * constants.takeoverStaggerMs;
    const isLeaseOver = now >= Math.max(this.#seenAt + this.#machine.bounds.lease, this.#heldUntil);
    return isLeaseOver && now >= act.takeoverAt + stagger;
  }

  /** Whether this machine won the last known round. Its own results may be newer than its copy of the record. */
  #isHolder(record: DutyRecord | undefined): boolean {
    if (record === undefined || record.fence < this.#wonFence) return this.#wonFence > 0;
    return record.holder === this.#machine.name;
  }

  #requestRound({ number, body }: DueAct, { record, now }: SubjectSituation): DutyOutput {
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

  /** The minimum for the next fencing number if the platform rejected the newest one of the ledger as too low. */
  #fenceAtLeast(record: DutyRecord | undefined): number | undefined {
    if (this.#outdatedFence === undefined || record === undefined) return undefined;
    const isNewest = record.holder === this.#machine.name && record.fence === this.#outdatedFence;
    return isNewest ? this.#outdatedFence * 2 : undefined;
  }

  /** When a round expires, in monotonic ms. */
  #freshUntil({ askedAt }: Claim): number {
    return askedAt + dutyBounds.roundValidityMs(this.#machine.bounds);
  }

  /** Handles the outcome of a command with a ticket of this subject. */
  handleCommandOutcome(ticket: string, outcome: DutyCommandOutcome, now: number): DutyOutput[] {
    this.#retryUncommitted(ticket, outcome);
    if (this.#claim?.ticket !== ticket) return [];
    const claim = this.#claim;
    this.#claim = undefined;
    if (outcome.kind !== "confirmed" || !isClaimResult(outcome.value)) {
      this.#backoff.failed(now);
      return [];
    }
    switch (outcome.value.kind) {
      case "ACT_FINISHED":
        this.#acceptedActs.set(claim.act.number, "known");
        return [];
      case "ACT_HELD":
        this.#wonFence = 0;
        this.#heldUntil = now + outcome.value.wait;
        return [];
      case "ACT_WON":
        return this.#startCall(claim, outcome.value, now);
    }
  }

  #startCall(claim: Claim, { fence, body }: WonRound, now: number): DutyOutput[] {
    this.#wonFence = fence;
    const sendBy = this.#freshUntil(claim);
    if (now > sendBy) return [];
    const { act } = claim;
    const ticket = this.#ticket();
    this.#calls.set(ticket, { act, fence });
    const holder = this.#machine.name;
    const patience = this.#callTimeoutMs;
    return [{ kind: "call", ticket, call: { act, body, holder, fence, sendBy, patience } }];
  }

  /** Timeout of the next call. It doubles after each call without an answer, as the platform may only be slow. */
  get #callTimeoutMs(): number {
    const timeoutMs = constants.dutyCallTimeoutMs * 2 ** this.#consecutiveLostCalls;
    return Math.min(timeoutMs, constants.maxDutyCallTimeoutMs);
  }

  /** Handles the outcome of a call with a ticket of this subject. */
  handleCallOutcome(ticket: string, outcome: DutyOutcome, now: number): DutyOutput[] {
    const call = this.#calls.get(ticket);
    if (call === undefined) return [];
    this.#calls.delete(ticket);
    const { act, fence } = call;
    switch (outcome) {
      case "taken":
      case "rejected":
        this.#backoff.succeeded();
        this.#consecutiveLostCalls = 0;
        this.#outdatedFence = undefined;
        this.#acceptedActs.set(act.number, undefined);
        return [this.#reportFinished(act.number)];
      case "outdated":
        this.#outdatedFence = fence;
        this.#backoff.pause(constants.outdatedFencePauseMs, now);
        return [];
      case "busy":
        this.#consecutiveLostCalls = 0;
        this.#backoff.failed(now);
        return [];
      case "lost":
      case "unsent":
        this.#handleLostCall(now);
        return [];
    }
  }

  /** Backs off after a call without an answer; after several in a row, lets the other machines try for a while. */
  #handleLostCall(now: number): void {
    this.#consecutiveLostCalls += 1;
    this.#backoff.failed(now);
    if (this.#consecutiveLostCalls % constants.unansweredCallsBeforeYield !== 0) return;
    this.#yieldsUntil = now + this.#machine.bounds.lease * constants.yieldDurationLeases;
  }

  /** Reports accepted acts that are not committed as finished, and forgets those that are. */
  #finishAccepted({ record }: SubjectSituation): DutyOutput[] {
    const outputs: DutyOutput[] = [];
    for (const [number, ticket] of this.#acceptedActs) {
      if (record !== undefined && numberRanges.has(record.finished, number))
        this.#acceptedActs.delete(number);
      else if (ticket === undefined) outputs.push(this.#reportFinished(number));
    }
    return outputs;
  }

  /** Reports to the control group that the platform accepted an act. */
  #reportFinished(number: number): DutyOutput {
    const ticket = this.#ticket();
    this.#acceptedActs.set(number, ticket);
    const holder = this.#machine.name;
    const command = { kind: "finish-act", ...this.#subject, number, holder } as const;
    return { kind: "inquire", ticket, command };
  }

  /** Marks acts whose report was not committed, so that the next tick reports them again. */
  #retryUncommitted(ticket: string, outcome: DutyCommandOutcome): void {
    if (outcome.kind === "confirmed") return;
    for (const [number, reportTicket] of this.#acceptedActs)
      if (reportTicket === ticket) this.#acceptedActs.set(number, undefined);
  }

  #ticket(): string {
    this.#ticketNumber += 1;
    return `${this.#subject.duty}/${this.#subject.subject}/${this.#ticketNumber}`;
  }
}
