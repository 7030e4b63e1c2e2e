import { bucket, type Bucket, type Limits } from "./bucket.js";
import type { Ledger } from "./ledger.js";

/** One command of a queue's machine, as it is applied: to which records, at which moment of the ledger. */
export interface Step {
  readonly ledger: Ledger;
  readonly time: number;
}

export const keyBucket = "bucket";
export const keyLimits = "limits";
/** The number of the next item handed in, for all kinds of lots. */
export const keySequence = "sequence";

/** The queue's bucket with its limits, or undefined where control has told none yet. */
export function limitedBucket(ledger: Ledger): { held: Bucket; limits: Limits } | undefined {
  const limits = ledger.read<{ readonly limits: Limits }>(keyLimits)?.limits;
  const held = ledger.read<Bucket>(keyBucket);
  return limits === undefined || held === undefined ? undefined : { held, limits };
}

/** Gives back the token of a prompt that was never sent (docs/design.md §3.3). */
export function restoreToken({ ledger, time }: Step): void {
  const limited = limitedBucket(ledger);
  if (limited !== undefined)
    ledger.put(keyBucket, bucket.restore(limited.held, limited.limits, time));
}
