import { constants } from "./constants.js";
import type { Ledger } from "./ledger.js";

/** What is left of a lot when its results are no longer kept (docs/design.md §5.6). */
export interface Tombstone {
  readonly lot: string;
}

/** Tombstones of one kind of lots: records under a prefix, forgotten a day after the lot ended. */
export class Tombstones<Stone extends Tombstone> {
  #prefix: string;
  #endedAt: (stone: Stone) => number;
  /** In the order in which they are to be forgotten; derived from the ledger. */
  #stones: Stone[] = [];

  /** endedAt: ledger time at which the lot ended. */
  constructor(prefix: string, endedAt: (stone: Stone) => number) {
    this.#prefix = prefix;
    this.#endedAt = endedAt;
  }

  rebuild(ledger: Ledger): void {
    this.#stones = [];
    for (const [, stone] of ledger.under<Stone>(this.#prefix)) this.#stones.push(stone);
    this.#stones.sort((left, right) => this.#compare(left, right));
  }

  read(ledger: Ledger, lot: string): Stone | undefined {
    return ledger.read<Stone>(this.#prefix + lot);
  }

  put(ledger: Ledger, stone: Stone): void {
    ledger.put(this.#prefix + stone.lot, stone);
    let at = this.#stones.length;
    while (at > 0 && this.#compare(stone, this.#stones[at - 1]!) < 0) at -= 1;
    this.#stones.splice(at, 0, stone);
  }

  isDue(time: number): boolean {
    const first = this.#stones[0];
    return first !== undefined && this.#endedAt(first) + constants.lotForgets <= time;
  }

  /** Forgets those whose time is over; returns how many. */
  forgetDue(ledger: Ledger, time: number): number {
    let count = 0;
    while (this.isDue(time)) {
      ledger.remove(this.#prefix + this.#stones.shift()!.lot);
      count += 1;
    }
    return count;
  }

  #compare(left: Stone, right: Stone): number {
    return this.#endedAt(left) - this.#endedAt(right) || (left.lot < right.lot ? -1 : 1);
  }
}
