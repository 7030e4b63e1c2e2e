/**
 * Minimum log index of the feed from which a control machine may grant leases (docs/design.md §7.2.2). A node accepts a lease only if
 * it has the feed up to the index at which the lease was granted. A machine that has just started or become a member may have entries
 * on disk that its feed doesn't have as committed yet. Granting a lease then would let a node continue without a change that was
 * already acknowledged as in force.
 */
export class GrantFloor {
  /** Upper bound of the log indexes that this machine can have reported as covered. */
  #minIndex: number;

  /** @param lastIndexAtStart last log index on this machine's disk */
  constructor(lastIndexAtStart: number) {
    this.#minIndex = lastIndexAtStart;
  }

  /** Called when this machine becomes a member of a view; its chain up to the log index includes all entries committed before. */
  becameMember(chainIndex: number): void {
    this.#minIndex = chainIndex;
  }

  /** Whether leases may be granted. Uncommitted entries may be dropped, so the chain can end before the floor. */
  isReached(feedIndex: number, chainIndex: number): boolean {
    return feedIndex >= Math.min(this.#minIndex, chainIndex);
  }
}
