import {
  constants,
  season as seasons,
  type Labels,
  type RunnerCard,
  type Season,
  type Selector,
} from "@chutewick/parts";
import { configuration, type Configuration, type QueuePlan } from "./configuration.js";
import { standingClasses, type QueueStanding } from "./machine.js";
import { governingIn, type ShareReport } from "./pace.js";

/** What an operator asks about seasons: what holds for a way, a model or a lot (docs/design.md §8.9). */
export interface Asked {
  readonly way?: string;
  readonly model?: string;
  readonly adapter?: string;
  /** Labels that a lot would bring. */
  readonly labels: Labels;
}

/** State of the control group that an explanation is made from. */
export interface Known {
  readonly value: Configuration;
  readonly wall: number;
  readonly standings: ReadonlyMap<string, QueueStanding>;
  readonly reports: ReadonlyMap<string, ShareReport>;
  readonly runners: readonly RunnerCard[];
}

/** An explanation as JSON, or why there is none. */
export type Explained =
  | { readonly kind: "EXPLAINED"; readonly value: Record<string, unknown> }
  | { readonly kind: "REFUSED"; readonly reason: string };

function refused(reason: string): Explained {
  return { kind: "REFUSED", reason };
}

function planOf(asked: Asked, value: Configuration): QueuePlan | string {
  let { model, adapter } = asked;
  if (asked.way !== undefined) {
    const way = Object.hasOwn(value.ways, asked.way) ? value.ways[asked.way] : undefined;
    if (way === undefined) return `way: there is no way ${asked.way}`;
    if (way.kind !== "lot") return `way: ${asked.way} takes no lots, and seasons govern lots`;
    ({ model, adapter } = way);
  }
  if (model === undefined) return "model: name a model or a way";
  const queue = configuration.queueOf(model, adapter);
  return (
    configuration.queues(value).find(isQueue, { queue }) ??
    `model: there is no model or adapter ${queue}`
  );
}

/** What holds for lots of a way, model or adapter with these labels now, and why. */
function explain(asked: Asked, known: Known): Explained {
  const plan = planOf(asked, known.value);
  if (typeof plan === "string") return refused(plan);
  const labels: Labels = {
    ...asked.labels,
    ...(asked.way === undefined ? {} : { ...known.value.ways[asked.way]!.labels, way: asked.way }),
    ...plan.labels,
  };
  const calendar = configuration.seasonsOf(known.value, known.wall);
  const governing = seasons.deciding(calendar, labels, known.wall);
  const name = governing?.name ?? "";
  const standing = known.standings.get(plan.queue);
  const held = standingClasses(standing).find(isSeason, { season: name });
  const told = known.reports.get(plan.queue)?.classes.get(name);
  const mine: Season[] = [];
  for (const one of calendar) if (seasons.matches(one.select, labels)) mine.push(one);
  const next = seasons.nextChange(mine, known.wall);
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
      shareOfThisQueue: held?.target ?? 0,
      stillGranted: held?.granted ?? 0,
      mayComeToWait: told?.held ?? null,
      waitingOrRefusedLately: told?.need ?? null,
      bucket: standing?.base ?? plan.limits,
      pace: standing?.limits ?? null,
      eighthsOfBucket: standing?.pace ?? null,
      runners: chosen,
      nextChange: next === undefined ? null : iso(next),
      why: why(governing, mine, known, standing, chosen.length),
    },
  };
}

function why(
  governing: Season | undefined,
  mine: readonly Season[],
  known: Known,
  standing: QueueStanding | undefined,
  runners: number,
): string {
  const parts: string[] = [];
  if (governing === undefined)
    parts.push(
      mine.length === 0
        ? "no season selects these labels: the model's own waiting and bucket hold"
        : "a season selects these labels, but none is open now: the model's own waiting and bucket hold",
    );
  else {
    const others: string[] = [];
    for (const one of seasons.opened(mine, known.wall))
      if (one.name !== governing.name) others.push(one.name);
    parts.push(
      others.length === 0
        ? `season ${governing.name} is the only open one that selects these labels`
        : `season ${governing.name} started last of the open ones that select these labels (${others.join(", ")})`,
    );
    if (
      governing.limits !== undefined &&
      standing !== undefined &&
      JSON.stringify(standing.base) !== JSON.stringify(governing.limits)
    )
      parts.push(
        "its bucket does not hold here, since it does not select the queue by the labels of model and adapter alone, or a later one does",
      );
  }
  if (runners === 0) parts.push("no runner that is there now may take these lots, so they wait");
  else if (standing !== undefined)
    parts.push(
      standing.pace === constants.paceSteps
        ? "live work leaves room for the whole pace"
        : `live work leaves ${standing.pace} eighths of the pace`,
    );
  return parts.join("; ");
}

function runnersFor(
  plan: { model: string; queue: string },
  selectors: readonly Selector[],
  runners: readonly RunnerCard[],
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

/** What a season that is not entered yet would select, were it open now. */
function preview(input: unknown, known: Known): Explained {
  const entered = configuration.check(
    configuration.patch(known.value, { seasons: { preview: null } }),
  );
  if (!entered.ok) return refused(entered.reason);
  const checked = configuration.check({
    ...entered.value,
    seasons: { ...entered.value.seasons, preview: input },
  });
  if (!checked.ok) return refused(checked.reason.replaceAll("seasons.preview.", ""));
  const { value } = checked;
  const one: Season = {
    name: "preview",
    start: 0,
    end: 1,
    select: value.seasons["preview"]!.select,
    runners: value.seasons["preview"]!.runners,
    waiting: value.seasons["preview"]!.waiting,
  };
  const queues: Record<string, unknown> = {};
  for (const plan of configuration.queues(value)) {
    const { seasons: found, whole } = governingIn([one], plan, value);
    if (found.length > 0)
      queues[plan.queue] = {
        lots: whole ? "all" : "those that bring or whose way has the labels",
        runners: runnersFor(plan, one.runners, known.runners),
      };
  }
  const ways: string[] = [];
  for (const [name, way] of Object.entries(value.ways)) {
    if (way.kind !== "lot") continue;
    const plan = configuration
      .queues(value)
      .find(isQueue, { queue: configuration.queueOf(way.model!, way.adapter) })!;
    if (seasons.mayMatch(one.select, { ...way.labels, ...plan.labels, way: name })) ways.push(name);
  }
  const next: string[] = [];
  for (const each of configuration.seasonsOf(value, known.wall))
    if (each.name === "preview") next.push(`${iso(each.start)} to ${iso(each.end)}`);
  const mine: string[] = [];
  for (const warning of configuration.warnings(value))
    if (warning.startsWith("seasons.preview.")) mine.push(warning.replace("seasons.preview.", ""));
  return { kind: "EXPLAINED", value: { queues, ways, opens: next, warnings: mine } };
}

function iso(moment: number): string {
  return new Date(moment).toISOString();
}

function isQueue(this: { queue: string }, plan: { queue: string }): boolean {
  return plan.queue === this.queue;
}

function isSeason(this: { season: string }, each: { season: string }): boolean {
  return each.season === this.season;
}

export const explanations = { explain, preview };
