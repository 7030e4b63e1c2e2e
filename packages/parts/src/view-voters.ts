/** Who votes on the next view, and comparisons of members and ballots (docs/design.md §2). */
import type { ChainView, Member } from "./chain.js";
import type { Ballot, VoteState } from "./view-messages.js";

/** Who agrees on the view that follows this one. */
export function votersOf(view: ChainView): readonly Member[] {
  return view.voters ?? view.members;
}

/** How many of the voters of a view make a majority. */
export function majority(view: ChainView): number {
  return Math.floor(votersOf(view).length / 2) + 1;
}

/** Whether a ballot goes before another one. */
export function isHigherBallot(left: Ballot, right: Ballot): boolean {
  return left.round > right.round || (left.round === right.round && left.identity > right.identity);
}

/** What was accepted under the highest ballot, of what promises told; a view that is decided already is among it. */
export function highestAccepted(
  told: Iterable<VoteState["accepted"] | null>,
): VoteState["accepted"] {
  let best: VoteState["accepted"];
  for (const accepted of told)
    if (accepted && (best === undefined || isHigherBallot(accepted.ballot, best.ballot)))
      best = accepted;
  return best;
}

/** Whether two ballots are the same proposal. */
export function isSameBallot(left: Ballot, right: Ballot): boolean {
  return left.round === right.round && left.identity === right.identity;
}

/** Whether two lists name the same identities in the same order. */
export function haveSameMembers(left: readonly Member[], right: readonly Member[]): boolean {
  if (left.length !== right.length) return false;
  for (const [index, member] of left.entries())
    if (member.identity !== right[index]!.identity) return false;
  return true;
}

/** For `some` and `find`, with the identity as `this`. */
export function hasIdentity(this: { identity: string }, member: Member): boolean {
  return member.identity === this.identity;
}

/** Order of members that all machines agree on. */
export function byIdentity(left: Member, right: Member): number {
  return left.identity < right.identity ? -1 : 1;
}
