import { constants } from "@chutewick/parts";
import type { ControlOutcome } from "./control-messages.js";
import { isRepeatable, type ControlCommand } from "./machine.js";

/** A request that arrived at this machine and is answered by the head of the control group, wherever that is. */
interface Forwarded {
  /** Of whoever asked here. */
  readonly ticket: string;
  readonly command: ControlCommand;
  /** ms. */
  readonly since: number;
  sentAt: number;
  /** Address of the head that it was sent to. */
  to: string | undefined;
  /** Sendings to a head, and how many of them were not entered for want of a disk. */
  sendings: number;
  unwritable: number;
}

/** Why nothing was entered where the head cannot keep it. */
export const unwritable: ControlOutcome = {
  kind: "not-run",
  reason: "the disk of the head of the control group takes no writes",
  isUnwritable: true,
};

/** A request whose time is over, or that has a clear answer. */
export interface Ended {
  readonly ticket: string;
  readonly outcome: ControlOutcome;
}

/**
 * Requests under way at the head. What is the same twice as once is sent again, also to a newer head, until it has a clear
 * answer or `confirmPatience` is over; anything else is sent once.
 */
export class Forwarding {
  /** Sets off the ids of this process life, so that an answer to an earlier one is not taken for one of this. */
  readonly #life: string;
  readonly #open = new Map<string, Forwarded>();
  #number = 0;

  constructor(life: string) {
    this.#life = life;
  }

  /** The id under which the request goes to the head. */
  add(ticket: string, command: ControlCommand, now: number): string {
    this.#number += 1;
    const id = `${this.#life}/${this.#number}`;
    this.#open.set(id, {
      ticket,
      command,
      since: now,
      sentAt: now,
      to: undefined,
      sendings: 0,
      unwritable: 0,
    });
    return id;
  }

  /** Notes that it is sent to a head now, and gives what is to be sent; undefined where it was answered meanwhile. */
  send(id: string, to: string | undefined, now: number): ControlCommand | undefined {
    const forwarded = this.#open.get(id);
    if (forwarded === undefined) return undefined;
    forwarded.sentAt = now;
    forwarded.to = to;
    forwarded.sendings += 1;
    return forwarded.command;
  }

  /**
   * Takes an answer; undefined where the request is unknown here, or will be sent again. Where no sending was entered for want
   * of a disk, and no other member may take the place of that head, it is over at once.
   */
  answered(id: string, outcome: ControlOutcome, canReplaceHead: boolean): Ended | undefined {
    const forwarded = this.#open.get(id);
    if (forwarded === undefined) return undefined;
    if (outcome.kind === "not-run" && outcome.isUnwritable === true) forwarded.unwritable += 1;
    const isHopeless = wasNeverEntered(forwarded) && !canReplaceHead;
    const isSentAgain = isRepeatable(forwarded.command) && !isHopeless;
    if (outcome.kind !== "confirmed" && isSentAgain) return undefined;
    this.#open.delete(id);
    return { ticket: forwarded.ticket, outcome };
  }

  /** Takes out those whose time is over. */
  expire(now: number): Ended[] {
    const ended: Ended[] = [];
    for (const [id, forwarded] of this.#open) {
      if (now - forwarded.since <= constants.confirmPatience) continue;
      this.#open.delete(id);
      const outcome: ControlOutcome = wasNeverEntered(forwarded) ? unwritable : { kind: "unknown" };
      ended.push({ ticket: forwarded.ticket, outcome });
    }
    return ended;
  }

  /** Ids of those to be sent again: after a while, or since there is another head. */
  due(head: string | undefined, now: number): string[] {
    const due: string[] = [];
    for (const [id, { command, sentAt, to }] of this.#open) {
      const isOverdue = now - sentAt > constants.passAgainEvery;
      const isElsewhere = head !== undefined && head !== to;
      if (isRepeatable(command) && (isOverdue || isElsewhere)) due.push(id);
    }
    return due;
  }
}

/** Whether each sending was answered as not entered for want of a disk. */
function wasNeverEntered({ sendings, unwritable: refused }: Forwarded): boolean {
  return refused === sendings;
}
