/** Explains to operators which season governs a lot, and previews a new season (docs/design.md §8.9). */
import {
  constants,
  season as seasons,
  type Labels,
  type RunnerDescriptor,
  type Season,
  type Selector,
} from "@chutewick/parts";
import { configuration, type Configuration, type QueuePlan } from "./configuration.js";
import { quotaClasses, type QueueQuota } from "./machine.js";
import { governingSeasons, type ShareReport } from "./pace.js";

/** An operator's query: which season governs lots of a way, a model or an adapter. */
export interface SeasonQuery {
  readonly way?: string;
  readonly model?: string;
  readonly adapter?: string;
  /** Labels of the lot itself. */
  readonly labels: Labels;
}

/** State of the control group that explanations are derived from. */
export interface SeasonContext {
  readonly value: Configuration;
  /** Wall-clock time in ms. */
  readonly wall: number;
  readonly queueQuotas: ReadonlyMap<string, QueueQuota>;
  readonly reports: ReadonlyMap<string, ShareReport>;
  readonly runners: readonly RunnerDescriptor[];
}

/** An explanation as JSON, or why there is none. */
export type ExplainOutcome =
  | { readonly kind: "EXPLAINED"; readonly value: Record<string, unknown> }
  | { readonly kind: "REFUSED"; readonly reason: string };

function refused(reason: string): ExplainOutcome {
  return { kind: "REFUSED", reason };
}

/** The queue that a query is about, or why there is none. */
function planOf(query: SeasonQuery, value: Configuration): QueuePlan | string {
  let { model, adapter } = query;
  if (query.way !== undefined) {
    const way = Object.hasOwn(value.ways, query.way) ? value.ways[query.way] : undefined;
    if (way === undefined) return `way: there is no way ${query.way}`;
    if (way.kind !== "lot") return `way: ${query.way} takes no lots, and seasons govern lots`;
    ({ model, adapter } = way);
  }
  if (model === undefined) return "model: name a model or a way";
  const queue = configuration.queueOf(model, adapter);
  return (
    configuration.queues(value).find(isQueue, { queue }) ??
    `model: there is no model or adapter ${queue}`
  );
}

/** The season, share and throttle that currently apply to lots with these labels, and why. */
function explain(query: SeasonQuery, known: SeasonContext): ExplainOutcome {
  const plan = planOf(query, known.value);
  if (typeof plan === "string") return refused(plan);
  const labels: Labels = {
    ...query.labels,
    ...(query.way === undefined ? {} : { ...known.value.ways[query.way]!.labels, way: query.way }),
    ...plan.labels,
  };
  const calendar = configuration.seasonsOf(known.value, known.wall);
  const governing = seasons.inForce(calendar, labels, known.wall);
  const name = governing?.name ?? "";
  const quota = known.queueQuotas.get(plan.queue);
  const share = quotaClasses(quota).find(isSeason, { season: name });
  const report = known.reports.get(plan.queue)?.classes.get(name);
  const matching: Season[] = [];
  for (const season of calendar) if (seasons.matches(season.select, labels)) matching.push(season);
  const next = seasons.nextChange(matching, known.wall);
  const chosen = runnersFor(plan, governing?.runners ?? [], known.runners);
  return {
    kind: "EXPLAINED",
    value: {
      queue: plan.queue,
      labels,
      season: governing?.name ?? null,
      ...(governing === undefined
        ? {}
        : { opensAt: iso(governing.start), closesAt: iso(governing.end) }),
      allowance: governing?.waiting ?? plan.waiting,
      shareOfThisQueue: share?.target ?? 0,
      stillGranted: share?.granted ?? 0,
      mayComeToWait: report?.held ?? null,
      waitingOrRefusedLately: report?.need ?? null,
      bucket: quota?.base ?? plan.limits,
      pace: quota?.limits ?? null,
      eighthsOfBucket: quota?.pace ?? null,
      runners: chosen,
      nextChange: next === undefined ? null : iso(next),
      why: reasonFor(governing, matching, known, quota, chosen.length),
    },
  };
}

/** The explanation as a sentence. */
function reasonFor(
  governing: Season | undefined,
  matching: readonly Season[],
  known: SeasonContext,
  quota: QueueQuota | undefined,
  runners: number,
): string {
  const parts: string[] = [];
  if (governing === undefined)
    parts.push(
      matching.length === 0
        ? "no season selects these labels: the model's own waiting and bucket hold"
        : "a season selects these labels, but none is open now: the model's own waiting and bucket hold",
    );
  else {
    const others: string[] = [];
    for (const season of seasons.opened(matching, known.wall))
      if (season.name !== governing.name) others.push(season.name);
    parts.push(
      others.length === 0
        ? `season ${governing.name} is the only open one that selects these labels`
        : `season ${governing.name} started last of the open ones that select these labels (${others.join(", ")})`,
    );
    if (
      governing.limits !== undefined &&
      quota !== undefined &&
      JSON.stringify(quota.base) !== JSON.stringify(governing.limits)
    )
      parts.push(
        "its bucket does not hold here, since it does not select the queue by the labels of model and adapter alone, or a later one does",
      );
  }
  if (runners === 0) parts.push("no runner that is there now may take these lots, so they wait");
  else if (quota !== undefined)
    parts.push(
      quota.pace === constants.throttleLevels
        ? "live work leaves room for the whole pace"
        : `live work leaves ${quota.pace} eighths of the pace`,
    );
  return parts.join("; ");
}

/** Ids of the runners that serve a queue and match the selectors. */
function runnersFor(
  plan: { model: string; queue: string },
  selectors: readonly Selector[],
  runners: readonly RunnerDescriptor[],
): string[] {
  const found: string[] = [];
  for (const runner of runners) {
    const serves =
      runner.kind === "model" &&
      (runner.models.includes(plan.model) || runner.models.includes(plan.queue));
    if (serves && seasons.matches(selectors, runner.labels)) found.push(runner.id);
  }
  return found.sort();
}

/** What a season that is not configured yet would select if it were open now. */
function preview(input: unknown, known: SeasonContext): ExplainOutcome {
  const others = configuration.check(
    configuration.patch(known.value, { seasons: { preview: null } }),
  );
  if (!others.ok) return refused(others.reason);
  const checked = configuration.check({
    ...others.value,
    seasons: { ...others.value.seasons, preview: input },
  });
  if (!checked.ok) return refused(checked.reason.replaceAll("seasons.preview.", ""));
  const { value } = checked;
  const season: Season = {
    name: "preview",
    start: 0,
    end: 1,
    select: value.seasons["preview"]!.select,
    runners: value.seasons["preview"]!.runners,
    waiting: value.seasons["preview"]!.waiting,
  };
  const queues: Record<string, unknown> = {};
  for (const plan of configuration.queues(value)) {
    const { seasons: found, whole } = governingSeasons([season], plan, value);
    if (found.length > 0)
      queues[plan.queue] = {
        lots: whole ? "all" : "those that bring or whose way has the labels",
        runners: runnersFor(plan, season.runners, known.runners),
      };
  }
  const ways: string[] = [];
  for (const [name, way] of Object.entries(value.ways)) {
    if (way.kind !== "lot") continue;
    const plan = configuration
      .queues(value)
      .find(isQueue, { queue: configuration.queueOf(way.model!, way.adapter) })!;
    if (seasons.mayMatch(season.select, { ...way.labels, ...plan.labels, way: name }))
      ways.push(name);
  }
  const windows: string[] = [];
  for (const each of configuration.seasonsOf(value, known.wall))
    if (each.name === "preview") windows.push(`${iso(each.start)} to ${iso(each.end)}`);
  const warnings: string[] = [];
  for (const warning of configuration.warnings(value))
    if (warning.startsWith("seasons.preview."))
      warnings.push(warning.replace("seasons.preview.", ""));
  return { kind: "EXPLAINED", value: { queues, ways, opens: windows, warnings } };
}

function iso(time: number): string {
  return new Date(time).toISOString();
}

function isQueue(this: { queue: string }, plan: { queue: string }): boolean {
  return plan.queue === this.queue;
}

function isSeason(this: { season: string }, each: { season: string }): boolean {
  return each.season === this.season;
}

export const explanations = { explain, preview };
