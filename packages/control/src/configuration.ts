import {
  constants,
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

/** Runners are told it in a header, where a control character, or one beyond Latin-1, cannot stand. */
const tenantName = z
  .string()
  .max(200)
  .regex(/^[\x21-\x7e\xa0-\xff]([\x20-\x7e\xa0-\xff]*[\x21-\x7e\xa0-\xff])?$/, {
    error: "must have no control characters, none beyond Latin-1, and no space at its ends",
  });

/** The operators' configuration, read and checked whole before it is entered (docs/design.md §9). */
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

const moment = z.string().refine(isMoment, {
  error: "must be a date and time with its zone, such as 2026-12-24T00:00:00-05:00",
});

const season = z.strictObject({
  start: moment,
  end: moment,
  select: z.array(selector).min(1, { error: "must select something" }),
  /** Which runners its lots may use, by their labels. */
  runners: z.array(selector).default([]),
  waiting: z
    .int()
    .min(1, { error: "must be 1 or more; leave the season out to allow nothing new" })
    .max(10_000_000),
  bucket: limits.optional(),
  /** Opens again and again between start and end: five fields of cron in this zone, each time for so long. */
  calendar: z.string().max(200).optional(),
  zone: z.string().max(100).optional(),
  lastsMinutes: z.number().positive({ error: "must be more than 0" }).max(525_600).optional(),
});

const shape = z.strictObject({
  pools: z.record(z.string().regex(/^[^/]+$/, { error: "must have no slash" }), pool).default({}),
  passages: z.record(z.string().min(1), passage).default({}),
  models: z.record(name, model).default({}),
  ways: z.record(name, way).default({}),
  seasons: z.record(name, season).default({}),
  /** An earlier release knows none, and skips it. */
  callers: callers.optional(),
  /** Where it is there, even if it names nobody, each request must present a credential. */
  tenants: z.record(tenantName, tenant).optional(),
});

/** The whole document of the operators, as checked. */
export type Configuration = z.infer<typeof shape>;
/** A way by name: what is asked for, and which model serves it. */
export type Way = Configuration["ways"][string];
/** Runners of one kind. */
export type Pool = Configuration["pools"][string];
/** A way reached by host and path. */
export type Passage = Configuration["passages"][string];
/** Who may call, by name. */
export type Tenant = NonNullable<Configuration["tenants"]>[string];

/** Kept in control state and carried by the feed. */
export interface MarkedConfiguration {
  readonly mark: number;
  readonly value: Configuration;
  /** The operator's own text of it, told back as it was handed in, where an adapter translated it. */
  readonly origin?: string;
}

/** An earlier release kept none of the later parts. */
function read(held: MarkedConfiguration | undefined): MarkedConfiguration {
  if (held === undefined) return blank;
  const { pools, passages } = held.value as Partial<Configuration>;
  return pools === undefined || passages === undefined
    ? { ...held, value: { ...blank.value, ...held.value } }
    : held;
}

export const blank: MarkedConfiguration = {
  mark: 0,
  value: { pools: {}, passages: {}, models: {}, ways: {}, seasons: {} },
};

function isMoment(text: string): boolean {
  return (
    /^\d{4}-\d{2}-\d{2}T\d{2}:\d{2}(:\d{2})?(Z|[+-]\d{2}:\d{2})$/.test(text) &&
    Number.isFinite(Date.parse(text))
  );
}

/** The whole check: shape first, then what the parts say of each other. */
function check(input: unknown): Outcome<Configuration> {
  const parsed = shape.safeParse(input);
  if (!parsed.success) return outcome.bad(explain(parsed.error));
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
  const places = new Set<string>();
  for (const [key, each] of Object.entries(value.passages)) {
    const place = `${each.host}${each.prefix}`;
    if (places.has(place))
      found.push(`passages.${key}.prefix: another passage has the same host and prefix`);
    places.add(place);
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
      const reason = calendars.refuse(recurring, Date.parse(each.start), Date.parse(each.end));
      if (reason !== undefined) found.push(`seasons.${key}.${reason}`);
    }
    if (Date.parse(each.end) <= Date.parse(each.start))
      found.push(`seasons.${key}.end: must be after the start`);
    const contradiction = contradicts(each.select);
    if (contradiction !== undefined)
      found.push(`seasons.${key}.select: can select nothing, since ${contradiction}`);
    const impossible = contradicts(each.runners);
    if (impossible !== undefined)
      found.push(`seasons.${key}.runners: can select no runner, since ${impossible}`);
  }
  found.push(...sharedCredentials(value));
  return found.length > 0 ? outcome.bad(found.join("; ")) : outcome.good(value);
}

/** Two tenants may not share a credential; the reason does not repeat it, since credentials are secret. */
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

/** What is allowed but looks like a slip: labels that nothing in the configuration carries. */
function warnings(value: Configuration): string[] {
  const carried = new Set<string>(["way"]);
  for (const { labels: each } of queues(value))
    for (const key of Object.keys(each)) carried.add(key);
  for (const each of Object.values(value.ways))
    for (const key of Object.keys(each.labels)) carried.add(key);
  const found: string[] = [];
  for (const [key, each] of Object.entries(value.seasons)) {
    for (const { label } of each.select)
      if (!carried.has(label))
        found.push(
          `seasons.${key}.select: no model, adapter or way carries the label ${label}; only lots that bring it are selected`,
        );
  }
  return found;
}

function contradicts(selectors: z.infer<typeof selector>[]): string | undefined {
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
    const held = allowed.get(each.label);
    if (held === undefined) allowed.set(each.label, values);
    else for (const value of held) if (!values.has(value)) held.delete(value);
  }
  for (const label of present)
    if (absent.has(label)) return `${label} must both exist and not exist`;
  for (const [label, values] of allowed) if (values.size === 0) return `${label} can have no value`;
  return undefined;
}

/** A small change: objects are merged, null takes a key away (as RFC 7396 has it). */
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

/** Labels that a lot brings of its own; undefined where they are none. */
function labelsOf(input: unknown): Labels | undefined {
  const parsed = labels.safeParse(input);
  return parsed.success && Object.keys(parsed.data).length <= constants.lotLabelsMost
    ? parsed.data
    : undefined;
}

/** One queue per model and per adapter (the source's rule), and one per model that lots of passages ask for (§13.7). */
export interface QueuePlan {
  readonly queue: string;
  /** Its prompts are items of lots on passages. */
  readonly pooled?: true;
  readonly model: string;
  readonly adapter?: string;
  readonly limits: Limits;
  readonly waiting: number;
  readonly labels: Labels;
}

function queueOf(model: string, adapter: string | undefined): string {
  return adapter === undefined ? model : `${model}.${adapter}`;
}

function modelOf(queue: string): [model: string, adapter: string | undefined] {
  const cut = queue.indexOf(".");
  return cut < 0 ? [queue, undefined] : [queue.slice(0, cut), queue.slice(cut + 1)];
}

/**
 * Items of one model wait in one queue, whatever pool their passage leads to: so a passage that moves to another pool finds
 * its lots, and what they weigh, where they were. A model's own queue never has a slash in its name (§13.7).
 */
function poolQueue(model: string | undefined): string {
  return `pass/${model ?? ""}`;
}

function isPoolQueue(queue: string): boolean {
  return queue.includes("/");
}

/** The models of a pool that have queues: one without a name where its runners are plain. */
function modelsOf(pool: Pool): readonly string[] {
  return pool.models.length === 0 ? [""] : pool.models;
}

/** Pools that lots of a passage may run in now. */
function poolsOf(passage: Passage): string[] {
  const found = new Set<string>();
  for (const { pool: name, weight } of passage.pools) if (weight > 0) found.add(name);
  return [...found];
}

/** Queues that lots of a passage may fall into. */
function queuesOf(value: Configuration, passage: Passage): string[] {
  const found = new Set<string>();
  for (const name of poolsOf(passage))
    for (const each of modelsOf(value.pools[name]!)) found.add(poolQueue(each));
  return [...found];
}

/** The queue for a lot whose items ask for a model: its own, or the first of the passage where no pool of it names that model. */
function queueFor(value: Configuration, passage: Passage, asked: string | undefined): string {
  const own = poolQueue(asked);
  const all = queuesOf(value, passage);
  return all.includes(own) ? own : all[0]!;
}

function poolQueues(value: Configuration, { poolRate, poolBurst }: Policy): QueuePlan[] {
  const limitsOf = new Map<string, Limits>();
  const counted = new Set<string>();
  for (const passage of Object.values(value.passages ?? {})) {
    if (passage.kind !== "lot") continue;
    for (const key of poolsOf(passage)) {
      if (counted.has(key)) continue;
      counted.add(key);
      const each = value.pools[key]!;
      const own = each.bucket ?? { tokens: poolRate, windowSeconds: 1, capacity: poolBurst };
      for (const carried of modelsOf(each))
        limitsOf.set(poolQueue(carried), together(limitsOf.get(poolQueue(carried)), own));
    }
  }
  const plans: QueuePlan[] = [];
  for (const [queue, all] of limitsOf)
    plans.push({
      queue,
      pooled: true,
      model: queue.slice(poolQueue("").length),
      limits: all,
      waiting: constants.poolWaiting,
      labels: {},
    });
  return plans;
}

/** What several pools allow for one model together. */
function together(left: Limits | undefined, right: Limits): Limits {
  if (left === undefined) return right;
  return {
    tokens: left.tokens / left.windowSeconds + right.tokens / right.windowSeconds,
    windowSeconds: 1,
    capacity: left.capacity + right.capacity,
  };
}

function queues(value: Configuration, chosen: Policy = policy.usual): QueuePlan[] {
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

/** Seasons as windows around a moment: a recurring one gives the window that is open or to come next, and two more. */
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
  queueFor,
  poolsOf,
  queuesOf,
  seasonsOf,
  blank,
};
