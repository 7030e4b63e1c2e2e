/** The operators' configuration: its schema, its checks, and what is derived from it (docs/design.md §9). */
import {
  constants,
  lotDirectoryQueue,
  outcome,
  policy,
  type Labels,
  type Policy,
  type Limits,
  type Outcome,
  type Season,
} from "@chutewick/parts";
import { explain } from "@chutewick/shell";
import { calendars, type Calendar } from "./calendar.js";
import { z } from "zod";
import { callers, limits, passage, pool, tenant } from "./configuration-shapes.js";

/** Sent to runners in a header, which cannot carry control characters or characters outside Latin-1. */
const tenantName = z
  .string()
  .max(200)
  .regex(/^[\x21-\x7e\xa0-\xff]([\x20-\x7e\xa0-\xff]*[\x21-\x7e\xa0-\xff])?$/, {
    error: "must have no control characters, none beyond Latin-1, and no space at its ends",
  });

/** Name of a model, an adapter, a way or a season. */
const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, {
  error: "must be lower-case letters, digits and dashes, 63 at most",
});
const labelName = z.string().regex(/^[a-z0-9][a-z0-9./-]{0,62}$/, {
  error: "must be lower-case letters, digits, dots, slashes and dashes",
});
const labels = z.record(labelName, z.string().min(1).max(63));

const model = z.strictObject({
  adapters: z.array(name).max(1_000).default([]),
  bucket: limits,
  adapterBuckets: z.record(name, limits).default({}),
  waiting: z.int().min(0).max(1_000_000).default(10_000),
  labels: labels.default({}),
  adapterLabels: z.record(name, labels).default({}),
});

const way = z.strictObject({
  kind: z.enum(["one-shot", "stream", "fetch", "lot"]),
  model: name.optional(),
  adapter: name.optional(),
  labels: labels.default({}),
  runners: z.record(labelName, z.string()).default({}),
  deadlineSeconds: z.number().positive().max(86_400).optional(),
});

const selector = z.union(
  [
    z.strictObject({ label: labelName, equals: z.string().min(1) }),
    z.strictObject({
      label: labelName,
      in: z.array(z.string().min(1)).min(1, { error: "must name at least one value" }),
    }),
    z.strictObject({ label: labelName, exists: z.boolean() }),
  ],
  { error: "must be one of {label, equals}, {label, in} or {label, exists}" },
);

const timestamp = z.string().refine(isTimestamp, {
  error: "must be a date and time with its zone, such as 2026-12-24T00:00:00-05:00",
});

const season = z.strictObject({
  start: timestamp,
  end: timestamp,
  select: z.array(selector).min(1, { error: "must select something" }),
  /** Selects by their labels the runners that its lots may use; empty for all. */
  runners: z.array(selector).default([]),
  waiting: z
    .int()
    .min(1, { error: "must be 1 or more; leave the season out to allow nothing new" })
    .max(10_000_000),
  bucket: limits.optional(),
  /** A recurring season opens between start and end by a cron expression of five fields in `zone`, for `lastsMinutes` each time. */
  calendar: z.string().max(200).optional(),
  zone: z.string().max(100).optional(),
  lastsMinutes: z.number().positive({ error: "must be more than 0" }).max(525_600).optional(),
});

const configurationSchema = z.strictObject({
  pools: z.record(z.string().regex(/^[^/]+$/, { error: "must have no slash" }), pool).default({}),
  passages: z.record(z.string().min(1), passage).default({}),
  models: z.record(name, model).default({}),
  ways: z.record(name, way).default({}),
  seasons: z.record(name, season).default({}),
  /** Earlier releases have no such field and ignore it. */
  callers: callers.optional(),
  /** If present, even without any entry, each request must present a credential. */
  tenants: z.record(tenantName, tenant).optional(),
});

/** The configuration document, after its check. */
export type Configuration = z.infer<typeof configurationSchema>;
/** A way: a named route for requests of one kind, served by one model. */
export type Way = Configuration["ways"][string];
/** A pool: a group of runners of one kind. */
export type Pool = Configuration["pools"][string];
/** A passage: a route that is matched by host and path prefix. */
export type Passage = Configuration["passages"][string];
/** A tenant: callers that are known by their credentials. */
export type Tenant = NonNullable<Configuration["tenants"]>[string];

/** A configuration with its version, as it is stored in control state and sent with the feed. */
export interface VersionedConfiguration {
  /** Version of the configuration. */
  readonly mark: number;
  readonly value: Configuration;
  /** The operator's original text, returned as it was submitted, if an adapter translated it. */
  readonly origin?: string;
}

/** Fills in the fields that a configuration stored by an earlier release lacks. */
function read(stored: VersionedConfiguration | undefined): VersionedConfiguration {
  if (stored === undefined) return blank;
  const { pools, passages } = stored.value as Partial<Configuration>;
  return pools === undefined || passages === undefined
    ? { ...stored, value: { ...blank.value, ...stored.value } }
    : stored;
}

/** The configuration before the first one is submitted. */
export const blank: VersionedConfiguration = {
  mark: 0,
  value: { pools: {}, passages: {}, models: {}, ways: {}, seasons: {} },
};

function isTimestamp(text: string): boolean {
  return (
    /^\d{4}-\d{2}-\d{2}T\d{2}:\d{2}(:\d{2})?(Z|[+-]\d{2}:\d{2})$/.test(text) &&
    Number.isFinite(Date.parse(text))
  );
}

/** Validates a document: first its schema, then the references between its parts. */
function check(input: unknown): Outcome<Configuration> {
  const parsed = configurationSchema.safeParse(input);
  if (!parsed.success) return outcome.failure(explain(parsed.error));
  const value = parsed.data;
  const found: string[] = [];
  for (const [key, each] of Object.entries(value.models)) {
    if (new Set(each.adapters).size !== each.adapters.length)
      found.push(`models.${key}.adapters: names one adapter twice`);
    for (const adapter of Object.keys(each.adapterBuckets))
      if (!each.adapters.includes(adapter))
        found.push(`models.${key}.adapterBuckets.${adapter}: is not an adapter of this model`);
    for (const adapter of Object.keys(each.adapterLabels))
      if (!each.adapters.includes(adapter))
        found.push(`models.${key}.adapterLabels.${adapter}: is not an adapter of this model`);
  }
  for (const [key, each] of Object.entries(value.ways)) {
    if (each.kind === "fetch") {
      if (each.model !== undefined || each.adapter !== undefined)
        found.push(`ways.${key}.model: a fetch goes to plain runners and names no model`);
      continue;
    }
    if (each.model === undefined) found.push(`ways.${key}.model: is needed for this kind`);
    else if (!Object.hasOwn(value.models, each.model))
      found.push(`ways.${key}.model: there is no model ${each.model}`);
    else if (
      each.adapter !== undefined &&
      !value.models[each.model]!.adapters.includes(each.adapter)
    )
      found.push(`ways.${key}.adapter: ${each.model} has no adapter ${each.adapter}`);
    if (each.deadlineSeconds !== undefined && each.kind !== "lot")
      found.push(`ways.${key}.deadlineSeconds: is for lots only`);
  }
  const routes = new Set<string>();
  for (const [key, each] of Object.entries(value.passages)) {
    const route = `${each.host}${each.prefix}`;
    if (routes.has(route))
      found.push(`passages.${key}.prefix: another passage has the same host and prefix`);
    routes.add(route);
    let weights = 0;
    for (const { pool: name, weight } of each.pools) {
      weights += weight;
      if (!Object.hasOwn(value.pools, name))
        found.push(`passages.${key}.pools: there is no pool ${name}`);
    }
    if (weights <= 0) found.push(`passages.${key}.pools: the weights sum to 0`);
  }
  for (const [key, each] of Object.entries(value.seasons)) {
    const recurring = calendarOf(each);
    if (recurring === "half")
      found.push(`seasons.${key}.calendar: calendar, zone and lastsMinutes go together`);
    else if (recurring !== undefined && Date.parse(each.end) > Date.parse(each.start)) {
      const reason = calendars.problemWith(recurring, Date.parse(each.start), Date.parse(each.end));
      if (reason !== undefined) found.push(`seasons.${key}.${reason}`);
    }
    if (Date.parse(each.end) <= Date.parse(each.start))
      found.push(`seasons.${key}.end: must be after the start`);
    const contradiction = contradictionIn(each.select);
    if (contradiction !== undefined)
      found.push(`seasons.${key}.select: can select nothing, since ${contradiction}`);
    const impossible = contradictionIn(each.runners);
    if (impossible !== undefined)
      found.push(`seasons.${key}.runners: can select no runner, since ${impossible}`);
  }
  found.push(...sharedCredentials(value));
  return found.length > 0 ? outcome.failure(found.join("; ")) : outcome.success(value);
}

/** Credentials that two tenants share. The message does not contain the credential, since it is secret. */
function sharedCredentials({ tenants = {} }: Configuration): string[] {
  const found: string[] = [];
  const owners = new Map<string, string>();
  for (const [key, { credentials }] of Object.entries(tenants))
    for (const credential of credentials) {
      const owner = owners.get(credential) ?? key;
      if (owner !== key) found.push(`tenants.${key}.credentials: shares one with ${owner}`);
      owners.set(credential, owner);
    }
  return found;
}

/** The calendar of a recurring season; "half" if only some of its three fields are given. */
function calendarOf({
  calendar,
  zone,
  lastsMinutes,
}: {
  calendar?: string;
  zone?: string;
  lastsMinutes?: number;
}): Calendar | "half" | undefined {
  if (calendar === undefined && zone === undefined && lastsMinutes === undefined) return undefined;
  return calendar === undefined || zone === undefined || lastsMinutes === undefined
    ? "half"
    : { calendar, zone, lastsMinutes };
}

/** Warnings about probable mistakes: selectors on labels that nothing in the configuration has. */
function warnings(value: Configuration): string[] {
  const knownLabels = new Set<string>(["way"]);
  for (const { labels: each } of queues(value))
    for (const key of Object.keys(each)) knownLabels.add(key);
  for (const each of Object.values(value.ways))
    for (const key of Object.keys(each.labels)) knownLabels.add(key);
  const found: string[] = [];
  for (const [key, each] of Object.entries(value.seasons)) {
    for (const { label } of each.select)
      if (!knownLabels.has(label))
        found.push(
          `seasons.${key}.select: no model, adapter or way carries the label ${label}; only lots that bring it are selected`,
        );
  }
  return found;
}

/** Why no set of labels can match all of the selectors, or undefined if one can. */
function contradictionIn(selectors: z.infer<typeof selector>[]): string | undefined {
  const allowed = new Map<string, Set<string>>();
  const absent = new Set<string>();
  const present = new Set<string>();
  for (const each of selectors) {
    if ("exists" in each) {
      (each.exists ? present : absent).add(each.label);
      continue;
    }
    present.add(each.label);
    const values = new Set("equals" in each ? [each.equals] : each.in);
    const permitted = allowed.get(each.label);
    if (permitted === undefined) allowed.set(each.label, values);
    else for (const value of permitted) if (!values.has(value)) permitted.delete(value);
  }
  for (const label of present)
    if (absent.has(label)) return `${label} must both exist and not exist`;
  for (const [label, values] of allowed) if (values.size === 0) return `${label} can have no value`;
  return undefined;
}

/** Applies a JSON merge patch (RFC 7396): objects are merged, null removes a key. */
function patch(target: unknown, change: unknown): unknown {
  if (typeof change !== "object" || change === null || Array.isArray(change)) return change;
  const base: Record<string, unknown> =
    typeof target === "object" && target !== null && !Array.isArray(target)
      ? { ...(target as Record<string, unknown>) }
      : {};
  for (const [key, value] of Object.entries(change)) {
    if (key === "__proto__") continue;
    if (value === null) delete base[key];
    else base[key] = patch(base[key], value);
  }
  return base;
}

/** Validates the labels of a lot; undefined if they are invalid or too many. */
function labelsOf(input: unknown): Labels | undefined {
  const parsed = labels.safeParse(input);
  return parsed.success && Object.keys(parsed.data).length <= constants.maxLotLabels
    ? parsed.data
    : undefined;
}

/**
 * A queue that the configuration calls for: one for each model and each adapter (as in the paper), and one for each model that
 * lots of passages request (docs/design.md §13.7).
 */
export interface QueuePlan {
  readonly queue: string;
  /** The queue holds items of lots on passages. */
  readonly pooled?: true;
  readonly model: string;
  readonly adapter?: string;
  readonly limits: Limits;
  /** The most that may be waiting in the queue. */
  readonly waiting: number;
  readonly labels: Labels;
}

const MS_PER_S = 1_000;

const poolQueuePrefix = "pass/";

function queueOf(model: string, adapter: string | undefined): string {
  return adapter === undefined ? model : `${model}.${adapter}`;
}

function modelOf(queue: string): [model: string, adapter: string | undefined] {
  const cut = queue.indexOf(".");
  return cut < 0 ? [queue, undefined] : [queue.slice(0, cut), queue.slice(cut + 1)];
}

/**
 * The queue for items of lots on passages. Items of one model share one queue, whichever pool their passage uses, so that a
 * passage can move to another pool and keep its lots and their counts. Other queues never have a slash in their names
 * (docs/design.md §13.7).
 */
function poolQueue(model: string | undefined): string {
  return poolQueuePrefix + (model ?? "");
}

function isPoolQueue(queue: string): boolean {
  return queue.startsWith(poolQueuePrefix);
}

/** Whether a queue belongs to a model or an adapter: it holds items of ways, not those of passages. */
function isModelQueue(queue: string): boolean {
  return !isPoolQueue(queue) && queue !== lotDirectoryQueue;
}

/** Time in ms after the submission of a lot after which its items may be abandoned. */
function keepsMs({ keeps }: Passage): number {
  return keeps === undefined ? constants.defaultLotDeadlineMs : keeps * MS_PER_S;
}

/** Whether lots can be submitted, so that the lot directory must exist. */
function acceptsLots(value: Configuration): boolean {
  for (const { kind } of Object.values(value.passages ?? {})) if (kind === "lot") return true;
  return false;
}

/** The models of a pool that have queues; an empty name stands for the plain runners of a pool without models. */
function modelsOf(pool: Pool): readonly string[] {
  return pool.models.length === 0 ? [""] : pool.models;
}

/** Pools that lots of a passage may currently run in: those with a weight above 0. */
function poolsOf(passage: Passage): string[] {
  const found = new Set<string>();
  for (const { pool: name, weight } of passage.pools) if (weight > 0) found.add(name);
  return [...found];
}

/** Queues that items of lots of a passage may be placed in. */
function queuesOf(value: Configuration, passage: Passage): string[] {
  const found = new Set<string>();
  for (const name of poolsOf(passage))
    for (const each of modelsOf(value.pools[name]!)) found.add(poolQueue(each));
  return [...found];
}

/** The queue for a lot whose items request a model: that model's queue, or the first of the passage if no pool has the model. */
function queueFor(value: Configuration, passage: Passage, model: string | undefined): string {
  const own = poolQueue(model);
  const all = queuesOf(value, passage);
  return all.includes(own) ? own : all[0]!;
}

function poolQueues(value: Configuration, { poolRate, poolBurst }: Policy): QueuePlan[] {
  const limitsByQueue = new Map<string, Limits>();
  const counted = new Set<string>();
  for (const passage of Object.values(value.passages ?? {})) {
    if (passage.kind !== "lot") continue;
    for (const name of poolsOf(passage)) {
      if (counted.has(name)) continue;
      counted.add(name);
      const each = value.pools[name]!;
      const own = each.bucket ?? { tokens: poolRate, windowSeconds: 1, capacity: poolBurst };
      for (const model of modelsOf(each))
        limitsByQueue.set(poolQueue(model), sumLimits(limitsByQueue.get(poolQueue(model)), own));
    }
  }
  const plans: QueuePlan[] = [];
  for (const [queue, all] of limitsByQueue)
    plans.push({
      queue,
      pooled: true,
      model: queue.slice(poolQueue("").length),
      limits: all,
      waiting: constants.poolQueueCapacityItems,
      labels: {},
    });
  return plans;
}

/** The sum of two rate limits, as a rate per second. */
function sumLimits(left: Limits | undefined, right: Limits): Limits {
  if (left === undefined) return right;
  return {
    tokens: left.tokens / left.windowSeconds + right.tokens / right.windowSeconds,
    windowSeconds: 1,
    capacity: left.capacity + right.capacity,
  };
}

/** All queues that a configuration calls for. */
function queues(value: Configuration, chosen: Policy = policy.defaults): QueuePlan[] {
  const plans: QueuePlan[] = [];
  for (const [key, each] of Object.entries(value.models)) {
    const common = { model: key, waiting: each.waiting, labels: { ...each.labels, model: key } };
    plans.push({ queue: queueOf(key, undefined), limits: each.bucket, ...common });
    for (const adapter of each.adapters)
      plans.push({
        queue: queueOf(key, adapter),
        adapter,
        limits: each.adapterBuckets[adapter] ?? each.bucket,
        ...common,
        labels: { ...common.labels, ...each.adapterLabels?.[adapter], model: key, adapter },
      });
  }
  plans.push(...poolQueues(value, chosen));
  return plans;
}

/** Seasons as time windows: a recurring season yields the window that is open or comes next, and two more. */
function seasonsOf(value: Configuration, wall: number): Season[] {
  const all: Season[] = [];
  for (const [key, each] of Object.entries(value.seasons)) {
    const one = {
      name: key,
      select: each.select,
      runners: each.runners ?? [],
      waiting: each.waiting,
      ...(each.bucket === undefined ? {} : { limits: each.bucket }),
    };
    const [start, end] = [Date.parse(each.start), Date.parse(each.end)];
    const recurring = calendarOf(each);
    if (recurring === undefined || recurring === "half") all.push({ ...one, start, end });
    else
      for (const window of calendars.windows(recurring, start, end, wall))
        all.push({ ...one, ...window });
  }
  return all;
}

export const configuration = {
  read,
  check,
  warnings,
  patch,
  labelsOf,
  queues,
  queueOf,
  modelOf,
  poolQueue,
  isPoolQueue,
  isModelQueue,
  acceptsLots,
  keepsMs,
  queueFor,
  poolsOf,
  queuesOf,
  seasonsOf,
  blank,
};
