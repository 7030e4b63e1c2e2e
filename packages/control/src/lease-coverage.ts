import { constants, type ChainView, type Member, type Sessions } from "@chutewick/parts";
import type { FleetRecord } from "./machine.js";

/** Last coverage report that this machine sent to the head. */
interface CoverageReport {
  /** Log index that all lease holders of this machine had reached. */
  readonly place: number;
  /** Epoch of the view in which it was sent. */
  readonly mark: number;
  /** Monotonic time in ms. */
  readonly at: number;
}

/** Tracks the log index of the feed that all lease holders have reached; a change up to it is in force (docs/design.md §7). */
export class LeaseCoverage {
  /** Log index that all lease holders of a member have reached, by the member's identity, as reported in the current view. */
  readonly #coverageByMember = new Map<string, number>();
  /** Monotonic time in ms until which leases may be valid that no current member knows of. */
  #unknownLeasesUntil: number;
  #lastReport: CoverageReport = { place: 0, mark: 0, at: Number.NEGATIVE_INFINITY };

  constructor(now: number) {
    this.#unknownLeasesUntil = now + constants.leaseDurationMs;
  }

  /**
   * Starts a new view: reports of the previous view no longer count.
   * @param knowsLeases whether the members of the new view know every lease that may still be valid
   */
  viewDecided(knowsLeases: boolean, now: number): void {
    if (!knowsLeases) this.#unknownLeasesUntil = now + constants.leaseDurationMs;
    this.#coverageByMember.clear();
  }

  /** Records a member's report of the log index that its lease holders have reached. */
  told(identity: string, place: number): void {
    this.#coverageByMember.set(
      identity,
      Math.max(place, this.#coverageByMember.get(identity) ?? 0),
    );
  }

  /**
   * Whether to report the log index that all holders of leases granted here have reached, and records the report as sent. Progress
   * is reported at once; an unchanged index is repeated periodically, since the head may not have adopted the view at the time of
   * the first report.
   */
  shouldReport(place: number, mark: number, now: number): boolean {
    const last = this.#lastReport;
    const isKnown = mark === last.mark && place <= last.place;
    if (place === 0 || (isKnown && now - last.at < constants.coverageReportIntervalMs))
      return false;
    this.#lastReport = { place, mark, at: now };
    return true;
  }

  /** Log index that all holders of leases granted by this machine have reached. */
  own(sessions: Sessions, place: number, now: number): number {
    return now < this.#unknownLeasesUntil ? 0 : sessions.coveredIndex(place, now);
  }

  /** Log index reported by each other member in this view, for logging. */
  reportedBy(others: readonly Member[]): Record<string, number> {
    const reported: Record<string, number> = {};
    for (const { identity } of others)
      reported[identity] = this.#coverageByMember.get(identity) ?? 0;
    return reported;
  }

  /** Log index that the lease holders of this machine and of all other members have reached. */
  ofAll(others: readonly Member[], own: number): number {
    let covered = own;
    for (const { identity } of others)
      covered = Math.min(covered, this.#coverageByMember.get(identity) ?? 0);
    return covered;
  }
}

/**
 * Whether the remaining members know every lease that may still be valid (docs/design.md §7.2). That is so if no member left, or if
 * all members had worked in the previous view for longer than a lease lasts and every majority of it includes a remaining member.
 * @param settledBefore monotonic time in ms since which all members of the previous view had reported that they work in it
 */
export function knowsAllLeases(
  previous: ChainView | undefined,
  next: ChainView,
  settledBefore: number | undefined,
  now: number,
): boolean {
  if (
    previous === undefined ||
    next.mark !== previous.mark + 1 ||
    previous.members.length < constants.copiesLeast ||
    next.members.length < constants.copiesLeast
  )
    return false;
  const remaining = previous.members.filter((member) => isIn(next.members, member)).length;
  if (remaining === previous.members.length) return true;
  return (
    settledBefore !== undefined &&
    now - settledBefore > constants.leaseDurationMs + constants.minSuspensionMs &&
    remaining >= previous.members.length / 2
  );
}

/**
 * Whether a majority of the fleet has accepted the feed up to a log index; during a change of the fleet, a majority of the previous
 * fleet must have accepted it, too (docs/design.md §7.4).
 */
export function isAcceptedByFleet(
  fleet: FleetRecord | undefined,
  place: number,
  sessions: Sessions,
): boolean {
  return (
    fleet === undefined ||
    (isAcceptedByMajority(fleet.addresses, place, sessions) &&
      isAcceptedByMajority(fleet.previous, place, sessions))
  );
}

function isAcceptedByMajority(
  addresses: readonly string[],
  place: number,
  sessions: Sessions,
): boolean {
  const count = addresses.filter((address) => sessions.reportedIndex(address) >= place).length;
  return addresses.length === 0 || count > addresses.length / 2;
}

function isIn(members: readonly Member[], { identity }: Member): boolean {
  return members.some((member) => member.identity === identity);
}
