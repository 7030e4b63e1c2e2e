/**
 * The lot directory: the replicated records that say in which queue a lot is kept (docs/design.md §13.11). The first assignment of
 * an id is final, whichever node asks and whatever configuration it knows, so a lot cannot be accepted by two queues.
 */
import { constants } from "./constants.js";
import type { Ledger } from "./ledger.js";
import type { Context } from "./queue-bucket.js";

/**
 * Name of the chain that keeps the directory. Releases without a directory take any name with a slash for a queue of passages;
 * their draws and reads find nothing in it.
 */
export const lotDirectoryQueue = "lots/directory";

/** Asks for the queue of a lot that is about to be submitted. */
export interface AssignLotCommand {
  readonly kind: "assign-lot";
  readonly lot: string;
  /** New lots of one group share a queue, which counts what waits of them. */
  readonly group: string;
  /** Queue of a lot that is new, if its group has none yet; undefined if such a lot is not to be assigned. */
  readonly queue?: string;
  /** The lot was found in `queue`, which accepted it before there was a directory: its group does not count. */
  readonly isFixed?: boolean;
  /** Time in ms for which items of the lot may run. */
  readonly keeps: number;
}

/** The queue of a lot. `again`: the lot was known before; `knownFor`: time in ms for which the directory keeps the id at least. */
export interface LotAssignedResult {
  readonly kind: "LOT_ASSIGNED";
  readonly lot: string;
  readonly queue: string;
  readonly again: boolean;
  readonly knownFor: number;
}

/** The queue of a lot, or of the new lots of a group. */
interface Assignment {
  readonly queue: string;
  /** Ledger time until which the record is kept. */
  readonly until: number;
}

const keyPrefix = "assigned/";

function lotKey(lot: string): string {
  return `${keyPrefix}lot/${lot}`;
}

function groupKey(group: string): string {
  return `${keyPrefix}group/${group}`;
}

/** How long (ms) the id of a lot must stay assigned if its items may run for `keeps` ms: until its queue has forgotten it. */
export function assignmentLifetimeMs(keeps: number): number {
  return (
    keeps +
    constants.deadlineGraceMs +
    constants.lotResultRetentionMs +
    constants.lotTombstoneRetentionMs
  );
}

/** State machine part of the lot directory. */
export class LotDirectory {
  /** Earliest ledger time at which a record expires; derived from the ledger. */
  #earliestExpiry = Number.POSITIVE_INFINITY;

  rebuild(ledger: Ledger): void {
    this.#earliestExpiry = Number.POSITIVE_INFINITY;
    for (const [, { until }] of ledger.under<Assignment>(keyPrefix)) this.#trackExpiry(until);
  }

  /**
   * Assigns a lot to a queue. A known lot keeps its queue. A new lot joins the queue of its group, so that one queue counts all
   * waiting tokens of a passage, or begins a group in the queue that the command proposes.
   */
  assign(
    { ledger, time }: Context,
    command: AssignLotCommand,
  ): LotAssignedResult | { kind: "UNKNOWN_LOT" } {
    const { lot, group, keeps } = command;
    const least = time + assignmentLifetimeMs(keeps) + constants.lotAssignmentMarginMs;
    const known = ledger.read<Assignment>(lotKey(lot));
    const joined = command.isFixed === true ? undefined : ledger.read<Assignment>(groupKey(group));
    const queue = known?.queue ?? joined?.queue ?? command.queue;
    if (queue === undefined) return { kind: "UNKNOWN_LOT" };
    const until = this.#keepUntil(ledger, lotKey(lot), { queue, until: known?.until ?? 0 }, least);
    if (known === undefined && command.isFixed !== true)
      this.#keepUntil(ledger, groupKey(group), { queue, until: joined?.until ?? 0 }, least);
    return {
      kind: "LOT_ASSIGNED",
      lot,
      queue,
      again: known !== undefined,
      knownFor: until - time - constants.lotAssignmentMarginMs,
    };
  }

  /** Extends a record that would expire too early, by more than is needed, so that few repetitions write. Returns its expiry. */
  #keepUntil(ledger: Ledger, key: string, { queue, until }: Assignment, least: number): number {
    if (until >= least) return until;
    const step = constants.lotAssignmentStepMs;
    const extended = (Math.floor(least / step) + 2) * step;
    ledger.put(key, { queue, until: extended } satisfies Assignment);
    this.#trackExpiry(extended);
    return extended;
  }

  #trackExpiry(until: number): void {
    this.#earliestExpiry = Math.min(this.#earliestExpiry, until);
  }

  isExpiryDue(time: number): boolean {
    return this.#earliestExpiry <= time;
  }

  /** Removes expired records; returns their number. */
  expire({ ledger, time }: Context): number {
    if (!this.isExpiryDue(time)) return 0;
    const expired: string[] = [];
    this.#earliestExpiry = Number.POSITIVE_INFINITY;
    for (const [key, { until }] of ledger.under<Assignment>(keyPrefix))
      if (until <= time) expired.push(key);
      else this.#trackExpiry(until);
    for (const key of expired) ledger.remove(key);
    return expired.length;
  }
}
