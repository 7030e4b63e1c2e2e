/** Token buckets of queues (docs/design.md §3.1). Times in ms, rates in tokens per second. */

/** State of a token bucket. */
export interface Bucket {
  /** Tokens at `refilledAt`; may be a fraction. */
  readonly tokens: number;
  /** Ledger time in ms of the last change. */
  readonly refilledAt: number;
}

/** Refill of a bucket: tokens per window, up to a capacity. */
export interface Limits {
  readonly tokens: number;
  readonly windowSeconds: number;
  readonly capacity: number;
}

/** Outcome of dequeuing one prompt; only TAKEN changes the bucket. */
export type Draw<Prompt> =
  | { readonly kind: "TAKEN"; readonly prompt: Prompt; readonly bucket: Bucket }
  | { readonly kind: "EMPTY" }
  /** Wait in ms; undefined: until the season or the limit changes. */
  | { readonly kind: "RATE_LIMITED"; readonly wait: number | undefined };

/** Tolerance for rounding errors, which must not make a caller wait twice; far below one token. */
const TOKEN_TOLERANCE = 1e-9;

/** Refill in tokens per second. */
function rate(limits: Limits): number {
  return limits.tokens / limits.windowSeconds;
}

/** A bucket filled to its capacity. */
function full(limits: Limits, now: number): Bucket {
  return { tokens: limits.capacity, refilledAt: now };
}

/** Tokens at a given time; a clock that went back adds none. */
function tokensAt(bucket: Bucket, limits: Limits, now: number): number {
  const elapsed = Math.max(0, now - bucket.refilledAt) / 1_000;
  return Math.min(limits.capacity, bucket.tokens + elapsed * rate(limits));
}

/** Refills, checks and dequeues in one step. A token is spent only if a prompt was dequeued. */
function draw<Prompt>(
  bucket: Bucket,
  limits: Limits,
  now: number,
  dequeue: () => Prompt | undefined,
): Draw<Prompt> {
  const tokens = tokensAt(bucket, limits, now);
  if (tokens + TOKEN_TOLERANCE >= 1) {
    const prompt = dequeue();
    if (prompt === undefined) return { kind: "EMPTY" };
    return {
      kind: "TAKEN",
      prompt,
      bucket: { tokens: Math.max(0, tokens - 1), refilledAt: Math.max(now, bucket.refilledAt) },
    };
  }
  const perSecond = rate(limits);
  if (perSecond <= 0 || limits.capacity < 1) return { kind: "RATE_LIMITED", wait: undefined };
  return { kind: "RATE_LIMITED", wait: ((1 - tokens) / perSecond) * 1_000 };
}

/** Changes the limits; tokens accumulated under the old ones are kept up to the new capacity. */
function changeLimits(bucket: Bucket, before: Limits, after: Limits, now: number): Bucket {
  return {
    tokens: Math.min(after.capacity, tokensAt(bucket, before, now)),
    refilledAt: Math.max(now, bucket.refilledAt),
  };
}

/** Returns the token of a prompt that was never sent, up to the capacity. */
function restore(bucket: Bucket, limits: Limits, now: number): Bucket {
  return {
    tokens: Math.min(limits.capacity, tokensAt(bucket, limits, now) + 1),
    refilledAt: Math.max(now, bucket.refilledAt),
  };
}

export const bucket = {
  full,
  tokensAt,
  draw,
  changeLimits,
  restore,
  rate,
};
