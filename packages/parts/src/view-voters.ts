/** Voters on the next view, and comparisons of members and ballots (docs/design.md §2). */
import type { ChainView, Member } from "./chain.js";
import type { Ballot, VoteState } from "./view-messages.js";

/** Voters on the view that follows this one. */
export function votersOf(view: ChainView): readonly Member[] {
  return view.voters ?? view.members;
}

/** Number of voters of a view that form a majority. */
export function majority(view: ChainView): number {
  return Math.floor(votersOf(view).length / 2) + 1;
}

/** Whether the left ballot takes precedence over the right one. */
export function isHigherBallot(left: Ballot, right: Ballot): boolean {
  return left.round > right.round || (left.round === right.round && left.identity > right.identity);
}

/** The view accepted under the highest ballot that the promises report; if a view is already chosen, it is this one. */
export function highestAccepted(
  reports: Iterable<VoteState["accepted"] | null>,
): VoteState["accepted"] {
  let best: VoteState["accepted"];
  for (const accepted of reports)
    if (accepted && (best === undefined || isHigherBallot(accepted.ballot, best.ballot)))
      best = accepted;
  return best;
}

/** Whether two ballots belong to the same proposal. */
export function isSameBallot(left: Ballot, right: Ballot): boolean {
  return left.round === right.round && left.identity === right.identity;
}

/** Whether two lists contain the same identities in the same order. */
export function haveSameMembers(left: readonly Member[], right: readonly Member[]): boolean {
  if (left.length !== right.length) return false;
  for (const [index, member] of left.entries())
    if (member.identity !== right[index]!.identity) return false;
  return true;
}

/** Callback for array methods such as `some` and `findIndex`, with the identity to look for as `this`. */
export function hasIdentity(this: { identity: string }, member: Member): boolean {
  return member.identity === this.identity;
}

/** Sort order of members that is the same on all machines. */
export function byIdentity(left: Member, right: Member): number {
  return left.identity < right.identity ? -1 : 1;
}
