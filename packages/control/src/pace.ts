/** Plans the quotas of queues: open seasons, shares of the allowances and the throttle level (docs/design.md §8.4, §8.5). */
import {
  constants,
  policy,
  sameLimits,
  season as seasons,
  type Labels,
  type Limits,
  type NodeDescriptor,
  type Policy,
  type RunnerDescriptor,
  type Season,
  type Selector,
} from "@chutewick/parts";
import { configuration, type Configuration, type QueuePlan } from "./configuration.js";
import { quotaClasses, type QueueQuota, type QuotaClass } from "./machine.js";

/** The last report of a queue's owner on the shares that it has put into force. */
export interface ShareReport {
  /** Version of the shares that the owner applies. */
  readonly shareMark: number;
  /** By season: the most that may still be waiting (`held`), and the demand (`need`). */
  readonly classes: ReadonlyMap<string, { readonly held: number; readonly need: number }>;
}

/** The input of one planning round. */
export interface PlanningContext {
  /** The configuration in force. */
  readonly value: Configuration;
  /** Wall-clock time in ms; decides which seasons are open. */
  readonly wall: number;
  /** Monotonic time in ms. */
  readonly now: number;
  readonly queueQuotas: ReadonlyMap<string, QueueQuota>;
  /** By queue; missing for a queue whose owner has not reported yet. */
  readonly reports: ReadonlyMap<string, ShareReport>;
  readonly runners: readonly RunnerDescriptor[];
  readonly access: readonly NodeDescriptor[];
}

/** The throttle of one model or adapter. */
interface ThrottleState {
  level: number;
  /** Since when (monotonic ms) the free capacity would allow a higher level. */
  freeCapacitySince: number | undefined;
}

/** The share of an allowance that one season is to have in one queue. */
interface ShareDemand {
  readonly queue: string;
  readonly season: string;
  readonly select: readonly Selector[];
  readonly runners: readonly Selector[];
  readonly wanted: number;
}

/** The quota that is planned for a queue, class by class. */
interface QuotaDraft {
  readonly season: string | null;
  readonly base: Limits;
  readonly pace: number;
  readonly classes: QuotaClass[];
}

/** Selectors that match every lot and every runner. */
const unrestricted: readonly Selector[] = [];

/** Plans the quotas of all queues; runs on the head of the control chain. */
export class QuotaPlanner {
  #throttles = new Map<string, ThrottleState>();
  #policy: Policy;

  constructor(chosen: Policy = policy.defaults) {
    this.#policy = chosen;
  }

  /** The queue quotas that have to change now. */
  plan(context: PlanningContext): [queue: string, quota: QueueQuota][] {
    const drafts = new Map<string, QuotaDraft>();
    // Grouped by season, or by queue for lots that no season selects.
    const groups = new Map<string, { allowance: number; demands: ShareDemand[] }>();
    const calendar = configuration.seasonsOf(context.value, context.wall);
    const openSeasons = seasons.opened(calendar, context.wall);
    function addDemand(key: string, allowance: number, demand: ShareDemand): void {
      const group = groups.get(key) ?? { allowance, demands: [] };
      group.demands.push(demand);
      groups.set(key, group);
    }
    const planned = new Set<string>();
    for (const plan of configuration.queues(context.value, this.#policy)) {
      const { queue } = plan;
      planned.add(queue);
      const governing = governingSeasons(openSeasons, plan, context.value);
      for (const season of governing.seasons)
        addDemand(`season ${season.name}`, season.waiting, {
          queue,
          season: season.name,
          select: season.select,
          runners: season.runners,
          wanted: 0,
        });
      if (!governing.whole)
        addDemand(`queue ${queue}`, plan.waiting, {
          queue,
          season: "",
          select: unrestricted,
          runners: unrestricted,
          wanted: 0,
        });
      const decidingSeason = seasons.inForce(calendar, plan.labels, context.wall);
      const runnerSeasons =
        governing.whole && governing.seasons.every(restrictsRunners) ? governing.seasons : [];
      drafts.set(queue, {
        season: governing.seasons[0]?.name ?? null,
        base: decidingSeason?.limits ?? plan.limits,
        pace: this.#throttleLevelOf(plan.queue, plan.model, plan.adapter, runnerSeasons, context),
        classes: [],
      });
    }
    // Shares of past seasons and of queues that are no longer configured count until they are drained.
    for (const [queue, quota] of context.queueQuotas) {
      if (!drafts.has(queue)) {
        const [model, adapter] = configuration.modelOf(queue);
        drafts.set(queue, {
          season: quota.season,
          base: quota.base ?? quota.limits,
          pace: this.#throttleLevelOf(queue, model, adapter, [], context),
          classes: [],
        });
      }
      for (const { season, select, runners, granted } of quotaClasses(quota)) {
        const key = season === "" ? `queue ${queue}` : `season ${season}`;
        if (groups.get(key)?.demands.some(isForQueue, { queue }) === true) continue;
        // Keeps a class that a draining lot may still belong to, so that its runners stay known.
        if (granted > 0 || !planned.has(queue))
          addDemand(key, 0, { queue, season, select, runners, wanted: 0 });
      }
    }
    for (const { allowance, demands } of groups.values())
      grantShares(divideAllowance(demands, allowance, context), allowance, context, drafts);
    const changes: [string, QueueQuota][] = [];
    for (const [queue, draft] of drafts) {
      const next = nextQuota(context.queueQuotas.get(queue), draft);
      if (next !== undefined) changes.push([queue, next]);
    }
    return changes;
  }

  /**
   * The throttle level of a queue. Queues of pools are never throttled here: the nodes that dequeue from them know the free
   * capacity (docs/design.md §13.4).
   */
  #throttleLevelOf(
    queue: string,
    model: string,
    adapter: string | undefined,
    runnerSeasons: readonly Season[],
    context: PlanningContext,
  ): number {
    return configuration.isPoolQueue(queue)
      ? constants.throttleLevels
      : this.#throttleLevel(model, adapter, runnerSeasons, context);
  }

  /**
   * The throttle level of a model: the fraction of its runners' capacity that interactive requests leave free, in steps. It is
   * lowered immediately, and raised one level at a time once the free capacity has lasted for `throttleHoldMs`, or for half of
   * that for each further level.
   */
  #throttleLevel(
    model: string,
    adapter: string | undefined,
    runnerSeasons: readonly Season[],
    context: PlanningContext,
  ): number {
    const name = configuration.queueOf(model, adapter);
    const lotLoads = new Map<string, number>();
    let rejected = 0;
    for (const card of context.access) {
      for (const [runner, count] of card.telling.lots ?? [])
        lotLoads.set(runner, (lotLoads.get(runner) ?? 0) + count);
      for (const [rejectedModel, count] of card.telling.turnedAway ?? [])
        if (rejectedModel === model) rejected += count;
    }
    let totalSlots = 0;
    let freeSlots = 0;
    for (const runner of context.runners) {
      if (
        runner.kind !== "model" ||
        !(runner.models.includes(model) || runner.models.includes(name))
      )
        continue;
      if (runnerSeasons.length > 0 && !runnerSeasons.some(allowsRunner, runner)) continue;
      const slots = runner.seats * constants.lotSlotFraction;
      totalSlots += slots;
      if (runner.age <= constants.loadReportRetentionMs)
        freeSlots += Math.max(
          0,
          slots - Math.max(0, runner.burden - (lotLoads.get(runner.id) ?? 0)),
        );
    }
    const freeShare =
      totalSlots === 0 || rejected > 0
        ? 0
        : Math.min(1, freeSlots / totalSlots + constants.throttleSlackFraction);
    const level = Math.floor(freeShare * constants.throttleLevels);
    const state = this.#throttles.get(name) ?? {
      level: totalSlots === 0 ? constants.throttleLevels : level,
      freeCapacitySince: undefined,
    };
    this.#throttles.set(name, state);
    if (totalSlots === 0) return state.level;
    if (level <= state.level) {
      state.level = level;
      state.freeCapacitySince = undefined;
    } else {
      state.freeCapacitySince ??= context.now;
      if (context.now - state.freeCapacitySince >= constants.throttleHoldMs) {
        state.level += 1;
        state.freeCapacitySince = context.now - constants.throttleHoldMs / 2;
      }
    }
    return state.level;
  }
}

/** The seasons that may select lots of a queue, in order of precedence, and whether they select every lot of it. */
export function governingSeasons(
  openSeasons: readonly Season[],
  plan: QueuePlan,
  value: Configuration,
): { seasons: Season[]; whole: boolean } {
  const labelSets: Labels[] = [];
  for (const [key, way] of Object.entries(value.ways)) {
    if (way.kind === "lot" && way.model === plan.model && way.adapter === plan.adapter)
      labelSets.push({ ...way.labels, ...plan.labels, way: key });
  }
  if (labelSets.length === 0) labelSets.push(plan.labels);
  const found: Season[] = [];
  for (const season of openSeasons) {
    let mayMatch = false;
    let matchesAll = true;
    for (const labels of labelSets) {
      mayMatch ||= seasons.mayMatch(season.select, labels);
      matchesAll &&= selectsEveryLot(season.select, labels);
    }
    if (!mayMatch) continue;
    found.push(season);
    if (matchesAll) return { seasons: found, whole: true };
  }
  return { seasons: found, whole: false };
}

/** Whether every lot with these labels is selected, whatever further labels the lot itself has. */
function selectsEveryLot(selectors: readonly Selector[], labels: Labels): boolean {
  for (const selector of selectors) if (labels[selector.label] === undefined) return false;
  return seasons.matches(selectors, labels);
}

function restrictsRunners(season: Season): boolean {
  return season.runners.length > 0;
}

function allowsRunner(this: RunnerDescriptor, season: Season): boolean {
  return seasons.matches(season.runners, this.labels);
}

function isForQueue(this: { queue: string }, demand: ShareDemand): boolean {
  return demand.queue === this.queue;
}

function throttled(base: Limits, pace: number): Limits {
  return { ...base, tokens: (base.tokens * pace) / constants.throttleLevels };
}

function classOf(context: PlanningContext, queue: string, season: string): QuotaClass | undefined {
  for (const quotaClass of quotaClasses(context.queueQuotas.get(queue)))
    if (quotaClass.season === season) return quotaClass;
  return undefined;
}

/**
 * Divides an allowance over the queues in proportion to their demand. A small change of a share is dropped, as it is not worth a
 * log entry, as long as the current shares fit into the allowance.
 */
function divideAllowance(
  demands: readonly ShareDemand[],
  allowance: number,
  context: PlanningContext,
): ShareDemand[] {
  const needs: number[] = [];
  let targets = 0;
  for (const { queue, season } of demands) {
    needs.push(context.reports.get(queue)?.classes.get(season)?.need ?? 0);
    targets += classOf(context, queue, season)?.target ?? 0;
  }
  const portions = seasons.divideAllowance(allowance, needs);
  const found: ShareDemand[] = [];
  for (const [index, demand] of demands.entries()) {
    const current = classOf(context, demand.queue, demand.season);
    const isSmallChange =
      current !== undefined &&
      targets <= allowance &&
      Math.abs(current.target - portions[index]!) <= allowance / demands.length / 4 &&
      demands.length > 1;
    found.push({ ...demand, wanted: isSmallChange ? current.target : portions[index]! });
  }
  return found;
}

/**
 * Adds the shares of one group to the drafts. Lowers shares first and raises others only by what is certainly free, so that the
 * sum of what may be waiting never exceeds the allowance.
 */
function grantShares(
  demands: readonly ShareDemand[],
  allowance: number,
  context: PlanningContext,
  drafts: ReadonlyMap<string, QuotaDraft>,
): void {
  let committed = 0;
  const granted = new Map<string, number>();
  for (const { queue, season } of demands) {
    const current = classOf(context, queue, season);
    if (current === undefined) continue;
    const report = context.reports.get(queue);
    const reported = report?.classes.get(season)?.held ?? 0;
    const currentGrant =
      report !== undefined && report.shareMark === context.queueQuotas.get(queue)!.shareMark
        ? Math.max(current.target, Math.min(current.granted, reported))
        : current.granted;
    granted.set(queue, currentGrant);
    committed += currentGrant;
  }
  let free = Math.max(0, allowance - committed);
  for (const { queue, season, select, runners, wanted } of demands) {
    const grantedNow = granted.get(queue) ?? 0;
    let target = wanted;
    let grantedNext = grantedNow;
    if (wanted > grantedNow) {
      const increase = Math.min(wanted - grantedNow, free);
      free -= increase;
      target = grantedNow + increase;
      grantedNext = target;
    }
    drafts
      .get(queue)!
      .classes.push({ season, select, runners, target, granted: Math.max(grantedNext, target) });
  }
}

/** The next quota of a queue, or undefined if it does not change. */
function nextQuota(
  quota: QueueQuota | undefined,
  { season, base, pace, classes }: QuotaDraft,
): QueueQuota | undefined {
  const limits = throttled(base, pace);
  let target = 0;
  let granted = 0;
  for (const quotaClass of classes) {
    target += quotaClass.target;
    granted += quotaClass.granted;
  }
  if (quota === undefined)
    return { mark: 1, shareMark: 1, season, base, limits, pace, target, granted, classes };
  const shares = serializeClasses(classes, false);
  const sameShare =
    sameLimits(quota.limits, limits) && shares === serializeClasses(quotaClasses(quota), false);
  if (
    sameShare &&
    quota.pace === pace &&
    quota.season === season &&
    serializeClasses(classes, true) === serializeClasses(quotaClasses(quota), true)
  )
    return undefined;
  return {
    mark: quota.mark + 1,
    shareMark: quota.shareMark + (sameShare ? 0 : 1),
    season,
    base,
    limits,
    pace,
    target,
    granted,
    classes,
  };
}

/** Classes as a string, to compare two sets of them. */
function serializeClasses(classes: readonly QuotaClass[], withGranted: boolean): string {
  const rows: unknown[] = [];
  for (const { season, select, runners, target, granted } of classes)
    rows.push([season, select, runners, target, withGranted ? granted : 0]);
  return JSON.stringify(rows);
}
