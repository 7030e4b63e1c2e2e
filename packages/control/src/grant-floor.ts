/**
 * From which place of the feed on a control machine may grant leases (docs/design.md §7.2.2). A node counts a lease only if it stands as
 * far in the feed as its granter stood. A machine that has just started, or has just become a member, may hold more on its disk than
 * its feed tells as confirmed; a lease of its would let a node go on that misses what was told as in force before.
 */
export class GrantFloor {
  /** Each place that this machine can have told as covered is at or below this one. */
  #place: number;

  /** @param heldAtStart the last place on this machine's disk */
  constructor(heldAtStart: number) {
    this.#place = heldAtStart;
  }

  /** This machine became a member of a view, and holds the chain up to a place: all that was confirmed before. */
  becameMember(chainPlace: number): void {
    this.#place = chainPlace;
  }

  /** Entries that were never confirmed may be dropped, so the chain can end before the place that it had. */
  isReached(feedPlace: number, chainPlace: number): boolean {
    return feedPlace >= Math.min(this.#place, chainPlace);
  }
}
