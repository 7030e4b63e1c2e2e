import { constants } from "@chutewick/parts";
import type { ControlResult } from "./machine.js";

/** A request entered here as the head. */
export interface HeadRequest {
  readonly ticket: string;
  /** Set where the request came over the wire. */
  readonly to: string | undefined;
  /** ms. */
  readonly since: number;
  /** Set once the chain has confirmed it; it is answered when it is in force. */
  result: { value: ControlResult; place: number } | undefined;
  /** The place that all lease holders must have before it is answered, once that is known. */
  inForceBy: number | undefined;
}

/** Requests that this machine has entered as the head and not answered yet, by their own id. */
export class HeadRequests {
  readonly #open = new Map<string, HeadRequest>();
  #ticketNumber = 0;

  /** Whether a request is under way, which may be sent more than once. */
  has(ticket: string, to: string | undefined): boolean {
    for (const request of this.#open.values())
      if (request.ticket === ticket && request.to === to) return true;
    return false;
  }

  /** The id under which the request is entered. */
  add(ticket: string, to: string | undefined, now: number): string {
    this.#ticketNumber += 1;
    const id = `own/${this.#ticketNumber}`;
    this.#open.set(id, { ticket, to, since: now, result: undefined, inForceBy: undefined });
    return id;
  }

  get(id: string): HeadRequest | undefined {
    return this.#open.get(id);
  }

  /** Takes out a request that is answered now. */
  remove(id: string): void {
    this.#open.delete(id);
  }

  /** All under way, in the order in which they were entered. */
  entries(): [id: string, request: HeadRequest][] {
    return [...this.#open];
  }

  /** Ids of those that nobody waits for any more. */
  overdue(now: number): string[] {
    const overdue: string[] = [];
    for (const [id, { since }] of this.#open)
      if (now - since > constants.confirmPatience) overdue.push(id);
    return overdue;
  }
}
