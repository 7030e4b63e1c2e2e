/** Records of lots on passages in the ledger of a queue, and their keys. */
import type { Ledger } from "./ledger.js";
import type { Claim, Tenancy } from "./pass-messages.js";

/** A lot (batch job) that was submitted on a passage, as stored by its queue. */
export interface PassLot {
  readonly id: string;
  /** Name of the passage. */
  readonly way: string;
  readonly host: string;
  /** Owner of the lot; later changes to the submitter's credentials don't affect it. */
  readonly tenant?: string;
  /** Whether the lot directory assigned it to this queue; undefined from releases without a directory. */
  readonly assigned?: boolean;
  /** Number of items. */
  readonly total: number;
  /** Number of unfinished items. */
  readonly open: number;
  /** Number of listed results. */
  readonly listed: number;
  /** Maximum number of attempts in which the runner itself fails. */
  readonly goesMost: number;
  /** Ledger time from which unfinished items fail. */
  readonly until: number;
  /** Ledger times between which its items yield to others in the queue; undefined for lots without a target time. */
  readonly yieldsFrom?: number;
  readonly yieldsUntil?: number;
  /** Whether the client ended the lot. */
  readonly ended?: boolean;
  readonly finishedAt?: number;
}

/** State of an unfinished item. Its body and partial text have records of their own, so that a claim rewrites neither. */
export interface TaskRecord {
  readonly sequence: number;
  readonly state: "queued" | "processing";
  /** Number of the newest claim (attempt); 0 before the first. */
  readonly go: number;
  /** Attempts in which the runner itself failed. */
  readonly troubles: number;
  readonly tokens: number;
  /** Address of the dispatcher that holds the claim. */
  readonly holder?: string;
  /** Identity of that dispatcher's process (incarnation). */
  readonly by?: string;
  /** Consecutive runs that broke without an event. */
  readonly breaks?: number;
  /** End of the backoff after such runs; the item isn't dequeued before. */
  readonly restsUntil?: number;
}

/** The newest claim on an item that is being processed. */
export interface ActiveClaim extends Required<Pick<TaskRecord, "go" | "holder">> {
  readonly by: string | undefined;
}

/** Output of the runs that broke. */
export interface PartialText {
  readonly text: string;
  readonly events: number;
  /** Number of the last event received. */
  readonly upTo: number;
}

/** Joins the outputs of two runs. */
export function concatenate(
  left: { text: string; events: number } | undefined,
  right: { text: string; events: number },
): { text: string; events: number } {
  if (left === undefined || left.events === 0) return right;
  if (right.events === 0) return left;
  return { text: `${left.text}\n${right.text}`, events: left.events + right.events };
}

/** What remains of a lot after its results were deleted. */
export interface PassTombstone {
  readonly lot: string;
  /** Ledger time at which the lot ended. */
  readonly since: number;
  readonly tenant?: string;
  /** See `PassLot.assigned`. */
  readonly assigned?: boolean;
}

/** Whether a reader may see a lot: a tenant can't see the lots of other tenants. */
export function isVisibleTo({ tenant }: { readonly tenant?: string }, reader?: Tenancy): boolean {
  return reader === undefined || tenant === undefined || tenant === reader.tenant;
}

export const lotPrefix = "handed/";

/** Ledger key of a lot. */
export function passLotKey(lot: string): string {
  return lotPrefix + lot;
}

export const tombstonePrefix = "bygone/";

/** Whether a lot or tombstone was accepted without the lot directory, by an earlier release. */
export function hasUnassignedLots(ledger: Ledger): boolean {
  for (const prefix of [lotPrefix, tombstonePrefix])
    for (const [, { assigned }] of ledger.under<{ readonly assigned?: boolean }>(prefix))
      if (assigned !== true) return true;
  return false;
}

/**
 * Ledger key of a record that belongs to an item or a list position. Lot names are chosen by callers and may contain
 * slashes: the number comes last, with a fixed width, so that `claimOf` can split the key again.
 */
export function indexedKey(
  kind: "task" | "body" | "text" | "result",
  lot: string,
  index: number,
): string {
  return `${kind}/${lot}/${String(index).padStart(6, "0")}`;
}

/** The claim that a task key or item key denotes. */
export function claimOf(key: string, attempt: number): Claim {
  const separator = key.lastIndexOf("/");
  return {
    lot: key.slice(key.indexOf("/") + 1, separator),
    index: Number(key.slice(separator + 1)),
    go: attempt,
  };
}

/** Ledger key of the state of an unfinished item. */
export function taskKey(lot: string, index: number): string {
  return indexedKey("task", lot, index);
}
