/** Shapes of the parts of a configuration that passages rest on (docs/design.md §9, §13.1). */
import { z } from "zod";

/** A token bucket: tokens gained in each window, and how many it holds. */
export const limits = z.strictObject({
  tokens: z.number().min(0, { error: "must not be negative" }).max(1_000_000),
  windowSeconds: z.number().positive({ error: "must be more than 0" }).max(86_400),
  capacity: z
    .number()
    .min(1, { error: "must be 1 or more, or no prompt could ever be taken" })
    .max(1_000_000),
});

/** Bounds of the number of runners of a pool, in each zone by itself. */
const scaling = z
  .strictObject({
    minimum: z.int().min(0),
    maximum: z.int().min(1),
    /** ms from the order of a runner until it serves. */
    boot: z.number().min(0),
  })
  .refine(({ minimum, maximum }) => minimum <= maximum, {
    error: "the minimum must not be above the maximum",
  });

/** Runners of one kind that passages lead to (docs/design.md §13.1). */
export const pool = z.strictObject({
  /** Models that its runners carry; none where they are plain. */
  models: z.array(z.string().min(1).max(200)).max(1_000).default([]),
  /** Seats of one runner, and the tokens that its memory takes, where they are told. */
  seats: z.int().min(1).optional(),
  memoryTokens: z.int().min(1).optional(),
  /** Connections that one runner accepts from all nodes together; 0 for no limit. */
  connections: z.int().min(0).default(0),
  probePath: z.string().default("/health"),
  bucket: limits.optional(),
  /** How many runners of it may be ordered; none are where it is left out (docs/design.md §14). */
  scaling: scaling.optional(),
});

const poolShare = z.strictObject({ pool: z.string().min(1), weight: z.number().min(0) });

/** A way reached by host and path, whose requests pass byte for byte to runners of a pool (docs/design.md §13.1). */
export const passage = z.strictObject({
  host: z.string().min(1),
  prefix: z.string().regex(/^\/(.*\/)?$/, { error: "must begin and end with a slash" }),
  /** safe: may run more than once. once: at most once. stream: a series of events. lot: items handed in, to run later. */
  kind: z.enum(["safe", "once", "stream", "lot"]),
  pools: z.array(poolShare).min(1),
  /** 0 goes first. */
  rank: z.int().min(0).default(0),
  /** Runners that one try may be sent to; for an item, failures of its own after which it is given up. */
  goesMost: z.int().min(1).default(1),
  /** ms. The longest that one try is held. */
  guard: z.number().positive({ error: "must be more than 0" }),
  /** ms. Within which a result is worth most: to the first event, or to the acceptance of a lot. */
  aim: z.number().min(0).default(0),
  /** ms. Longest pause between events that is still in time. */
  gap: z.number().min(0).optional(),
  resumable: z.boolean().default(false),
  affinity: z.boolean().default(false),
  /** Tokens that may wait, of all lots of this passage together; 0 for no limit. */
  waitingTokens: z.number().min(0).default(0),
  /** ms after the handing in by which all results are due. */
  within: z.number().min(0).optional(),
  /** s after the handing in after which an item may be given up. */
  keeps: z.number().min(0).optional(),
  /** Callers need no credential here, though the configuration names tenants. */
  keyless: z.boolean().optional(),
});

/** Who may call, by the credentials that its callers present (docs/design.md §13.10). */
export const tenant = z.strictObject({
  credentials: z.array(z.string().min(1).max(512)).max(1_000),
  /** In place of the rank of the passage; 0 goes first. */
  rank: z.int().min(0).optional(),
});

/** What callers on passages may send and how long they may take; where one is left out the usual holds (docs/design.md §13.2). */
export const callers = z.strictObject({
  headerBytes: z.int().min(1).max(1_048_576).optional(),
  bodyBytes: z.int().min(1).max(1_073_741_824).optional(),
  /** ms */
  headerWait: z.number().min(1).max(86_400_000).optional(),
  /** ms */
  idleWait: z.number().min(1).max(86_400_000).optional(),
});
