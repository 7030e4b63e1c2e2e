import {
  duty,
  holdersOf,
  presentOf,
  type ChainView,
  type Member,
  type NodeCard,
  type Policy,
} from "@chutewick/parts";
import { sharingZone, spreadOverZones, zonesOf } from "./zones.js";

/** Least difference in queues between two machines for which a replica is moved. */
const IMBALANCE_LEAST = 2;

/** What a round of planning goes by. */
export interface PlacementInput {
  /** Views in force, by queue. */
  readonly views: ReadonlyMap<string, ChainView>;
  /** Storage machines with a session, by identity. */
  readonly live: ReadonlyMap<string, NodeCard>;
  /** Identities of machines that are being emptied. */
  readonly toEmpty: ReadonlySet<string>;
  readonly policy: Policy;
}

/**
 * One round of planning where the replicas of queues are kept (docs/design.md §8.2): new queues are placed, lost and slow
 * replicas are taken out, missing ones are copied, and load is balanced by one move at a time. Pure: it changes nothing but
 * its own note of whether this round has moved a replica.
 */
export class QueuePlacement {
  readonly #views: ReadonlyMap<string, ChainView>;
  readonly #live: ReadonlyMap<string, NodeCard>;
  readonly #toEmpty: ReadonlySet<string>;
  readonly #policy: Policy;
  /** Queues kept or being copied to, by identity of the machine. */
  readonly #queueCounts: ReadonlyMap<string, number>;
  #hasMoved = false;

  constructor({ views, live, toEmpty, policy }: PlacementInput) {
    this.#views = views;
    this.#live = live;
    this.#toEmpty = toEmpty;
    this.#policy = policy;
    this.#queueCounts = queuesByMachine(views.values());
  }

  /** First view of a queue; undefined while too few machines can keep it. */
  firstView(queue: string): ChainView | undefined {
    const able = this.#ableToKeep();
    if (able.length < this.#policy.copiesLeast) return undefined;
    const spread = spreadOverZones(duty.rank(queue, able), this.#live);
    const members: Member[] = [];
    for (const identity of spread.slice(0, this.#policy.copiesWanted))
      members.push(this.#memberOf(identity));
    return { mark: 1, members };
  }

  /** Next view of a queue; undefined where the one in force stays. */
  nextView(queue: string, view: ChainView): ChainView | undefined {
    /** Where the members are too few to confirm, those that confirmed last go on as soon as they are back (§1.5). */
    const present = presentOf(view, this.#live);
    const staying = present.filter(({ identity }) => !this.#live.get(identity)!.leaving);
    /** One that stops as planned leaves at once, as long as enough stay. */
    if (staying.length < present.length && staying.length >= this.#policy.copiesLeast)
      return this.#withMembers(view, staying);
    if (!isSameMembers(present, view.members))
      return present.length >= this.#policy.copiesLeast
        ? this.#withMembers(view, present)
        : this.#copiedFromHolders(view, present);
    const unblocked = this.#withoutStuck(queue, view);
    if (unblocked !== undefined) return unblocked;
    if (view.joiner !== undefined) return this.#joined(queue, view, view.joiner);
    if (view.members.length > this.#policy.copiesWanted) return this.#withoutSurplus(view);
    return this.#withJoiner(queue, view);
  }

  /** Other members; the joiner goes on as long as it is there. */
  #withMembers(view: ChainView, members: readonly Member[]): ChainView {
    const { joiner } = view;
    const keepsJoiner = joiner !== undefined && this.#live.has(joiner.identity);
    return { mark: view.mark + 1, members, ...(keepsJoiner ? { joiner } : {}) };
  }

  /**
   * Too few replicas left to confirm: each holds all that was confirmed, serves nothing, and is copied from; who comes back
   * goes on at once (§1.5, §8.2).
   */
  #copiedFromHolders(view: ChainView, present: readonly Member[]): ChainView | undefined {
    const holders = holdersOf(view);
    const able: string[] = [];
    for (const identity of this.#live.keys())
      if (!this.#toEmpty.has(identity) && !includes(holders, identity)) able.push(identity);
    if (present.length === 0 || able.length === 0) return undefined;
    const joiner =
      view.joiner !== undefined && this.#live.has(view.joiner.identity)
        ? view.joiner
        : this.#memberOf(able.sort()[0]!);
    return { mark: view.mark + 1, members: present, joiner, holders };
  }

  /** Without the replica that another one reports as holding up the chain; undefined where none is, or too few would stay. */
  #withoutStuck(queue: string, view: ChainView): ChainView | undefined {
    for (const card of this.#live.values()) {
      for (const [stuckQueue, mark, identity] of card.telling.stuck ?? []) {
        if (stuckQueue !== queue || mark !== view.mark) continue;
        if (identity === view.joiner?.identity) return withoutJoiner(view);
        if (view.members.length <= this.#policy.copiesLeast) continue;
        const members = without(view.members, identity);
        if (members.length < view.members.length) return this.#withMembers(view, members);
      }
    }
    return undefined;
  }

  /** The joiner becomes a member once it has copied the whole queue in this view, and is dropped where it is gone. */
  #joined(queue: string, view: ChainView, joiner: Member): ChainView | undefined {
    const card = this.#live.get(joiner.identity);
    if (card === undefined) return withoutJoiner(view);
    for (const [copiedQueue, mark] of card.telling.copied ?? [])
      if (copiedQueue === queue && mark === view.mark)
        return { mark: view.mark + 1, members: [...view.members, joiner] };
    return undefined;
  }

  /** One replica less: of a machine that is emptied, else of a zone that has two, else of the machine that keeps most. */
  #withoutSurplus(view: ChainView): ChainView {
    const sharing = sharingZone(view.members, this.#live);
    const surplus =
      this.#emptiedMember(view) ?? this.#mostBurdened(sharing.length > 0 ? sharing : view.members);
    return { mark: view.mark + 1, members: without(view.members, surplus.identity) };
  }

  /** A joiner where a replica is missing, or where a move gains a zone or balance. */
  #withJoiner(queue: string, view: ChainView): ChainView | undefined {
    const able = this.#ableToKeep().filter((identity) => !includes(view.members, identity));
    if (able.length === 0) return this.#withoutEmptied(view);
    const identity = this.#bestOf(duty.rank(queue, able), view);
    const emptied = this.#emptiedMember(view) === undefined ? 0 : 1;
    if (view.members.length - emptied >= this.#policy.copiesWanted) {
      if (!this.#mayMoveTo(identity, view)) return undefined;
      this.#hasMoved = true;
    }
    return {
      mark: view.mark + 1,
      members: view.members,
      ...holdersKept(view),
      joiner: this.#memberOf(identity),
    };
  }

  /** Nowhere to copy to: one that is emptied leaves as long as enough stay. */
  #withoutEmptied(view: ChainView): ChainView | undefined {
    const emptied = this.#emptiedMember(view);
    if (emptied === undefined || view.members.length <= this.#policy.copiesLeast) return undefined;
    return { mark: view.mark + 1, members: without(view.members, emptied.identity) };
  }

  /** The first in rank of those in a zone without a replica, where there are any, that keep fewest queues. */
  #bestOf(ranked: readonly string[], view: ChainView): string {
    const zones = zonesOf(view.members, this.#live);
    let best = ranked[0]!;
    for (const identity of ranked) {
      const isNewZone = !zones.has(this.#zoneOf(identity));
      const isBestNewZone = !zones.has(this.#zoneOf(best));
      const isBetter =
        isNewZone === isBestNewZone ? this.#queuesAt(identity) < this.#queuesAt(best) : isNewZone;
      if (isBetter) best = identity;
    }
    return best;
  }

  /** Whether a replica is moved to a machine though none is missing: one at a time, and while nothing else is copied. */
  #mayMoveTo(identity: string, view: ChainView): boolean {
    if (this.#hasMoved || this.#isCopying()) return false;
    const zone = this.#zoneOf(identity);
    const isNewZone = !zonesOf(view.members, this.#live).has(zone);
    /** Two replicas in one zone while another zone has a place: that comes before balance (§8.2). */
    if (isNewZone && sharingZone(view.members, this.#live).length > 0) return true;
    /** A move within a zone takes the place of a machine of that zone; else zones would be doubled and mended in turn. */
    const rivals = isNewZone
      ? view.members
      : view.members.filter((member) => this.#zoneOf(member.identity) === zone);
    const most = this.#queuesAt(this.#mostBurdened(rivals).identity);
    return most - this.#queuesAt(identity) >= IMBALANCE_LEAST;
  }

  #isCopying(): boolean {
    for (const { joiner, members } of this.#views.values())
      if (joiner !== undefined || members.length !== this.#policy.copiesWanted) return true;
    return false;
  }

  /** The member whose machine keeps most queues; the owner only if it alone does, since moving it costs a pause. */
  #mostBurdened(members: readonly Member[]): Member {
    let most = members.at(-1)!;
    for (const member of [...members].reverse())
      if (this.#queuesAt(member.identity) > this.#queuesAt(most.identity)) most = member;
    return most;
  }

  #emptiedMember(view: ChainView): Member | undefined {
    return view.members.find(({ identity }) => this.#toEmpty.has(identity));
  }

  /** Identities of machines that may take a replica. */
  #ableToKeep(): string[] {
    const able: string[] = [];
    for (const { identity, leaving } of this.#live.values())
      if (!leaving && !this.#toEmpty.has(identity)) able.push(identity);
    return able;
  }

  #queuesAt(identity: string): number {
    return this.#queueCounts.get(identity) ?? 0;
  }

  #zoneOf(identity: string): string {
    return this.#live.get(identity)!.zone;
  }

  #memberOf(identity: string): Member {
    return { identity, address: this.#live.get(identity)!.address };
  }
}

/** How many queues each machine keeps or is copied to, by its identity. */
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

function withoutJoiner(view: ChainView): ChainView {
  return { mark: view.mark + 1, members: view.members, ...holdersKept(view) };
}

function holdersKept({ holders }: ChainView): Pick<ChainView, "holders"> {
  return holders === undefined ? {} : { holders };
}

function without(members: readonly Member[], identity: string): Member[] {
  return members.filter((member) => member.identity !== identity);
}

function includes(members: readonly Member[], identity: string): boolean {
  return members.some((member) => member.identity === identity);
}

function isSameMembers(ones: readonly Member[], others: readonly Member[]): boolean {
  return (
    ones.length === others.length &&
    ones.every((one, place) => one.identity === others[place]!.identity)
  );
}
