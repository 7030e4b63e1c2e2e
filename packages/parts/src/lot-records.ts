/** Records of lots and items in the ledger of a queue, and their keys. */
import { constants } from "./constants.js";
import type { Ledger } from "./ledger.js";
import type { Item, ItemState, ItemView, Lot, QueueResult } from "./lot-messages.js";

/** What remains of a lot after its results were deleted. */
export interface LotTombstone {
  readonly lot: string;
  readonly way: string;
  readonly body: string;
  readonly items: number;
  readonly cancelled: boolean;
  readonly endedAt: number;
}

/** An unfinished item with its ledger key. */
export interface OpenItem {
  readonly key: string;
  readonly item: Item;
}

/** The final outcome of an item. */
export interface FinalState {
  readonly state: ItemState;
  readonly result?: unknown;
  readonly reason?: string;
}

/** The outcome of items that were unfinished at their lot's deadline. */
export const deadlineExceeded: FinalState = { state: "failed", reason: "the lot's time ran out" };

/** Ledger key of a lot. */
export function lotKey(lot: string): string {
  return `lot/${lot}`;
}

/** Ledger key of an item; the index has a fixed width, so that keys sort by index. */
export function itemKey(lot: string, index: number): string {
  return `item/${lot}/${String(index).padStart(6, "0")}`;
}

/** Ledger time at which the lot of a tombstone ended. */
export function endedAt(tombstone: LotTombstone): number {
  return tombstone.endedAt;
}

/** The season that governs the lot of an item. */
export function seasonOf(ledger: Ledger, item: Item): string {
  return ledger.read<Lot>(lotKey(item.lot))?.season ?? "";
}

/** Whether a lot is past its deadline, or a finished one past the retention of its results. */
export function isExpired(lot: Lot, time: number): boolean {
  return lot.finishedAt === undefined
    ? lot.deadline <= time
    : lot.finishedAt + constants.lotResultRetentionMs <= time;
}

/** The result for a lot that ended and whose results were deleted. */
export function goneResult(
  { lot, way, items, cancelled, endedAt }: LotTombstone,
  time: number,
): QueueResult {
  return { kind: "GONE", lot, way, items, cancelled, endedBefore: time - endedAt };
}

/** What a caller is shown of a lot's items. */
export function itemViews(ledger: Ledger, lot: Lot): ItemView[] {
  const items: ItemView[] = [];
  for (let index = 0; index < lot.items; index += 1) {
    const { state, result, reason } = ledger.read<Item>(itemKey(lot.id, index))!;
    items.push({
      index,
      state,
      ...(result === undefined ? {} : { result }),
      ...(reason === undefined ? {} : { reason }),
    });
  }
  return items;
}
