/** Calls to the owners of queues, resent until they have a result or time out (docs/design.md §5.2). */
import { constants, type ChainView, type QueueCommand } from "@chutewick/parts";
import { keys } from "@chutewick/control";
import type { AccessOutput } from "./access-output.js";
import type { Membership } from "./membership.js";
import type { QueueOutcome } from "./queue-messages.js";

/** Handles the result of a call. `askedAt` is a monotonic time (ms) before which the owner cannot have set any timestamp of the result. */
export type QueueResultHandler = (
  outcome: QueueOutcome,
  now: number,
  askedAt: number,
) => AccessOutput[];

/** A call to the owner of a queue. */
export interface QueueCall {
  readonly queue: string;
  readonly command: QueueCommand;
  /** Timeout (ms) of the call. */
  readonly patience: number;
  /** Time (ms) for which the owner may hold the call open (long polling); 0 by default. */
  readonly hold?: number;
  readonly onResult: QueueResultHandler;
}

/** A call under way; resent where a repetition does no harm. */
export interface PendingCall extends QueueCall {
  /** Monotonic time (ms) at which the call was made. */
  readonly since: number;
  readonly hold: number;
  /** Address of the owner that it was last sent to; undefined where it is to be sent again. */
  sentTo: string | undefined;
  sentAt: number;
  /** Whether an owner may have accepted it without its reply being received. */
  mayBeAccepted: boolean;
}

/** All pending calls of one access node to owners of queues. */
export class PendingCalls {
  #membership: Membership;
  #pendingCalls = new Map<string, PendingCall>();
  #number = 0;

  constructor(membership: Membership) {
    this.#membership = membership;
  }

  /** Number of pending calls. */
  get size(): number {
    return this.#pendingCalls.size;
  }

  values(): IterableIterator<PendingCall> {
    return this.#pendingCalls.values();
  }

  /** Sends a call; its handler is called exactly once. */
  start(call: QueueCall, now: number): AccessOutput[] {
    const ticket = this.ticket();
    const { command } = call;
    const pendingCall: PendingCall = {
      queue: call.queue,
      command: command.kind === "hand-in" ? { ...command, ticket } : command,
      patience: call.patience,
      hold: call.hold ?? 0,
      onResult: call.onResult,
      since: now,
      sentTo: undefined,
      sentAt: now,
      mayBeAccepted: false,
    };
    this.#pendingCalls.set(ticket, pendingCall);
    return this.#send(ticket, pendingCall, now);
  }

  /** @returns a new ticket, unique for this node */
  ticket(): string {
    this.#number += 1;
    return `${this.#membership.identity}/${this.#number}`;
  }

  /** Address of the owner of a queue, as far as this node knows. */
  ownerOf(queue: string): string | undefined {
    return this.#membership.follower.read<ChainView>(keys.queue + queue)?.members[0]?.address;
  }

  #send(ticket: string, pendingCall: PendingCall, now: number): AccessOutput[] {
    pendingCall.sentAt = now;
    const owner = this.ownerOf(pendingCall.queue);
    pendingCall.sentTo = owner;
    if (owner === undefined) return [];
    // Earlier copies may still be in transit; `final` makes a refusal apply to them as well.
    const command =
      pendingCall.mayBeAccepted && pendingCall.command.kind === "hand-in"
        ? { ...pendingCall.command, final: true }
        : pendingCall.command;
    const remainingHold = Math.max(
      0,
      Math.min(pendingCall.hold, pendingCall.since + pendingCall.hold - now),
    );
    return [
      {
        kind: "send",
        to: owner,
        message: {
          kind: "queue-inquiry",
          ticket,
          queue: pendingCall.queue,
          command,
          ...(remainingHold > 0 ? { hold: remainingHold } : {}),
        },
      },
    ];
  }

  /** Handles an owner's reply, which it held back for `held` ms. @returns undefined where the call is no longer pending */
  handleResult(
    ticket: string,
    outcome: QueueOutcome,
    now: number,
    held: number,
  ): AccessOutput[] | undefined {
    const pendingCall = this.#pendingCalls.get(ticket);
    if (pendingCall === undefined) return undefined;
    const isLate = now - pendingCall.since >= pendingCall.patience;
    if (outcome.kind === "unknown") pendingCall.mayBeAccepted = true;
    if (outcome.kind !== "confirmed" && !isLate && !mustNotRepeat(pendingCall.command)) {
      // Accepted by no owner, or idempotent by its key: a later tick sends it again.
      pendingCall.sentTo = undefined;
      pendingCall.sentAt = now;
      return [];
    }
    this.#pendingCalls.delete(ticket);
    // A refusal is final only if no earlier copy of this call may still be accepted.
    const isRefusal =
      outcome.kind === "elsewhere" ||
      (outcome.kind === "confirmed" &&
        (outcome.value.kind === "FULL" ||
          (outcome.value.kind === "NO_ROOM" && outcome.value.final !== true)));
    return pendingCall.onResult(
      isRefusal && pendingCall.mayBeAccepted ? { kind: "unknown" } : outcome,
      now,
      pendingCall.since + held,
    );
  }

  /** Ends calls that timed out, and resends the others where that is allowed. */
  beat(now: number): AccessOutput[] {
    const outputs: AccessOutput[] = [];
    const holdsLease = this.#membership.holds(now);
    for (const [ticket, pendingCall] of [...this.#pendingCalls]) {
      if (hasExpired(pendingCall, holdsLease, now)) {
        this.#pendingCalls.delete(ticket);
        outputs.push(
          ...pendingCall.onResult(outcomeWithoutReply(pendingCall), now, pendingCall.since),
        );
      } else if (this.#shouldResend(pendingCall, now)) {
        if (pendingCall.sentTo !== undefined) pendingCall.mayBeAccepted = true;
        outputs.push(...this.#send(ticket, pendingCall, now));
      }
    }
    return outputs;
  }

  #shouldResend(pendingCall: PendingCall, now: number): boolean {
    const { sentTo, sentAt, command, queue, hold } = pendingCall;
    const sinceSent = now - sentAt;
    if (sentTo === undefined) return sinceSent >= constants.ownerRetryDelayMs;
    if (mustNotRepeat(command)) return false;
    // The addressee is no longer the owner and may never reply.
    if (this.ownerOf(queue) !== sentTo) return sinceSent >= constants.ownerRetryDelayMs;
    return sinceSent >= constants.grantDurationMs + hold;
  }
}

/**
 * Whether a call ends without a reply: at its timeout, or as soon as a submission is unanswered and the node has lost its lease.
 * Such a node is partitioned, and its caller should try another node.
 */
function hasExpired(pendingCall: PendingCall, holdsLease: boolean, now: number): boolean {
  const isCutOff =
    !holdsLease && pendingCall.mayBeAccepted && pendingCall.command.kind === "hand-in";
  return now - pendingCall.since >= pendingCall.patience || isCutOff;
}

/** Outcome of a call that no owner replied to. */
function outcomeWithoutReply(pendingCall: PendingCall): QueueOutcome {
  return pendingCall.sentTo !== undefined || pendingCall.mayBeAccepted
    ? { kind: "unknown" }
    : { kind: "elsewhere", reason: "the queue's owner cannot be reached" };
}

/** Whether a repetition does harm: a repeated dequeue command would take two prompts. */
function mustNotRepeat(command: QueueCommand): boolean {
  return command.kind === "pop" || command.kind === "draw";
}
