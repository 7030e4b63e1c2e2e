import { constants } from "./constants.js";
import type { Ledger } from "./ledger.js";

/** A permanently refused ticket: a delayed copy of the same request must not be accepted later. */
interface RefusedTicket {
  /** Ledger time of the refusal. */
  readonly since: number;
}

const keyPrefix = "turned/";

/** Request ids of submissions whose refusal holds for all retransmissions; remembered for a minute (docs/design.md §13.7.9). */
export class RefusedTickets {
  /** In order of expiry; derived from the ledger. */
  #tickets: [since: number, ticket: string][] = [];

  rebuild(ledger: Ledger): void {
    this.#tickets = [];
    for (const [key, { since }] of ledger.under<RefusedTicket>(keyPrefix))
      this.#tickets.push([since, key.slice(keyPrefix.length)]);
    this.#tickets.sort(byExpiry);
  }

  has(ledger: Ledger, ticket: string | undefined): boolean {
    return ticket !== undefined && ledger.read(keyPrefix + ticket) !== undefined;
  }

  add(ledger: Ledger, ticket: string, time: number): void {
    ledger.put(keyPrefix + ticket, { since: time } satisfies RefusedTicket);
    this.#tickets.push([time, ticket]);
  }

  isDue(time: number): boolean {
    const first = this.#tickets[0];
    return first !== undefined && first[0] + constants.rejectionMemoryMs <= time;
  }

  /** Removes expired tickets; returns how many. */
  forgetDue(ledger: Ledger, time: number): number {
    let count = 0;
    while (this.isDue(time)) {
      ledger.remove(keyPrefix + this.#tickets.shift()![1]);
      count += 1;
    }
    return count;
  }
}

function byExpiry(left: readonly [number, string], right: readonly [number, string]): number {
  return left[0] - right[0] || (left[1] < right[1] ? -1 : 1);
}
