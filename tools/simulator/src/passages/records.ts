import type { LotEntry, LotResult } from "@chutewick/data";
import type { LotOperation } from "@chutewick/history";

/** What is known of lots, their items and the runners from outside the product; times are ms of virtual time. */

/** One item as runners met it. */
export interface ItemRecord {
  readonly id: string;
  /** Events of its whole answer. */
  readonly events: number;
  /** Whether every runner turns it away as wrong. */
  readonly poisoned: boolean;
  /** Runs that failed at their runner. */
  troubles: number;
  finished: boolean;
  finishedAt: number;
  begunAt: number;
  runs: number;
}

/** One lot as its clients saw it. */
export interface LotSight {
  readonly id: string;
  /** Whose it is, where there are tenants. */
  readonly tenant: string | undefined;
  readonly items: Map<string, ItemRecord>;
  readonly entries: readonly LotEntry[];
  /** What came of each try to hand it in. */
  readonly tries: string[];
  readonly firstAt: number;
  toldAt: number | undefined;
  takenAt: number | undefined;
  endAskedAt: number | undefined;
  endedAt: number | undefined;
  /** Results in the order of the lot's list. */
  readonly shown: LotResult[];
  /** What its clients saw of it, judged at the end of the run. */
  readonly operations: LotOperation[];
  doneAt: number | undefined;
}

/** A runner on the passage. */
export interface PassRunner {
  readonly id: string;
  readonly address: string;
  readonly pool: string;
  incarnation: number;
  alive: boolean;
  /** Nothing of it arrives any more, and no connection to it comes up. */
  isDark: boolean;
  /** Attempts that it runs now. */
  readonly runs: Set<object>;
}

/** How often things go wrong at runners, as shares, and ms between two events of an answer. */
export interface PassManner {
  trouble: number;
  tear: number;
  turnAway: number;
  pieceMs: number;
}

/** The bytes of the body with which an item was handed in. */
export function bodyOf(item: string): string {
  return `body of ${item}`;
}

/** The data of one event of an item's answer. */
export function eventDataOf(item: string, number: number): string {
  return `${item}#${number}`;
}

/** The path at which an item is asked for. */
export function pathOf(item: string): string {
  return `/slips/${item}`;
}

/** Whether a try to hand in was told that the lot was refused. */
export function isRefused(told: string): boolean {
  return told === "refused";
}
