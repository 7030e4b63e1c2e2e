import { constants, type ChainView, type QueueCommand } from "@chutewick/parts";
import { keys } from "@chutewick/control";
import type { AccessOutput } from "./access-core.js";
import type { Membership } from "./membership.js";
import type { QueueOutcome } from "./storage-core.js";

/** since: the moment of the asking, which no stamp of the owner comes before. */
export type PendingCallEnded = (
  outcome: QueueOutcome,
  now: number,
  since: number,
) => AccessOutput[];

/** A request to a queue's owner, sent again while that cannot do harm (docs/design.md §5.2). */
export interface PendingCall {
  readonly queue: string;
  readonly command: QueueCommand;
  readonly since: number;
  readonly patience: number;
  readonly hold: number;
  readonly told: PendingCallEnded;
  sentTo: string | undefined;
  sentAt: number;
  /** Whether some owner may have taken it without our hearing. */
  doubtful: boolean;
}

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

  /** hold in ms: the owner may keep the result back so long. */
  ask(
    queue: string,
    command: QueueCommand,
    patience: number,
    told: PendingCallEnded,
    now: number,
    hold = 0,
  ): AccessOutput[] {
    const ticket = this.ticket();
    const pendingCall: PendingCall = {
      queue,
      command: command.kind === "hand-in" ? { ...command, ticket } : command,
      since: now,
      patience,
      hold,
      told,
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

  /** undefined where nobody waits for it any more. */
  told(ticket: string, ended: QueueOutcome, now: number, held = 0): AccessOutput[] | undefined {
    const pendingCall = this.#pendingCalls.get(ticket);
    if (pendingCall === undefined) return undefined;
    const late = now - pendingCall.since >= pendingCall.patience;
    if (ended.kind === "unknown") pendingCall.doubtful = true;
    if (ended.kind !== "confirmed" && !late && !isOnce(pendingCall.command)) {
      /** Taken nowhere, or idempotent by its key: looked for again at the next beat. */
      pendingCall.sentTo = undefined;
      pendingCall.sentAt = now;
      return [];
    }
    this.#pendingCalls.delete(ticket);
    /** A refusal is final only if no earlier send of this pending call may still be taken. */
    const refusal =
      ended.kind === "elsewhere" ||
      (ended.kind === "confirmed" &&
        (ended.value.kind === "FULL" ||
          (ended.value.kind === "NO_ROOM" && ended.value.final !== true)));
    return pendingCall.told(
      refusal && pendingCall.doubtful ? { kind: "unknown" } : ended,
      now,
      pendingCall.since + held,
    );
  }

  beat(now: number): AccessOutput[] {
    const outputs: AccessOutput[] = [];
    const near = this.#membership.holds(now);
    for (const [ticket, pendingCall] of [...this.#pendingCalls]) {
      /** A node that heard nothing of its owner and lost its lease is cut off: the caller does better at another. */
      const hopeless = !near && pendingCall.doubtful && pendingCall.command.kind === "hand-in";
      if (now - pendingCall.since >= pendingCall.patience || hopeless) {
        this.#pendingCalls.delete(ticket);
        outputs.push(
          ...pendingCall.told(
            pendingCall.sentTo !== undefined || pendingCall.doubtful
              ? { kind: "unknown" }
              : { kind: "elsewhere", reason: "the queue's owner cannot be reached" },
            now,
            pendingCall.since,
          ),
        );
      } else if (
        pendingCall.sentTo === undefined
          ? now - pendingCall.sentAt >= constants.ownerRetry
          : !isOnce(pendingCall.command) &&
            now - pendingCall.sentAt >= constants.grantLasts + pendingCall.hold
      ) {
        if (pendingCall.sentTo !== undefined) pendingCall.doubtful = true;
        outputs.push(...this.#send(ticket, pendingCall, now));
      }
    }
    return outputs;
  }
}

/** A draw asked for twice would take two prompts. */
function isOnce(command: QueueCommand): boolean {
  return command.kind === "pop" || command.kind === "draw";
}
