/** Requests to owners of queues that have no result yet (docs/design.md §5.2). */
import { constants, type ChainView, type QueueCommand } from "@chutewick/parts";
import { keys } from "@chutewick/control";
import type { AccessOutput } from "./access-output.js";
import type { Membership } from "./membership.js";
import type { QueueOutcome } from "./queue-messages.js";

/** Takes the result of a call. askedAt: the moment of the asking, which no stamp of the owner comes before. */
export type QueueResultHandler = (
  outcome: QueueOutcome,
  now: number,
  askedAt: number,
) => AccessOutput[];

/** A call as its maker words it. */
export interface QueueCall {
  readonly queue: string;
  readonly command: QueueCommand;
  /** ms after which the call ends without a result. */
  readonly patience: number;
  /** ms that the owner may keep the result back; none where it is left out. */
  readonly hold?: number;
  readonly onResult: QueueResultHandler;
}

/** A call under way, sent again while that cannot do harm. */
export interface PendingCall extends QueueCall {
  readonly since: number;
  readonly hold: number;
  sentTo: string | undefined;
  sentAt: number;
  /** Whether some owner may have taken it without our hearing. */
  doubtful: boolean;
}

/** All calls of one access node to owners of queues. */
export class PendingCalls {
  #membership: Membership;
  #pendingCalls = new Map<string, PendingCall>();
  #number = 0;

  constructor(membership: Membership) {
    this.#membership = membership;
  }

  get size(): number {
    return this.#pendingCalls.size;
  }

  values(): IterableIterator<PendingCall> {
    return this.#pendingCalls.values();
  }

  /** Begins a call; its handler is called exactly once. */
  ask(call: QueueCall, now: number): AccessOutput[] {
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
      doubtful: false,
    };
    this.#pendingCalls.set(ticket, pendingCall);
    return this.#send(ticket, pendingCall, now);
  }

  /** Never used twice by this node. */
  ticket(): string {
    this.#number += 1;
    return `${this.#membership.identity}/${this.#number}`;
  }

  owner(queue: string): string | undefined {
    return this.#membership.follower.read<ChainView>(keys.queue + queue)?.members[0]?.address;
  }

  #send(ticket: string, pendingCall: PendingCall, now: number): AccessOutput[] {
    pendingCall.sentAt = now;
    const owner = this.owner(pendingCall.queue);
    pendingCall.sentTo = owner;
    if (owner === undefined) return [];
    /** Earlier sendings may be on their way: a refusal of this one is to hold for them too. */
    const command =
      pendingCall.doubtful && pendingCall.command.kind === "hand-in"
        ? { ...pendingCall.command, final: true }
        : pendingCall.command;
    const left = Math.max(
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
          ...(left > 0 ? { hold: left } : {}),
        },
      },
    ];
  }

  /** An owner's word on a call; undefined where nobody waits for it any more. held in ms: how long the owner kept the request. */
  ended(
    ticket: string,
    outcome: QueueOutcome,
    now: number,
    held: number,
  ): AccessOutput[] | undefined {
    const pendingCall = this.#pendingCalls.get(ticket);
    if (pendingCall === undefined) return undefined;
    const isLate = now - pendingCall.since >= pendingCall.patience;
    if (outcome.kind === "unknown") pendingCall.doubtful = true;
    if (outcome.kind !== "confirmed" && !isLate && !isOnce(pendingCall.command)) {
      /** Taken nowhere, or idempotent by its key: looked for again at the next beat. */
      pendingCall.sentTo = undefined;
      pendingCall.sentAt = now;
      return [];
    }
    this.#pendingCalls.delete(ticket);
    /** A refusal is final only if no earlier send of this pending call may still be taken. */
    const isRefusal =
      outcome.kind === "elsewhere" ||
      (outcome.kind === "confirmed" &&
        (outcome.value.kind === "FULL" ||
          (outcome.value.kind === "NO_ROOM" && outcome.value.final !== true)));
    return pendingCall.onResult(
      isRefusal && pendingCall.doubtful ? { kind: "unknown" } : outcome,
      now,
      pendingCall.since + held,
    );
  }

  /** Ends the calls whose patience is over, and sends again what may be sent again. */
  beat(now: number): AccessOutput[] {
    const outputs: AccessOutput[] = [];
    const holdsLease = this.#membership.holds(now);
    for (const [ticket, pendingCall] of [...this.#pendingCalls]) {
      if (isOver(pendingCall, holdsLease, now)) {
        this.#pendingCalls.delete(ticket);
        outputs.push(...pendingCall.onResult(outcomeUnheard(pendingCall), now, pendingCall.since));
      } else if (this.#isDueAgain(pendingCall, now)) {
        if (pendingCall.sentTo !== undefined) pendingCall.doubtful = true;
        outputs.push(...this.#send(ticket, pendingCall, now));
      }
    }
    return outputs;
  }

  #isDueAgain(pendingCall: PendingCall, now: number): boolean {
    const { sentTo, sentAt, command, queue, hold } = pendingCall;
    const unanswered = now - sentAt;
    if (sentTo === undefined) return unanswered >= constants.ownerRetry;
    if (isOnce(command)) return false;
    /** Whoever it was sent to is the owner no more, and may never answer. */
    if (this.owner(queue) !== sentTo) return unanswered >= constants.ownerRetry;
    return unanswered >= constants.grantLasts + hold;
  }
}

/** A node that heard nothing of its owner and lost its lease is cut off: the caller does better at another. */
function isOver(pendingCall: PendingCall, holdsLease: boolean, now: number): boolean {
  const isHopeless = !holdsLease && pendingCall.doubtful && pendingCall.command.kind === "hand-in";
  return now - pendingCall.since >= pendingCall.patience || isHopeless;
}

function outcomeUnheard(pendingCall: PendingCall): QueueOutcome {
  return pendingCall.sentTo !== undefined || pendingCall.doubtful
    ? { kind: "unknown" }
    : { kind: "elsewhere", reason: "the queue's owner cannot be reached" };
}

/** A draw asked for twice would take two prompts. */
function isOnce(command: QueueCommand): boolean {
  return command.kind === "pop" || command.kind === "draw";
}
