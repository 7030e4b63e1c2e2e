/** Finds the queue of a passage's lot, as no queue stands in the lot's name (docs/design.md §13.7). */
import { constants, type ChainView, type QueueCommand, type QueueResult } from "@chutewick/parts";
import { configuration, keys } from "@chutewick/control";
import type { AccessOutput } from "./access-output.js";
import type { Membership } from "./membership.js";
import type { LotTold } from "./pass.js";
import type { PendingCalls } from "./pending-calls.js";
import type { QueueOutcome } from "./queue-messages.js";

/** What is asked of the owner of a lot, wherever it is. */
export interface LotQuestion {
  readonly ticket: string;
  readonly lot: string;
  readonly command: QueueCommand;
  /** ms that the owner may keep the result back. */
  readonly hold: number;
  /** What follows from an owner's word; undefined where that owner does not have the lot. */
  readonly onFound: (value: QueueResult, now: number) => AccessOutput[] | undefined;
}

/** What became of a question that several owners were asked. */
interface Search {
  readonly question: LotQuestion;
  /** Owners that have not answered. */
  open: number;
  /** Whether this node knew of all queues all the while, and every owner answered. */
  isSure: boolean;
  isOver: boolean;
}

/** Asks owners for lots, and remembers where lots were seen. */
export class LotSearch {
  #membership: Membership;
  #pendingCalls: PendingCalls;
  /** In which queue a lot was seen, the one seen last at the end. */
  #seenIn = new Map<string, string>();

  constructor(membership: Membership, pendingCalls: PendingCalls) {
    this.#membership = membership;
    this.#pendingCalls = pendingCalls;
  }

  remember(lot: string, queue: string): void {
    this.#seenIn.delete(lot);
    this.#seenIn.set(lot, queue);
    if (this.#seenIn.size <= constants.lotsRemembered) return;
    for (const oldest of this.#seenIn.keys()) {
      this.#seenIn.delete(oldest);
      break;
    }
  }

  /** Asks where the lot was seen, or the owners of all queues of its kind, which are few. */
  ask(question: LotQuestion, now: number): AccessOutput[] {
    const queues = this.#queuesOf(question.lot);
    const search: Search = {
      question,
      open: queues.length,
      isSure: this.#membership.holds(now),
      isOver: false,
    };
    if (queues.length === 0) return close(search);
    const outputs: AccessOutput[] = [];
    for (const queue of queues) outputs.push(...this.#askOwner(queue, search, now));
    return outputs;
  }

  #queuesOf(lot: string): string[] {
    const seen = this.#seenIn.get(lot);
    if (seen !== undefined) return [seen];
    const queues: string[] = [];
    for (const [key] of this.#membership.follower.under<ChainView>(keys.queue)) {
      const queue = key.slice(keys.queue.length);
      if (configuration.isPoolQueue(queue)) queues.push(queue);
    }
    return queues;
  }

  #askOwner(queue: string, search: Search, now: number): AccessOutput[] {
    const { command, hold } = search.question;
    const patience = constants.readPatience + hold;
    const onResult = (outcome: QueueOutcome, later: number): AccessOutput[] =>
      this.#answered(queue, search, outcome, later);
    return this.#pendingCalls.ask({ queue, command, patience, hold, onResult }, now);
  }

  #answered(queue: string, search: Search, outcome: QueueOutcome, now: number): AccessOutput[] {
    search.open -= 1;
    if (search.isOver) return [];
    const { lot, onFound } = search.question;
    const found = outcome.kind === "confirmed" ? onFound(outcome.value, now) : undefined;
    if (found !== undefined) {
      search.isOver = true;
      this.remember(lot, queue);
      return found;
    }
    if (outcome.kind !== "confirmed") search.isSure = false;
    /** That it stood nowhere counts only where this node knew of all queues all the while. */
    if (!this.#membership.holds(now)) search.isSure = false;
    return search.open === 0 ? close(search) : [];
  }
}

/** No owner has the lot. */
function close(search: Search): AccessOutput[] {
  search.isOver = true;
  return [
    lotTold(
      search.question.ticket,
      search.isSure ? { kind: "missing" } : { kind: "later", retryAfter: constants.retryAfter },
    ),
  ];
}

/** Tells a caller what became of its request on a lot. */
export function lotTold(ticket: string, told: LotTold): AccessOutput {
  return { kind: "lot-told", ticket, told };
}
