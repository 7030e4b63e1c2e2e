import type { Claim, Tenancy } from "./pass-messages.js";

/** A lot of items on a passage, as its queue keeps it. */
export interface PassLot {
  readonly id: string;
  readonly way: string;
  readonly host: string;
  /** Whose it is, whatever becomes of the credential with which it was handed in. */
  readonly tenant?: string;
  readonly total: number;
  readonly open: number;
  readonly listed: number;
  readonly goesMost: number;
  /** Moment of the ledger from which its items may be given up. */
  readonly until: number;
  /** Moments from which its items let others pass, and from which they no longer do; none where no time is wanted. */
  readonly yieldsFrom?: number;
  readonly yieldsUntil?: number;
  readonly ended?: boolean;
  readonly finishedAt?: number;
}

/** State of an item that has not ended; body and text stand in records of their own, so that a claim rewrites neither. */
export interface TaskRecord {
  readonly sequence: number;
  readonly state: "queued" | "processing";
  readonly go: number;
  readonly troubles: number;
  readonly tokens: number;
  readonly holder?: string;
  readonly by?: string;
  /** Runs on end that broke without an event, and the moment before which it is not drawn again for that. */
  readonly breaks?: number;
  readonly restsUntil?: number;
}

/** What a run that broke had put out. */
export interface PartialText {
  readonly text: string;
  readonly events: number;
  readonly upTo: number;
}

/** That a lot was here, and ended so long ago that it is no longer kept. */
export interface BygoneLot {
  readonly lot: string;
  readonly since: number;
  readonly tenant?: string;
}

/** Whether a lot is there for who asks: another tenant's is not. */
export function isOpenTo({ tenant }: { readonly tenant?: string }, reader?: Tenancy): boolean {
  return reader === undefined || tenant === undefined || tenant === reader.tenant;
}

/** Key of a lot. */
export function handedKey(lot: string): string {
  return `handed/${lot}`;
}

export const bygonePrefix = "bygone/";

/** Names of lots are their callers': the number stands last and is of one length, so any name can be cut off again. */
export function numbered(
  kind: "task" | "body" | "text" | "result",
  lot: string,
  index: number,
): string {
  return `${kind}/${lot}/${String(index).padStart(6, "0")}`;
}

/** The claim that a key of a task, or of an item, stands for. */
export function claimOf(key: string, go: number): Claim {
  const cut = key.lastIndexOf("/");
  return { lot: key.slice(key.indexOf("/") + 1, cut), index: Number(key.slice(cut + 1)), go };
}

/** Key of the state of an item that has not ended. */
export function taskKey(lot: string, index: number): string {
  return numbered("task", lot, index);
}
