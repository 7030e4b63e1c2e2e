import { constants, type ChainView, type QueueCommand } from "@chutewick/parts";
import { configuration, keys } from "@chutewick/control";
import type { AccessOutput } from "./access-output.js";
import type { Choice } from "./choice.js";
import type { PassEvent } from "./dialect.js";
import { PendingCalls } from "./pending-calls.js";
import type { Membership } from "./membership.js";
import type { LotHandedIn, LotTold } from "./pass.js";
import { PassDraw } from "./pass-draw.js";
import type { RelayCore } from "./relay-core.js";
import type { QueueOutcome } from "./queue-messages.js";

type Found = Extract<QueueOutcome, { kind: "confirmed" }>["value"];

/** Lots of passages at an access node, without I/O (docs/design.md §13.7). */
export class PassLots {
  #membership: Membership;
  #pendingCalls: PendingCalls;
  #relay: RelayCore;
  readonly dispatcher: PassDraw;
  /** In which queue a lot was seen. */
  #seenIn = new Map<string, string>();
  draining = false;

  constructor(
    membership: Membership,
    choice: Choice,
    pendingCalls: PendingCalls,
    relay: RelayCore,
  ) {
    this.#membership = membership;
    this.#relay = relay;
    this.#pendingCalls = pendingCalls;
    this.dispatcher = new PassDraw(membership, choice, pendingCalls);
  }

  handIn(ticket: string, { lot, host, path, entries }: LotHandedIn, now: number): AccessOutput[] {
    if (this.draining || !this.#membership.holds(now))
      return [
        told(ticket, {
          kind: "refused",
          room: false,
          retryAfter: constants.retryAfter,
          reason: "this access node is cut off from the control group or about to stop",
        }),
      ];
    const found = this.#relay.find(host, path);
    if (found === undefined || found.passage.kind !== "lot")
      return [told(ticket, { kind: "missing" })];
    const { name: way, passage } = found;
    const queue = configuration.queueFor(
      this.#membership.configuration.value,
      passage,
      entries[0]?.model,
    );
    const command: QueueCommand = {
      kind: "hand-in",
      lot,
      way,
      host,
      entries,
      allowance: passage.waitingTokens,
      goesMost: passage.goesMost,
      keeps: constants.lotDeadline,
    };
    const self = this;
    function ended(outcome: QueueOutcome): AccessOutput[] {
      if (outcome.kind === "unknown")
        return [told(ticket, { kind: "later", retryAfter: constants.retryAfter })];
      if (outcome.kind === "elsewhere")
        return [
          told(ticket, {
            kind: "refused",
            room: false,
            retryAfter: constants.retryAfter,
            reason: outcome.reason,
          }),
        ];
      if (outcome.value.kind === "HANDED") {
        self.#remember(lot, queue);
        return [told(ticket, { kind: "taken" })];
      }
      if (outcome.value.kind !== "NO_ROOM")
        return [told(ticket, { kind: "later", retryAfter: constants.retryAfter })];
      const { tokens, waiting, allowance, wait } = outcome.value;
      return [
        told(ticket, {
          kind: "refused",
          room: true,
          retryAfter:
            wait === undefined
              ? constants.retryAfter
              : Math.max(constants.emptyPause, wait) / 1_000,
          reason: `a lot of ${tokens} tokens does not fit: ${waiting} of ${allowance} wait`,
        }),
      ];
    }
    return this.#pendingCalls.ask(
      { queue, command, patience: constants.handInPatience, onResult: ended },
      now,
    );
  }

  #remember(lot: string, queue: string): void {
    this.#seenIn.delete(lot);
    this.#seenIn.set(lot, queue);
    if (this.#seenIn.size <= constants.lotsRemembered) return;
    for (const first of this.#seenIn.keys()) {
      this.#seenIn.delete(first);
      break;
    }
  }

  /** from: the first position wanted; hold in ms. */
  read(
    ticket: string,
    lot: string,
    _host: string,
    from: number,
    hold: number,
    now: number,
  ): AccessOutput[] {
    function found(value: Found): AccessOutput[] | undefined {
      if (value.kind !== "RESULTS") return undefined;
      return [
        told(ticket, {
          kind: "results",
          total: value.total,
          results: value.results,
          next: from + value.results.length,
        }),
      ];
    }
    return this.#seek(ticket, lot, { kind: "results", lot, from }, found, now, hold);
  }

  item(ticket: string, lot: string, item: string, now: number): AccessOutput[] {
    function found(value: Found): AccessOutput[] | undefined {
      return value.kind === "BODY"
        ? [told(ticket, { kind: "body", bytes: value.body })]
        : undefined;
    }
    return this.#seek(ticket, lot, { kind: "read-item", lot, item }, found, now);
  }

  end(ticket: string, lot: string, _host: string, now: number): AccessOutput[] {
    const self = this;
    function found(value: Found, later: number): AccessOutput[] | undefined {
      return value.kind === "ENDED"
        ? [told(ticket, { kind: "ended" }), ...self.dispatcher.ended(lot, later)]
        : undefined;
    }
    return this.#seek(ticket, lot, { kind: "end", lot }, found, now);
  }

  /** No queue stands in a lot's name: where it was seen is asked, or the owners of all queues of their kind, which are few. */
  #seek(
    ticket: string,
    lot: string,
    command: QueueCommand,
    found: (value: Found, now: number) => AccessOutput[] | undefined,
    now: number,
    hold = 0,
  ): AccessOutput[] {
    const queues: string[] = [];
    const seen = this.#seenIn.get(lot);
    if (seen !== undefined) queues.push(seen);
    else
      for (const [key] of this.#membership.follower.under<ChainView>(keys.queue)) {
        const queue = key.slice(keys.queue.length);
        if (configuration.isPoolQueue(queue)) queues.push(queue);
      }
    const self = this;
    let open = queues.length;
    let sure = this.#membership.holds(now);
    let ended = false;
    function close(): AccessOutput[] {
      ended = true;
      return [
        told(
          ticket,
          sure ? { kind: "missing" } : { kind: "later", retryAfter: constants.retryAfter },
        ),
      ];
    }
    if (open === 0) return close();
    const outputs: AccessOutput[] = [];
    for (const queue of queues) {
      function answered(outcome: QueueOutcome, later: number): AccessOutput[] {
        open -= 1;
        if (ended) return [];
        const result = outcome.kind === "confirmed" ? found(outcome.value, later) : undefined;
        if (result !== undefined) {
          ended = true;
          self.#remember(lot, queue);
          return result;
        }
        if (outcome.kind !== "confirmed") sure = false;
        /** That it stood nowhere counts only where this node knew of all queues all the while. */
        if (!self.#membership.holds(later)) sure = false;
        return open === 0 ? close() : [];
      }
      outputs.push(
        ...this.#pendingCalls.ask(
          {
            queue,
            command,
            patience: constants.readPatience + hold,
            hold,
            onResult: answered,
          },
          now,
        ),
      );
    }
    return outputs;
  }

  has(go: number): boolean {
    return this.dispatcher.has(go);
  }

  mayStart(go: number, now: number): string | undefined {
    return this.dispatcher.mayStart(go, now);
  }

  goEvent(go: number, event: PassEvent, now: number): AccessOutput[] {
    return this.dispatcher.goEvent(go, event, now);
  }

  /** An owner says that a lot is ended. */
  dropped(lot: string, now: number): AccessOutput[] {
    return this.dispatcher.ended(lot, now);
  }

  beat(now: number): AccessOutput[] {
    return this.dispatcher.beat(now);
  }

  /** A planned stop: no new work; what is under way goes on. */
  leave(): void {
    this.draining = true;
    this.dispatcher.leave();
  }
}

function told(ticket: string, what: LotTold): AccessOutput {
  return { kind: "lot-told", ticket, told: what };
}
