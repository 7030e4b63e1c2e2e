/** Schemas of the parts of a configuration that belong to passages (docs/design.md §9, §13.1). */
import { z } from "zod";

/** A token bucket: the tokens added in each window, and its capacity. */
export const limits = z.strictObject({
  tokens: z.number().min(0, { error: "must not be negative" }).max(1_000_000),
  windowSeconds: z.number().positive({ error: "must be more than 0" }).max(86_400),
  capacity: z
    .number()
    .min(1, { error: "must be 1 or more, or no prompt could ever be taken" })
    .max(1_000_000),
});

/** Bounds of the number of runners of a pool; they hold for each zone separately. */
const scaling = z
  .strictObject({
    minimum: z.int().min(0),
    maximum: z.int().min(1),
    /** Time in ms from the order of a runner until it serves. */
    boot: z.number().min(0),
  })
  .refine(({ minimum, maximum }) => minimum <= maximum, {
    error: "the minimum must not be above the maximum",
  });

/** A pool: a group of runners of one kind that passages route to (docs/design.md §13.1). */
export const pool = z.strictObject({
  /** Models that its runners serve; empty for plain runners. */
  models: z.array(z.string().min(1).max(200)).max(1_000).default([]),
  /** Concurrency slots of one runner, if known. */
  seats: z.int().min(1).optional(),
  /** Tokens that fit into the memory of one runner, if known. */
  memoryTokens: z.int().min(1).optional(),
  /** Connections that one runner accepts from all nodes together; 0 for no limit. */
  connections: z.int().min(0).default(0),
  probePath: z.string().default("/health"),
  bucket: limits.optional(),
  /** Bounds for ordering runners from the platform; without it none are ordered (docs/design.md §14). */
  scaling: scaling.optional(),
});

const poolShare = z.strictObject({ pool: z.string().min(1), weight: z.number().min(0) });

/** A passage: a route by host and path prefix whose requests are forwarded unchanged to runners of a pool (docs/design.md §13.1). */
export const passage = z.strictObject({
  host: z.string().min(1),
  prefix: z.string().regex(/^\/(.*\/)?$/, { error: "must begin and end with a slash" }),
  /**
   * safe: a request may run more than once. once: it runs at most once. stream: the response is a stream of events. lot: a batch
   * job whose items are submitted and run later.
   */
  kind: z.enum(["safe", "once", "stream", "lot"]),
  pools: z.array(poolShare).min(1),
  /** Priority; 0 is the highest. */
  rank: z.int().min(0).default(0),
  /** Most attempts for a request; for an item, the number of its own failures after which it is abandoned. */
  goesMost: z.int().min(1).default(1),
  /** Timeout of a request in ms. */
  guard: z.number().positive({ error: "must be more than 0" }),
  /** Target time in ms for a result: until the first event, or until the acceptance of a lot. */
  aim: z.number().min(0).default(0),
  /** Target for the longest pause between two events, in ms. */
  gap: z.number().min(0).optional(),
  resumable: z.boolean().default(false),
  affinity: z.boolean().default(false),
  /** Limit of waiting tokens over all lots of this passage; 0 for no limit. */
  waitingTokens: z.number().min(0).default(0),
  /** Time in ms after the submission of a lot by which all of its results are due. */
  within: z.number().min(0).optional(),
  /** Time in seconds after the submission of a lot after which an item may be abandoned. */
  keeps: z.number().min(0).optional(),
  /** Whether callers need no credential here even if the configuration names tenants. */
  keyless: z.boolean().optional(),
});

/** A tenant, identified by the credentials that its callers present (docs/design.md §13.10). */
export const tenant = z.strictObject({
  credentials: z.array(z.string().min(1).max(512)).max(1_000),
  /** Overrides the priority of the passage; 0 is the highest. */
  rank: z.int().min(0).optional(),
});

/** Limits for requests on passages; a field that is left out has the default value (docs/design.md §13.2). */
export const callers = z.strictObject({
  headerBytes: z.int().min(1).max(1_048_576).optional(),
  bodyBytes: z.int().min(1).max(1_073_741_824).optional(),
  /** Timeout in ms for receiving the headers of a request. */
  headerWait: z.number().min(1).max(86_400_000).optional(),
  /** Timeout in ms for an idle connection. */
  idleWait: z.number().min(1).max(86_400_000).optional(),
});
