import { constants } from "@chutewick/parts";
import type { ControlOutcome } from "./control-messages.js";
import { isIdempotent, type ControlCommand } from "./machine.js";

/** A request that arrived at this machine and is forwarded to the head of the control group. */
interface ForwardedRequest {
  /** Ticket of the requester. */
  readonly ticket: string;
  readonly command: ControlCommand;
  /** Monotonic time in ms at which the request arrived. */
  readonly since: number;
  /** Monotonic time in ms at which it was last sent to a head. */
  sentAt: number;
  /** Address of the head that it was sent to. */
  to: string | undefined;
  /** Number of times that it was sent to a head. */
  attempts: number;
  /** Number of times that a head rejected it since its disk refused writes. */
  diskRejections: number;
}

/** Outcome of a request that the head rejects since its disk refuses writes. */
export const unwritableOutcome: ControlOutcome = {
  kind: "not-run",
  reason: "the disk of the head of the control group takes no writes",
  isUnwritable: true,
};

/** A forwarded request that has timed out or has a definite outcome. */
export interface EndedRequest {
  readonly ticket: string;
  readonly outcome: ControlOutcome;
}

/**
 * Pending requests that were forwarded to the head. An idempotent request is retried, also at a new head, until it has a definite
 * outcome or `commitTimeoutMs` has passed; any other request is sent once.
 */
export class Forwarding {
  /** Prefix of request ids; it prevents results for an earlier process from being mistaken for results of this one. */
  readonly #incarnation: string;
  readonly #pending = new Map<string, ForwardedRequest>();
  #lastNumber = 0;

  constructor(incarnation: string) {
    this.#incarnation = incarnation;
  }

  /** Adds a request and returns the id under which it is forwarded. */
  add(ticket: string, command: ControlCommand, now: number): string {
    this.#lastNumber += 1;
    const id = `${this.#incarnation}/${this.#lastNumber}`;
    this.#pending.set(id, {
      ticket,
      command,
      since: now,
      sentAt: now,
      to: undefined,
      attempts: 0,
      diskRejections: 0,
    });
    return id;
  }

  /** Records that the request is sent to a head now, and returns its command; undefined if it has been answered meanwhile. */
  send(id: string, to: string | undefined, now: number): ControlCommand | undefined {
    const forwarded = this.#pending.get(id);
    if (forwarded === undefined) return undefined;
    forwarded.sentAt = now;
    forwarded.to = to;
    forwarded.attempts += 1;
    return forwarded.command;
  }

  /**
   * Handles the head's answer; returns undefined if the request is unknown here or will be retried. A request ends at once if every
   * attempt was rejected by a disk that refused writes and no other member can replace that head.
   */
  answered(id: string, outcome: ControlOutcome, canReplaceHead: boolean): EndedRequest | undefined {
    const forwarded = this.#pending.get(id);
    if (forwarded === undefined) return undefined;
    if (outcome.kind === "not-run" && outcome.isUnwritable === true) forwarded.diskRejections += 1;
    const cannotSucceed = wasNeverSubmitted(forwarded) && !canReplaceHead;
    const isRetried = isIdempotent(forwarded.command) && !cannotSucceed;
    if (outcome.kind !== "confirmed" && isRetried) return undefined;
    this.#pending.delete(id);
    return { ticket: forwarded.ticket, outcome };
  }

  /** Removes and returns the requests that have timed out. */
  expire(now: number): EndedRequest[] {
    const ended: EndedRequest[] = [];
    for (const [id, forwarded] of this.#pending) {
      if (now - forwarded.since <= constants.commitTimeoutMs) continue;
      this.#pending.delete(id);
      const outcome: ControlOutcome = wasNeverSubmitted(forwarded)
        ? unwritableOutcome
        : { kind: "unknown" };
      ended.push({ ticket: forwarded.ticket, outcome });
    }
    return ended;
  }

  /** Ids of the requests to retry: their retry interval has passed, or there is a new head. */
  due(head: string | undefined, now: number): string[] {
    const due: string[] = [];
    for (const [id, { command, sentAt, to }] of this.#pending) {
      const isOverdue = now - sentAt > constants.forwardRetryIntervalMs;
      const isHeadChanged = head !== undefined && head !== to;
      if (isIdempotent(command) && (isOverdue || isHeadChanged)) due.push(id);
    }
    return due;
  }
}

/** Whether every attempt was rejected since the head's disk refused writes. */
function wasNeverSubmitted({ attempts, diskRejections }: ForwardedRequest): boolean {
  return diskRejections === attempts;
}
