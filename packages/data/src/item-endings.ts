/** Ends of items that the owners of their queues have not committed yet (docs/design.md §13.7). */
import { constants, type Claim, type PassEnding } from "@chutewick/parts";
import type { AccessOutput } from "./access-output.js";
import type { PendingCalls } from "./pending-calls.js";
import type { QueueOutcome } from "./queue-messages.js";

/** How one item ended. */
export interface ItemEnding {
  readonly claim: Claim;
  readonly ending: PassEnding;
  /** Time from which the owner may give the item up, however it ended. */
  readonly until: number;
}

/** Uncommitted endings of one queue. */
interface QueueEndings {
  pending: ItemEnding[];
  /** Endings in the request to the owner that is in flight. */
  sent: readonly ItemEnding[];
}

/** Reports endings with one request at a time per queue; those added meanwhile are batched into the next one. */
export class ItemEndings {
  #pendingCalls: PendingCalls;
  #queues = new Map<string, QueueEndings>();

  constructor(pendingCalls: PendingCalls) {
    this.#pendingCalls = pendingCalls;
  }

  /** Adds an ending and reports it to the queue's owner as soon as possible. */
  add(queue: string, ending: ItemEnding, now: number): AccessOutput[] {
    let endings = this.#queues.get(queue);
    if (endings === undefined) {
      endings = { pending: [], sent: [] };
      this.#queues.set(queue, endings);
    }
    endings.pending.push(ending);
    return this.#send(queue, endings, now);
  }

  /** Claims with uncommitted endings, with their queues. */
  *claims(): Generator<readonly [queue: string, claim: Claim]> {
    for (const [queue, { pending, sent }] of this.#queues)
      for (const { claim } of [...pending, ...sent]) yield [queue, claim];
  }

  #send(queue: string, endings: QueueEndings, now: number): AccessOutput[] {
    if (endings.sent.length > 0 || endings.pending.length === 0) return [];
    endings.sent = endings.pending;
    endings.pending = [];
    const onResult = (outcome: QueueOutcome, later: number): AccessOutput[] => {
      // Uncommitted endings are reported again; the claim makes this idempotent, and heartbeats keep it alive meanwhile.
      if (outcome.kind !== "confirmed")
        for (const unsettled of endings.sent)
          if (later < unsettled.until) endings.pending.push(unsettled);
      endings.sent = [];
      return this.#send(queue, endings, later);
    };
    const command = { kind: "settle", endings: withoutDeadlines(endings.sent) } as const;
    const patience = constants.ownerTimeoutMs;
    return this.#pendingCalls.start({ queue, command, patience, onResult }, now);
  }
}

function withoutDeadlines(endings: readonly ItemEnding[]): { claim: Claim; ending: PassEnding }[] {
  const settlements: { claim: Claim; ending: PassEnding }[] = [];
  for (const { claim, ending } of endings) settlements.push({ claim, ending });
  return settlements;
}
