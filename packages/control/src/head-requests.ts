import { constants } from "@chutewick/parts";
import type { ControlResult } from "./machine.js";

/** A request that this machine submitted to the chain as its head. */
export interface HeadRequest {
  readonly ticket: string;
  /** Address of the machine that forwarded the request; undefined for a request made on this machine. */
  readonly to: string | undefined;
  /** Monotonic time in ms at which the request was submitted. */
  readonly since: number;
  /** Set once the chain has committed the request; it is answered when its change is in force. */
  result: { value: ControlResult; place: number } | undefined;
  /** Log index that all lease holders must reach before the request is answered; undefined while not yet known. */
  inForceBy: number | undefined;
}

/** Pending requests that this machine has submitted as the head, by an id local to this machine. */
export class HeadRequests {
  readonly #pending = new Map<string, HeadRequest>();
  #lastId = 0;

  /** Whether the request is already pending; the same request may be sent more than once. */
  has(ticket: string, to: string | undefined): boolean {
    for (const request of this.#pending.values())
      if (request.ticket === ticket && request.to === to) return true;
    return false;
  }

  /** Adds a request and returns the id under which it is submitted to the chain. */
  add(ticket: string, to: string | undefined, now: number): string {
    this.#lastId += 1;
    const id = `own/${this.#lastId}`;
    this.#pending.set(id, { ticket, to, since: now, result: undefined, inForceBy: undefined });
    return id;
  }

  get(id: string): HeadRequest | undefined {
    return this.#pending.get(id);
  }

  remove(id: string): void {
    this.#pending.delete(id);
  }

  /** All pending requests, in the order of their submission. */
  entries(): [id: string, request: HeadRequest][] {
    return [...this.#pending];
  }

  /** Ids of the requests that have exceeded their timeout. */
  overdue(now: number): string[] {
    const overdue: string[] = [];
    for (const [id, { since }] of this.#pending)
      if (now - since > constants.commitTimeoutMs) overdue.push(id);
    return overdue;
  }
}
