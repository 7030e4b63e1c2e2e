import { createHash } from "node:crypto";
import { constants, type Ledger } from "@chutewick/parts";
import { keys } from "./keys.js";

/** An order that was taken: its version, the snapshot of its idempotency key, and when (ms of the ledger; none in earlier releases). */
export type TakenOrder = readonly [mark: number, digest: string, at?: number];

/** Orders taken lately, oldest first. */
export interface TakenRecord {
  readonly orders: readonly TakenOrder[];
}

/** What earlier releases of an adapter kept in the origin of a configuration: versions and keys of the last orders. */
interface EarlierOrigin {
  readonly taken?: readonly (readonly [mark: number, key: string])[];
}

/**
 * The replicated memory of orders by idempotency key. It is read and written by the command that takes the order, so an
 * order has one outcome however often, and to whichever machine, it is sent.
 *
 * An order is remembered for `orderRemembered`, longer than any caller repeats a sending, and at least as one of the last
 * `ordersKept`; `ordersKeptMost` bounds the record.
 */
export class OrderLog {
  readonly #ledger: Ledger;
  readonly #orders: readonly TakenOrder[];

  /** The origin of the configuration in force, from which keys of earlier releases are read. */
  constructor(ledger: Ledger, origin: string | undefined) {
    this.#ledger = ledger;
    this.#orders = merged(
      ledger.read<TakenRecord>(keys.taken)?.orders ?? [],
      earlierOrders(origin),
    );
  }

  /** The version under which the order with this key was taken. */
  find(key: string | undefined): number | undefined {
    if (key === undefined) return undefined;
    const snapshot = snapshotOf(key);
    for (const [mark, taken] of this.#orders) if (taken === snapshot) return mark;
    return undefined;
  }

  add(key: string | undefined, mark: number, time: number): void {
    if (key === undefined) return;
    const kept: TakenOrder[] = [];
    const excess = this.#orders.length + 1;
    for (const [index, order] of this.#orders.entries())
      if (isKept(order, excess - index, time)) kept.push(order);
    kept.push([mark, snapshotOf(key), time]);
    this.#ledger.put(keys.taken, { orders: kept } satisfies TakenRecord);
  }
}

/** Whether an order stays remembered; `rank` is 1 for the newest. */
function isKept([, , at]: TakenOrder, rank: number, time: number): boolean {
  if (rank <= constants.ordersKept) return true;
  return (
    rank <= constants.ordersKeptMost && at !== undefined && time - at <= constants.orderRemembered
  );
}

function snapshotOf(key: string): string {
  return createHash("sha256").update(key).digest("base64");
}

function merged(
  orders: readonly TakenOrder[],
  earlier: readonly TakenOrder[],
): readonly TakenOrder[] {
  const snapshots = new Set<string>();
  for (const [, snapshot] of orders) snapshots.add(snapshot);
  const missing: TakenOrder[] = [];
  for (const order of earlier) if (!snapshots.has(order[1])) missing.push(order);
  return missing.length === 0 ? orders : [...missing, ...orders];
}

function earlierOrders(origin: string | undefined): TakenOrder[] {
  const orders: TakenOrder[] = [];
  for (const [mark, key] of originOf(origin).taken ?? []) orders.push([mark, snapshotOf(key)]);
  return orders;
}

function originOf(origin: string | undefined): EarlierOrigin {
  if (origin === undefined || !origin.startsWith("{")) return {};
  try {
    const parsed = JSON.parse(origin) as EarlierOrigin;
    return Array.isArray(parsed.taken) ? parsed : {};
  } catch {
    return {};
  }
}
