/** How items of lots of passages ended, as far as their owners have not taken it for good (docs/design.md §13.7). */
import { constants, type Claim, type PassEnding } from "@chutewick/parts";
import type { AccessOutput } from "./access-output.js";
import type { PendingCalls } from "./pending-calls.js";
import type { QueueOutcome } from "./queue-messages.js";

/** How one item ended. */
export interface ItemEnding {
  readonly claim: Claim;
  readonly ending: PassEnding;
  /** Moment from which the item may be given up whatever became of it. */
  readonly until: number;
}

interface QueueEndings {
  pending: ItemEnding[];
  /** What the owner is hearing now. */
  sent: readonly ItemEnding[];
}

/** Tells each owner of one message at a time: what ends while the owner works goes into the next together. */
export class ItemEndings {
  #pendingCalls: PendingCalls;
  #queues = new Map<string, QueueEndings>();

  constructor(pendingCalls: PendingCalls) {
    this.#pendingCalls = pendingCalls;
  }

  add(queue: string, ending: ItemEnding, now: number): AccessOutput[] {
    let endings = this.#queues.get(queue);
    if (endings === undefined) {
      endings = { pending: [], sent: [] };
      this.#queues.set(queue, endings);
    }
    endings.pending.push(ending);
    return this.#send(queue, endings, now);
  }

  /** Claims whose ends no owner has taken for good, by their queues. */
  *claims(): Generator<readonly [queue: string, claim: Claim]> {
    for (const [queue, { pending, sent }] of this.#queues)
      for (const { claim } of [...pending, ...sent]) yield [queue, claim];
  }

  #send(queue: string, endings: QueueEndings, now: number): AccessOutput[] {
    if (endings.sent.length > 0 || endings.pending.length === 0) return [];
    endings.sent = endings.pending;
    endings.pending = [];
    const onResult = (outcome: QueueOutcome, later: number): AccessOutput[] => {
      /** What no owner has taken for good is told again: by its claim it counts once. Signs of life hold the claim meanwhile. */
      if (outcome.kind !== "confirmed")
        for (const each of endings.sent) if (later < each.until) endings.pending.push(each);
      endings.sent = [];
      return this.#send(queue, endings, later);
    };
    const command = { kind: "settle", endings: withoutDeadlines(endings.sent) } as const;
    const patience = constants.ownerPatience;
    return this.#pendingCalls.ask({ queue, command, patience, onResult }, now);
  }
}

function withoutDeadlines(endings: readonly ItemEnding[]): { claim: Claim; ending: PassEnding }[] {
  const bare: { claim: Claim; ending: PassEnding }[] = [];
  for (const { claim, ending } of endings) bare.push({ claim, ending });
  return bare;
}
