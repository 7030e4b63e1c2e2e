/** Tombstones: records that remain of a lot (a batch job) after its results were deleted (docs/design.md §5.6). */
import { constants } from "./constants.js";
import type { Ledger } from "./ledger.js";

/** Record that remains of a lot after its results were deleted. */
export interface Tombstone {
  /** Identifier of the lot. */
  readonly lot: string;
}

/** Tombstones of one kind of lot: records under a key prefix, removed `lotForgets` after the lot ended. */
export class Tombstones<Kind extends Tombstone> {
  #prefix: string;
  #endedAt: (tombstone: Kind) => number;
  /** Tombstones in order of expiry; derived from the ledger. */
  #byExpiry: Kind[] = [];

  /** `endedAt` returns the ledger time at which a tombstone's lot ended. */
  constructor(prefix: string, endedAt: (tombstone: Kind) => number) {
    this.#prefix = prefix;
    this.#endedAt = endedAt;
  }

  /** Rebuilds the expiry order from the ledger. */
  rebuild(ledger: Ledger): void {
    this.#byExpiry = [];
    for (const [, tombstone] of ledger.under<Kind>(this.#prefix)) this.#byExpiry.push(tombstone);
    this.#byExpiry.sort((left, right) => this.#compareExpiry(left, right));
  }

  read(ledger: Ledger, lot: string): Kind | undefined {
    return ledger.read<Kind>(this.#prefix + lot);
  }

  put(ledger: Ledger, tombstone: Kind): void {
    ledger.put(this.#prefix + tombstone.lot, tombstone);
    let index = this.#byExpiry.length;
    while (index > 0 && this.#compareExpiry(tombstone, this.#byExpiry[index - 1]!) < 0) index -= 1;
    this.#byExpiry.splice(index, 0, tombstone);
  }

  /** Whether at least one tombstone has expired. */
  hasExpired(time: number): boolean {
    const oldest = this.#byExpiry[0];
    return (
      oldest !== undefined && this.#endedAt(oldest) + constants.lotTombstoneRetentionMs <= time
    );
  }

  /** Removes expired tombstones; returns their number. */
  removeExpired(ledger: Ledger, time: number): number {
    let removed = 0;
    while (this.hasExpired(time)) {
      ledger.remove(this.#prefix + this.#byExpiry.shift()!.lot);
      removed += 1;
    }
    return removed;
  }

  #compareExpiry(left: Kind, right: Kind): number {
    return this.#endedAt(left) - this.#endedAt(right) || (left.lot < right.lot ? -1 : 1);
  }
}
