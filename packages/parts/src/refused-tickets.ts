import { constants } from "./constants.js";
import type { Ledger } from "./ledger.js";

/** A ticket refused for good: a sending of it that was held up on its way is not taken. */
interface RefusedTicket {
  readonly since: number;
}

const prefix = "turned/";

/** Tickets of hand-ins whose refusal holds for all their sendings, for a minute (docs/design.md §13.7.9). */
export class RefusedTickets {
  /** In the order in which they are to be forgotten; derived from the ledger. */
  #tickets: [since: number, ticket: string][] = [];

  rebuild(ledger: Ledger): void {
    this.#tickets = [];
    for (const [key, { since }] of ledger.under<RefusedTicket>(prefix))
      this.#tickets.push([since, key.slice(prefix.length)]);
    this.#tickets.sort(earlier);
  }

  has(ledger: Ledger, ticket: string | undefined): boolean {
    return ticket !== undefined && ledger.read(prefix + ticket) !== undefined;
  }

  add(ledger: Ledger, ticket: string, time: number): void {
    ledger.put(prefix + ticket, { since: time } satisfies RefusedTicket);
    this.#tickets.push([time, ticket]);
  }

  isDue(time: number): boolean {
    const first = this.#tickets[0];
    return first !== undefined && first[0] + constants.turnedLasts <= time;
  }

  /** Forgets those whose time is over; returns how many. */
  forgetDue(ledger: Ledger, time: number): number {
    let count = 0;
    while (this.isDue(time)) {
      ledger.remove(prefix + this.#tickets.shift()![1]);
      count += 1;
    }
    return count;
  }
}

function earlier(left: readonly [number, string], right: readonly [number, string]): number {
  return left[0] - right[0] || (left[1] < right[1] ? -1 : 1);
}
