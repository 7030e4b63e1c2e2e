import { constants, type ChainView, type Member, type Sessions } from "@chutewick/parts";
import type { FleetRecord } from "./machine.js";

/** What a member told the head last. */
interface ToldHead {
  readonly place: number;
  /** Mark of the view. */
  readonly mark: number;
  /** ms. */
  readonly at: number;
}

/** Places of the feed that all holders of leases have: a change is in force from then on (docs/design.md §7). */
export class LeaseCoverage {
  /** Place that all lease holders of a member have, by its identity, as told in the view in force. */
  readonly #coveredBy = new Map<string, number>();
  /** ms. Before, leases may count that were granted by a machine of which no member knows. */
  #knownFrom: number;
  #toldHead: ToldHead = { place: 0, mark: 0, at: Number.NEGATIVE_INFINITY };

  constructor(now: number) {
    this.#knownFrom = now + constants.leaseLasts;
  }

  /** A new view: what members told in the one before does not count, and neither do leases whose granters all left. */
  viewDecided(knowsGrants: boolean, now: number): void {
    if (!knowsGrants) this.#knownFrom = now + constants.leaseLasts;
    this.#coveredBy.clear();
  }

  /** Takes a member's word of how far its lease holders have come. */
  told(identity: string, place: number): void {
    this.#coveredBy.set(identity, Math.max(place, this.#coveredBy.get(identity) ?? 0));
  }

  /**
   * Whether the head should be told of a place that all holders of leases granted here have: at once where it is further on than
   * what was told in that view, else from time to time, since the head may not have been in the view yet. Counts as told then.
   */
  isToBeTold(place: number, mark: number, now: number): boolean {
    const told = this.#toldHead;
    const isKnown = mark === told.mark && place <= told.place;
    if (place === 0 || (isKnown && now - told.at < constants.coverageRepeatedEvery)) return false;
    this.#toldHead = { place, mark, at: now };
    return true;
  }

  /** The place that all holders of leases granted here have. */
  own(sessions: Sessions, place: number, now: number): number {
    return now < this.#knownFrom ? 0 : sessions.covered(place, now);
  }

  /** Place that the lease holders of each other member have, as far as it was told in this view; for the log. */
  toldBy(others: readonly Member[]): Record<string, number> {
    const told: Record<string, number> = {};
    for (const { identity } of others) told[identity] = this.#coveredBy.get(identity) ?? 0;
    return told;
  }

  /** The place that all holders of leases have, of this machine's and of the other members'. */
  ofAll(others: readonly Member[], own: number): number {
    let covered = own;
    for (const { identity } of others)
      covered = Math.min(covered, this.#coveredBy.get(identity) ?? 0);
    return covered;
  }
}

/**
 * Whether those who stay know of every lease that still counts (§7.2): no member left, or all had worked in the view before for
 * longer than a lease lasts, and every majority of it has one that stays.
 * @param settledBefore ms. Since when all members of the view before had told that they work in it
 */
export function knowsGrants(
  before: ChainView | undefined,
  next: ChainView,
  settledBefore: number | undefined,
  now: number,
): boolean {
  if (
    before === undefined ||
    next.mark !== before.mark + 1 ||
    before.members.length < constants.copiesLeast ||
    next.members.length < constants.copiesLeast
  )
    return false;
  const staying = before.members.filter((member) => isWithin(next.members, member)).length;
  if (staying === before.members.length) return true;
  return (
    settledBefore !== undefined &&
    now - settledBefore > constants.leaseLasts + constants.sleptLeast &&
    staying >= before.members.length / 2
  );
}

/** Whether a majority of the fleet in force, and of the one before while it changes, has taken a place (§7.4). */
export function isTakenByFleet(
  fleet: FleetRecord | undefined,
  place: number,
  sessions: Sessions,
): boolean {
  return (
    fleet === undefined ||
    (isTakenByMajority(fleet.addresses, place, sessions) &&
      isTakenByMajority(fleet.previous, place, sessions))
  );
}

function isTakenByMajority(
  addresses: readonly string[],
  place: number,
  sessions: Sessions,
): boolean {
  const count = addresses.filter((address) => sessions.taken(address) >= place).length;
  return addresses.length === 0 || count > addresses.length / 2;
}

function isWithin(members: readonly Member[], { identity }: Member): boolean {
  return members.some((member) => member.identity === identity);
}
