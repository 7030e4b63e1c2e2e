/** The token bucket of a queue, and the ledger keys that all kinds of lots share. */
import { bucket, type Bucket, type Limits } from "./bucket.js";
import type { Ledger } from "./ledger.js";

/** What a command of a queue's state machine is applied to: the records, at a ledger time. */
export interface Context {
  readonly ledger: Ledger;
  readonly time: number;
}

/** Ledger keys of the token bucket and its limits. */
export const bucketKey = "bucket";
export const limitsKey = "limits";
/** Key of the sequence number of the next submitted item; all kinds of lots share it. */
export const sequenceKey = "sequence";

/** The queue's token bucket and limits, or undefined before the control plane has assigned limits. */
export function limitedBucket(ledger: Ledger): { held: Bucket; limits: Limits } | undefined {
  const limits = ledger.read<{ readonly limits: Limits }>(limitsKey)?.limits;
  const held = ledger.read<Bucket>(bucketKey);
  return limits === undefined || held === undefined ? undefined : { held, limits };
}

/** Returns the token of an item that was never sent to a runner (docs/design.md §3.3). */
export function restoreToken({ ledger, time }: Context): void {
  const limited = limitedBucket(ledger);
  if (limited !== undefined)
    ledger.put(bucketKey, bucket.restore(limited.held, limited.limits, time));
}
