/** The token bucket of one queue (docs/design.md §3.1). Times in ms, rate in tokens per second. */
export interface Bucket {
  /** Tokens at `refilledAt`; may be a fraction. */
  readonly tokens: number;
  /** Ledger time of the last change. */
  readonly refilledAt: number;
}

/** How a bucket refills: so many tokens in each window, up to a capacity. */
export interface Limits {
  readonly tokens: number;
  readonly windowSeconds: number;
  readonly capacity: number;
}

/** Outcome of one draw; only TAKEN changes the bucket. */
export type Draw<Prompt> =
  | { readonly kind: "TAKEN"; readonly prompt: Prompt; readonly bucket: Bucket }
  | { readonly kind: "EMPTY" }
  /** wait in ms; undefined: until the season or the limit changes. */
  | { readonly kind: "RATE_LIMITED"; readonly wait: number | undefined };

/** Float noise that may not cost a waiter a second round; far below one token. */
const grain = 1e-9;

/** Refill in tokens per second. */
function rate(limits: Limits): number {
  return limits.tokens / limits.windowSeconds;
}

/** A bucket filled to its capacity. */
function full(limits: Limits, now: number): Bucket {
  return { tokens: limits.capacity, refilledAt: now };
}

/** Tokens at a moment; a clock that went back refills nothing. */
function level(bucket: Bucket, limits: Limits, now: number): number {
  const elapsed = Math.max(0, now - bucket.refilledAt) / 1_000;
  return Math.min(limits.capacity, bucket.tokens + elapsed * rate(limits));
}

/** The source's step: refill, check and dequeue as one. A token is spent only on a prompt taken. */
function draw<Prompt>(
  bucket: Bucket,
  limits: Limits,
  now: number,
  take: () => Prompt | undefined,
): Draw<Prompt> {
  const tokens = level(bucket, limits, now);
  if (tokens + grain >= 1) {
    const prompt = take();
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

/** New limits keep what was earned under the old ones, up to the new capacity. */
function relimit(bucket: Bucket, before: Limits, after: Limits, now: number): Bucket {
  return {
    tokens: Math.min(after.capacity, level(bucket, before, now)),
    refilledAt: Math.max(now, bucket.refilledAt),
  };
}

/** The token of a prompt that was never sent comes back, up to capacity. */
function restore(bucket: Bucket, limits: Limits, now: number): Bucket {
  return {
    tokens: Math.min(limits.capacity, level(bucket, limits, now) + 1),
    refilledAt: Math.max(now, bucket.refilledAt),
  };
}

export const bucket = { full, level, draw, relimit, restore, rate };
