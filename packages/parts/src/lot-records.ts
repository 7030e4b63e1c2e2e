import { constants } from "./constants.js";
import type { Ledger } from "./ledger.js";
import type { Item, ItemState, ItemView, Lot, QueueResult } from "./lot-messages.js";

/** What is left of a lot when its results are no longer kept. */
export interface Stone {
  readonly lot: string;
  readonly way: string;
  readonly body: string;
  readonly items: number;
  readonly cancelled: boolean;
  readonly endedAt: number;
}

/** An item that has not ended, under its key. */
export interface OpenItem {
  readonly key: string;
  readonly item: Item;
}

/** What a final item tells. */
export interface Final {
  readonly state: ItemState;
  readonly result?: unknown;
  readonly reason?: string;
}

export const ranOut: Final = { state: "failed", reason: "the lot's time ran out" };

/** Key of a lot. */
export function lotKey(lot: string): string {
  return `lot/${lot}`;
}

/** Key of an item. */
export function itemKey(lot: string, index: number): string {
  return `item/${lot}/${String(index).padStart(6, "0")}`;
}

/** Ledger time at which the lot of a tombstone ended. */
export function endedAt(stone: Stone): number {
  return stone.endedAt;
}

/** The season that governs the lot of an item. */
export function seasonOf(ledger: Ledger, item: Item): string {
  return ledger.read<Lot>(lotKey(item.lot))?.season ?? "";
}

/** Whether time alone ends a lot, or the keeping of its results. */
export function isExpired(lot: Lot, time: number): boolean {
  return lot.finishedAt === undefined
    ? lot.deadline <= time
    : lot.finishedAt + constants.lotKept <= time;
}

/** Word of a lot that ended long ago. */
export function gone({ lot, way, items, cancelled, endedAt }: Stone, time: number): QueueResult {
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
