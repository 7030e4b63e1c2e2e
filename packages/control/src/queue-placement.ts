import {
  rendezvous,
  holdersOf,
  reachableReplicas,
  type ChainView,
  type Member,
  type NodeDescriptor,
  type Policy,
} from "@chutewick/parts";
import { membersSharingZone, spreadOverZones, zonesOf } from "./zones.js";

/** Minimum difference between the queue counts of two machines at which a replica is moved. */
const MIN_IMBALANCE = 2;

/** Input of a planning round. */
export interface PlacementInput {
  /** Current views, by queue. */
  readonly views: ReadonlyMap<string, ChainView>;
  /** Storage machines with a live session, by identity. */
  readonly live: ReadonlyMap<string, NodeDescriptor>;
  /** Identities of the machines that are being drained. */
  readonly draining: ReadonlySet<string>;
  readonly policy: Policy;
}

/**
 * One planning round for the placement of queue replicas (docs/design.md §8.2): new queues are placed, lost and slow replicas are
 * removed, missing ones are copied, and load is balanced by one move at a time. The only state that it changes is whether this round
 * has moved a replica.
 */
export class QueuePlacement {
  readonly #views: ReadonlyMap<string, ChainView>;
  readonly #live: ReadonlyMap<string, NodeDescriptor>;
  readonly #draining: ReadonlySet<string>;
  readonly #policy: Policy;
  /** Number of queues that a machine stores or is copying, by identity. */
  readonly #queueCounts: ReadonlyMap<string, number>;
  #hasMoved = false;

  constructor({ views, live, draining, policy }: PlacementInput) {
    this.#views = views;
    this.#live = live;
    this.#draining = draining;
    this.#policy = policy;
    this.#queueCounts = queuesByMachine(views.values());
  }

  /** First view of a queue; undefined while too few machines can store it. */
  firstView(queue: string): ChainView | undefined {
    const eligible = this.#eligibleMachines();
    if (eligible.length < this.#policy.copiesLeast) return undefined;
    const spread = spreadOverZones(rendezvous.rank(queue, eligible), this.#live);
    const members: Member[] = [];
    for (const identity of spread.slice(0, this.#policy.copiesWanted))
      members.push(this.#memberOf(identity));
    return { mark: 1, members };
  }

  /** Next view of a queue; undefined if the current one stays. */
  nextView(queue: string, view: ChainView): ChainView | undefined {
    // If the members are too few to commit, the replicas that last committed resume as soon as they are back (docs/design.md §1.5).
    const present = reachableReplicas(view, this.#live);
    const remaining = present.filter(({ identity }) => !this.#live.get(identity)!.leaving);
    // A machine that is stopping leaves at once if enough members remain.
    if (remaining.length < present.length && remaining.length >= this.#policy.copiesLeast)
      return this.#withMembers(view, remaining);
    if (!isSameMembers(present, view.members))
      return present.length >= this.#policy.copiesLeast
        ? this.#withMembers(view, present)
        : this.#copiedFromHolders(view, present);
    const withoutBlocking = this.#withoutBlockingReplica(queue, view);
    if (withoutBlocking !== undefined) return withoutBlocking;
    if (view.joiner !== undefined) return this.#withLearnerAdmitted(queue, view, view.joiner);
    if (view.members.length > this.#policy.copiesWanted) return this.#withoutSurplus(view);
    return this.#withLearner(queue, view);
  }

  /** Next view with other members; it keeps the learner if that is still live. */
  #withMembers(view: ChainView, members: readonly Member[]): ChainView {
    const { joiner } = view;
    const keepsLearner = joiner !== undefined && this.#live.has(joiner.identity);
    return { mark: view.mark + 1, members, ...(keepsLearner ? { joiner } : {}) };
  }

  /**
   * Next view if too few replicas remain to commit. Each of them has all committed entries; they serve no requests but are copied
   * to a learner. Members that return resume at once (docs/design.md §1.5, §8.2).
   */
  #copiedFromHolders(view: ChainView, present: readonly Member[]): ChainView | undefined {
    const holders = holdersOf(view);
    const eligible: string[] = [];
    for (const identity of this.#live.keys())
      if (!this.#draining.has(identity) && !includes(holders, identity)) eligible.push(identity);
    if (present.length === 0 || eligible.length === 0) return undefined;
    const joiner =
      view.joiner !== undefined && this.#live.has(view.joiner.identity)
        ? view.joiner
        : this.#memberOf(eligible.sort()[0]!);
    return { mark: view.mark + 1, members: present, joiner, holders };
  }

  /** Next view without a replica that a machine reports as blocking the chain; undefined if there is none or too few would remain. */
  #withoutBlockingReplica(queue: string, view: ChainView): ChainView | undefined {
    for (const card of this.#live.values()) {
      for (const [stuckQueue, epoch, identity] of card.telling.stuck ?? []) {
        if (stuckQueue !== queue || epoch !== view.mark) continue;
        if (identity === view.joiner?.identity) return withoutLearner(view);
        if (view.members.length <= this.#policy.copiesLeast) continue;
        const members = withoutMember(view.members, identity);
        if (members.length < view.members.length) return this.#withMembers(view, members);
      }
    }
    return undefined;
  }

  /** Makes the learner a member once it has copied the whole queue in this view, or drops it if it is gone. */
  #withLearnerAdmitted(queue: string, view: ChainView, joiner: Member): ChainView | undefined {
    const card = this.#live.get(joiner.identity);
    if (card === undefined) return withoutLearner(view);
    for (const [copiedQueue, epoch] of card.telling.copied ?? [])
      if (copiedQueue === queue && epoch === view.mark)
        return { mark: view.mark + 1, members: [...view.members, joiner] };
    return undefined;
  }

  /** Removes one replica: of a machine being drained, else of a zone with several replicas, else of the machine with the most queues. */
  #withoutSurplus(view: ChainView): ChainView {
    const sharing = membersSharingZone(view.members, this.#live);
    const surplus =
      this.#drainedMember(view) ?? this.#mostLoaded(sharing.length > 0 ? sharing : view.members);
    return { mark: view.mark + 1, members: withoutMember(view.members, surplus.identity) };
  }

  /** Adds a learner if a replica is missing, or if a move improves the spread over zones or the balance. */
  #withLearner(queue: string, view: ChainView): ChainView | undefined {
    const eligible = this.#eligibleMachines().filter(
      (identity) => !includes(view.members, identity),
    );
    if (eligible.length === 0) return this.#withoutDrained(view);
    const identity = this.#bestTarget(rendezvous.rank(queue, eligible), view);
    const drainedCount = this.#drainedMember(view) === undefined ? 0 : 1;
    if (view.members.length - drainedCount >= this.#policy.copiesWanted) {
      if (!this.#shouldMoveTo(identity, view)) return undefined;
      this.#hasMoved = true;
    }
    return {
      mark: view.mark + 1,
      members: view.members,
      ...holdersOfView(view),
      joiner: this.#memberOf(identity),
    };
  }

  /** Removes a machine being drained without a replacement, if enough members remain. */
  #withoutDrained(view: ChainView): ChainView | undefined {
    const drained = this.#drainedMember(view);
    if (drained === undefined || view.members.length <= this.#policy.copiesLeast) return undefined;
    return { mark: view.mark + 1, members: withoutMember(view.members, drained.identity) };
  }

  /** Machine with the fewest queues, in a zone without a replica if possible; the rank decides ties. */
  #bestTarget(ranked: readonly string[], view: ChainView): string {
    const zones = zonesOf(view.members, this.#live);
    let best = ranked[0]!;
    for (const identity of ranked) {
      const isInNewZone = !zones.has(this.#zoneOf(identity));
      const isBestInNewZone = !zones.has(this.#zoneOf(best));
      const isBetter =
        isInNewZone === isBestInNewZone
          ? this.#queueCountOf(identity) < this.#queueCountOf(best)
          : isInNewZone;
      if (isBetter) best = identity;
    }
    return best;
  }

  /** Whether to move a replica to a machine though none is missing: one move at a time, and none during other copies. */
  #shouldMoveTo(identity: string, view: ChainView): boolean {
    if (this.#hasMoved || this.#isCopying()) return false;
    const zone = this.#zoneOf(identity);
    const isInNewZone = !zonesOf(view.members, this.#live).has(zone);
    // Spreading two replicas of one zone to a new zone has priority over balance (docs/design.md §8.2).
    if (isInNewZone && membersSharingZone(view.members, this.#live).length > 0) return true;
    // A move to a zone that has a replica must replace one of that zone; otherwise two replicas would share the zone, to be
    // separated again by the next moves.
    const candidates = isInNewZone
      ? view.members
      : view.members.filter((member) => this.#zoneOf(member.identity) === zone);
    const most = this.#queueCountOf(this.#mostLoaded(candidates).identity);
    return most - this.#queueCountOf(identity) >= MIN_IMBALANCE;
  }

  #isCopying(): boolean {
    for (const { joiner, members } of this.#views.values())
      if (joiner !== undefined || members.length !== this.#policy.copiesWanted) return true;
    return false;
  }

  /** Member with the most queues. On a tie a member other than the owner is preferred, since moving the owner costs a pause. */
  #mostLoaded(members: readonly Member[]): Member {
    let most = members.at(-1)!;
    for (const member of [...members].reverse())
      if (this.#queueCountOf(member.identity) > this.#queueCountOf(most.identity)) most = member;
    return most;
  }

  #drainedMember(view: ChainView): Member | undefined {
    return view.members.find(({ identity }) => this.#draining.has(identity));
  }

  /** Identities of the machines that may take a replica. */
  #eligibleMachines(): string[] {
    const eligible: string[] = [];
    for (const { identity, leaving } of this.#live.values())
      if (!leaving && !this.#draining.has(identity)) eligible.push(identity);
    return eligible;
  }

  #queueCountOf(identity: string): number {
    return this.#queueCounts.get(identity) ?? 0;
  }

  #zoneOf(identity: string): string {
    return this.#live.get(identity)!.zone;
  }

  #memberOf(identity: string): Member {
    return { identity, address: this.#live.get(identity)!.address };
  }
}

/** Number of queues that each machine stores or is copying, by identity. */
export function queuesByMachine(views: Iterable<ChainView>): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { members, joiner } of views) {
    const identities = new Set<string>();
    for (const { identity } of members) identities.add(identity);
    if (joiner !== undefined) identities.add(joiner.identity);
    for (const identity of identities) counts.set(identity, (counts.get(identity) ?? 0) + 1);
  }
  return counts;
}

function withoutLearner(view: ChainView): ChainView {
  return { mark: view.mark + 1, members: view.members, ...holdersOfView(view) };
}

function holdersOfView({ holders }: ChainView): Pick<ChainView, "holders"> {
  return holders === undefined ? {} : { holders };
}

function withoutMember(members: readonly Member[], identity: string): Member[] {
  return members.filter((member) => member.identity !== identity);
}

function includes(members: readonly Member[], identity: string): boolean {
  return members.some((member) => member.identity === identity);
}

function isSameMembers(left: readonly Member[], right: readonly Member[]): boolean {
  return (
    left.length === right.length &&
    left.every((member, index) => member.identity === right[index]!.identity)
  );
}
