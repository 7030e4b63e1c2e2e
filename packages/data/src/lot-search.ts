/** Finds the queue that holds a lot of a passage, since the lot's name does not contain the queue (docs/design.md §13.7). */
import { constants, type QueueCommand, type QueueResult } from "@chutewick/parts";
import type { AccessOutput } from "./access-output.js";
import type { Membership } from "./membership.js";
import type { LotReply } from "./pass.js";
import type { PendingCalls } from "./pending-calls.js";
import { knownPoolQueues } from "./pool-queues.js";
import type { QueueOutcome } from "./queue-messages.js";

/** A command for the owner of a lot whose queue may not be known yet. */
export interface LotLookup {
  readonly ticket: string;
  readonly lot: string;
  readonly command: QueueCommand;
  /** How long the owner may hold the result back (long polling), in ms. */
  readonly hold: number;
  /** Turns the result of an owner into outputs; undefined if that owner does not have the lot. */
  readonly onFound: (value: QueueResult, now: number) => AccessOutput[] | undefined;
}

/** Progress of a lookup that was sent to one or more queue owners. */
interface LookupProgress {
  readonly lookup: LotLookup;
  /** Number of owners that have not answered. */
  open: number;
  /** Whether this node knew all queues throughout the lookup and every owner so far has answered. */
  isConclusive: boolean;
  isFinished: boolean;
}

/** Queries queue owners for lots and caches the queue in which each lot was found. */
export class LotSearch {
  #membership: Membership;
  #pendingCalls: PendingCalls;
  /** Queue of each known lot, least recently found first. */
  #queueByLot = new Map<string, string>();

  constructor(membership: Membership, pendingCalls: PendingCalls) {
    this.#membership = membership;
    this.#pendingCalls = pendingCalls;
  }

  remember(lot: string, queue: string): void {
    this.#queueByLot.delete(lot);
    this.#queueByLot.set(lot, queue);
    if (this.#queueByLot.size <= constants.maxRememberedLots) return;
    for (const oldest of this.#queueByLot.keys()) {
      this.#queueByLot.delete(oldest);
      break;
    }
  }

  /** Queries the cached queue of the lot, or else the owners of all pool queues, which are few. */
  run(lookup: LotLookup, now: number): AccessOutput[] {
    const queues = this.#queuesOf(lookup.lot);
    const progress: LookupProgress = {
      lookup,
      open: queues.length,
      isConclusive: this.#membership.holds(now),
      isFinished: false,
    };
    if (queues.length === 0) return finishNotFound(progress);
    const outputs: AccessOutput[] = [];
    for (const queue of queues) outputs.push(...this.#queryOwner(queue, progress, now));
    return outputs;
  }

  #queuesOf(lot: string): string[] {
    const cached = this.#queueByLot.get(lot);
    if (cached !== undefined) return [cached];
    return knownPoolQueues(this.#membership);
  }

  #queryOwner(queue: string, progress: LookupProgress, now: number): AccessOutput[] {
    const { command, hold } = progress.lookup;
    const patience = constants.readTimeoutMs + hold;
    const onResult = (outcome: QueueOutcome, later: number): AccessOutput[] =>
      this.#handleAnswer(queue, progress, outcome, later);
    return this.#pendingCalls.start({ queue, command, patience, hold, onResult }, now);
  }

  #handleAnswer(
    queue: string,
    progress: LookupProgress,
    outcome: QueueOutcome,
    now: number,
  ): AccessOutput[] {
    progress.open -= 1;
    if (progress.isFinished) return [];
    const { lot, onFound } = progress.lookup;
    const found = outcome.kind === "confirmed" ? onFound(outcome.value, now) : undefined;
    if (found !== undefined) {
      progress.isFinished = true;
      this.remember(lot, queue);
      return found;
    }
    if (outcome.kind !== "confirmed") progress.isConclusive = false;
    // "Not found" is conclusive only if this node knew all queues throughout the lookup.
    if (!this.#membership.holds(now)) progress.isConclusive = false;
    return progress.open === 0 ? finishNotFound(progress) : [];
  }
}

/** Ends a lookup for which no owner returned the lot. */
function finishNotFound(progress: LookupProgress): AccessOutput[] {
  progress.isFinished = true;
  return [
    lotReply(
      progress.lookup.ticket,
      progress.isConclusive
        ? { kind: "missing" }
        : { kind: "later", retryAfter: constants.retryAfter },
    ),
  ];
}

/** Builds the reply to a caller of a lot operation. */
export function lotReply(ticket: string, reply: LotReply): AccessOutput {
  return { kind: "lot-told", ticket, told: reply };
}
