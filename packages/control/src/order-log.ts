import { createHash } from "node:crypto";
import { constants, type Ledger } from "@chutewick/parts";
import { keys } from "./keys.js";

/**
 * An accepted order: the version it produced, the digest of its idempotency key, and the ledger time in ms at which it was accepted
 * (missing in records written by earlier releases).
 */
export type AcceptedOrder = readonly [version: number, digest: string, at?: number];

/** Recently accepted orders, oldest first. */
export interface AcceptedOrdersRecord {
  readonly orders: readonly AcceptedOrder[];
}

/** Versions and idempotency keys of the last orders, as earlier adapter releases stored them in the origin of a configuration. */
interface EarlierOrigin {
  readonly taken?: readonly (readonly [version: number, key: string])[];
}

/**
 * Replicated log that deduplicates operators' orders by idempotency key. The command that accepts an order also reads and writes
 * this log, so an order has one outcome no matter how often and to which machine it is sent.
 *
 * An order is retained for `orderRetentionMs`, which is longer than any caller retries. The last `minRememberedOrders` orders are retained
 * regardless of their age; `maxRememberedOrders` bounds the record.
 */
export class OrderLog {
  readonly #ledger: Ledger;
  readonly #orders: readonly AcceptedOrder[];

  /** @param origin origin of the current configuration; it may hold idempotency keys written by earlier releases */
  constructor(ledger: Ledger, origin: string | undefined) {
    this.#ledger = ledger;
    this.#orders = mergeOrders(
      ledger.read<AcceptedOrdersRecord>(keys.taken)?.orders ?? [],
      earlierOrders(origin),
    );
  }

  /** Version produced by the accepted order with this key; undefined if there is none. */
  find(key: string | undefined): number | undefined {
    if (key === undefined) return undefined;
    const digest = digestOf(key);
    for (const [version, accepted] of this.#orders) if (accepted === digest) return version;
    return undefined;
  }

  add(key: string | undefined, version: number, time: number): void {
    if (key === undefined) return;
    const retained: AcceptedOrder[] = [];
    const count = this.#orders.length + 1;
    for (const [index, order] of this.#orders.entries())
      if (isRetained(order, count - index, time)) retained.push(order);
    retained.push([version, digestOf(key), time]);
    this.#ledger.put(keys.taken, { orders: retained } satisfies AcceptedOrdersRecord);
  }
}

/** Whether an order stays in the log; `rank` is 1 for the newest. */
function isRetained([, , at]: AcceptedOrder, rank: number, time: number): boolean {
  if (rank <= constants.minRememberedOrders) return true;
  return (
    rank <= constants.maxRememberedOrders &&
    at !== undefined &&
    time - at <= constants.orderRetentionMs
  );
}

function digestOf(key: string): string {
  return createHash("sha256").update(key).digest("base64");
}

function mergeOrders(
  orders: readonly AcceptedOrder[],
  earlier: readonly AcceptedOrder[],
): readonly AcceptedOrder[] {
  const digests = new Set<string>();
  for (const [, digest] of orders) digests.add(digest);
  const missing: AcceptedOrder[] = [];
  for (const order of earlier) if (!digests.has(order[1])) missing.push(order);
  return missing.length === 0 ? orders : [...missing, ...orders];
}

function earlierOrders(origin: string | undefined): AcceptedOrder[] {
  const orders: AcceptedOrder[] = [];
  for (const [version, key] of parseOrigin(origin).taken ?? [])
    orders.push([version, digestOf(key)]);
  return orders;
}

function parseOrigin(origin: string | undefined): EarlierOrigin {
  if (origin === undefined || !origin.startsWith("{")) return {};
  try {
    const parsed = JSON.parse(origin) as EarlierOrigin;
    return Array.isArray(parsed.taken) ? parsed : {};
  } catch {
    return {};
  }
}
