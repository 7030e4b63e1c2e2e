import { constants, type ChainView, type QueueCommand } from "@chutewick/parts";
import { keys } from "@chutewick/control";
import type { AccessOutput } from "./access-core.js";
import type { Membership } from "./membership.js";
import type { QueueOutcome } from "./storage-core.js";

/** since: the moment of the asking, which no stamp of the owner comes before. */
export type ErrandTold = (outcome: QueueOutcome, now: number, since: number) => AccessOutput[];

/** A request to a queue's owner, sent again while that cannot do harm (docs/design.md §5.2). */
export interface Errand {
  readonly queue: string;
  readonly command: QueueCommand;
  readonly since: number;
  readonly patience: number;
  readonly hold: number;
  readonly told: ErrandTold;
  sentTo: string | undefined;
  sentAt: number;
  /** Whether some owner may have taken it without our hearing. */
  doubtful: boolean;
}

export class Errands {
  #membership: Membership;
  #errands = new Map<string, Errand>();
  #number = 0;

  constructor(membership: Membership) {
    this.#membership = membership;
  }

  get size(): number {
    return this.#errands.size;
  }

  values(): IterableIterator<Errand> {
    return this.#errands.values();
  }

  /** hold in ms: the owner may keep the result back so long. */
  ask(
    queue: string,
    command: QueueCommand,
    patience: number,
    told: ErrandTold,
    now: number,
    hold = 0,
  ): AccessOutput[] {
    const ticket = this.ticket();
    const errand: Errand = {
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
    this.#errands.set(ticket, errand);
    return this.#send(ticket, errand, now);
  }

  /** Never used twice by this node. */
  ticket(): string {
    this.#number += 1;
    return `${this.#membership.identity}/${this.#number}`;
  }

  owner(queue: string): string | undefined {
    return this.#membership.follower.read<ChainView>(keys.queue + queue)?.members[0]?.address;
  }

  #send(ticket: string, errand: Errand, now: number): AccessOutput[] {
    errand.sentAt = now;
    const owner = this.owner(errand.queue);
    errand.sentTo = owner;
    if (owner === undefined) return [];
    /** Earlier sendings may be on their way: a refusal of this one is to hold for them too. */
    const command =
      errand.doubtful && errand.command.kind === "hand-in"
        ? { ...errand.command, final: true }
        : errand.command;
    const left = Math.max(0, Math.min(errand.hold, errand.since + errand.hold - now));
    return [
      {
        kind: "send",
        to: owner,
        message: {
          kind: "queue-inquiry",
          ticket,
          queue: errand.queue,
          command,
          ...(left > 0 ? { hold: left } : {}),
        },
      },
    ];
  }

  /** undefined where nobody waits for it any more. */
  told(ticket: string, ended: QueueOutcome, now: number, held = 0): AccessOutput[] | undefined {
    const errand = this.#errands.get(ticket);
    if (errand === undefined) return undefined;
    const late = now - errand.since >= errand.patience;
    if (ended.kind === "unknown") errand.doubtful = true;
    if (ended.kind !== "confirmed" && !late && !isOnce(errand.command)) {
      /** Taken nowhere, or idempotent by its key: looked for again at the next beat. */
      errand.sentTo = undefined;
      errand.sentAt = now;
      return [];
    }
    this.#errands.delete(ticket);
    /** A refusal is final only if no earlier send of this errand may still be taken. */
    const refusal =
      ended.kind === "elsewhere" ||
      (ended.kind === "confirmed" &&
        (ended.value.kind === "FULL" ||
          (ended.value.kind === "NO_ROOM" && ended.value.final !== true)));
    return errand.told(
      refusal && errand.doubtful ? { kind: "unknown" } : ended,
      now,
      errand.since + held,
    );
  }

  beat(now: number): AccessOutput[] {
    const outputs: AccessOutput[] = [];
    const near = this.#membership.holds(now);
    for (const [ticket, errand] of [...this.#errands]) {
      /** A node that heard nothing of its owner and lost its lease is cut off: the caller does better at another. */
      const hopeless = !near && errand.doubtful && errand.command.kind === "hand-in";
      if (now - errand.since >= errand.patience || hopeless) {
        this.#errands.delete(ticket);
        outputs.push(
          ...errand.told(
            errand.sentTo !== undefined || errand.doubtful
              ? { kind: "unknown" }
              : { kind: "elsewhere", reason: "the queue's owner cannot be reached" },
            now,
            errand.since,
          ),
        );
      } else if (
        errand.sentTo === undefined
          ? now - errand.sentAt >= constants.ownerRetry
          : !isOnce(errand.command) && now - errand.sentAt >= constants.grantLasts + errand.hold
      ) {
        if (errand.sentTo !== undefined) errand.doubtful = true;
        outputs.push(...this.#send(ticket, errand, now));
      }
    }
    return outputs;
  }
}

/** A draw asked for twice would take two prompts. */
function isOnce(command: QueueCommand): boolean {
  return command.kind === "pop" || command.kind === "draw";
}
