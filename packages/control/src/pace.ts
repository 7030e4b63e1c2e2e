import {
  constants,
  policy,
  sameLimits,
  season as seasons,
  type Labels,
  type Limits,
  type NodeCard,
  type Policy,
  type RunnerCard,
  type Season,
  type Selector,
} from "@chutewick/parts";
import { configuration, type Configuration, type QueuePlan } from "./configuration.js";
import { standingClasses, type QueueStanding, type StandingClass } from "./machine.js";

/** What the owner of a queue told of the shares that it entered. */
export interface ShareReport {
  readonly shareMark: number;
  /** By season: what may still come to wait, and what is needed. */
  readonly classes: ReadonlyMap<string, { readonly held: number; readonly need: number }>;
}

/** All that one plan is worked out from. */
export interface Surroundings {
  readonly value: Configuration;
  readonly wall: number;
  readonly now: number;
  readonly standings: ReadonlyMap<string, QueueStanding>;
  /** From the owners of queues, as far as they told. */
  readonly reports: ReadonlyMap<string, ShareReport>;
  readonly runners: readonly RunnerCard[];
  readonly access: readonly NodeCard[];
}

interface Pace {
  step: number;
  /** Since when there has been room for more. */
  roomSince: number | undefined;
}

/** What one season is to hold in one queue. */
interface Wish {
  readonly queue: string;
  readonly season: string;
  readonly select: readonly Selector[];
  readonly runners: readonly Selector[];
  readonly wanted: number;
}

/** A queue with what is to be entered for it, class by class. */
interface Draft {
  readonly season: string | null;
  readonly base: Limits;
  readonly pace: number;
  readonly classes: StandingClass[];
}

const all: readonly Selector[] = [];

/** Seasons, shares and pace, worked out by the head of the control chain (docs/design.md §8.4, §8.5). */
export class Pacer {
  #paces = new Map<string, Pace>();
  #policy: Policy;

  constructor(chosen: Policy = policy.usual) {
    this.#policy = chosen;
  }

  /** The changes of standings that are due now. */
  plan(around: Surroundings): [queue: string, standing: QueueStanding][] {
    const drafts = new Map<string, Draft>();
    /** By season, or by queue for what no season selects. */
    const groups = new Map<string, { allowance: number; wishes: Wish[] }>();
    const calendar = configuration.seasonsOf(around.value, around.wall);
    const opened = seasons.opened(calendar, around.wall);
    function wish(group: string, allowance: number, one: Wish): void {
      const held = groups.get(group) ?? { allowance, wishes: [] };
      held.wishes.push(one);
      groups.set(group, held);
    }
    const planned = new Set<string>();
    for (const plan of configuration.queues(around.value, this.#policy)) {
      const { queue } = plan;
      planned.add(queue);
      const governing = governingIn(opened, plan, around.value);
      for (const one of governing.seasons)
        wish(`season ${one.name}`, one.waiting, {
          queue,
          season: one.name,
          select: one.select,
          runners: one.runners,
          wanted: 0,
        });
      if (!governing.whole)
        wish(`queue ${queue}`, plan.waiting, {
          queue,
          season: "",
          select: all,
          runners: all,
          wanted: 0,
        });
      const deciding = seasons.deciding(calendar, plan.labels, around.wall);
      const runners = governing.whole && governing.seasons.every(isChoosy) ? governing.seasons : [];
      drafts.set(queue, {
        season: governing.seasons[0]?.name ?? null,
        base: deciding?.limits ?? plan.limits,
        pace: this.#paceOf(plan.queue, plan.model, plan.adapter, runners, around),
        classes: [],
      });
    }
    /** What a queue still holds of seasons that are over, and queues no longer configured, weigh on until they are drained. */
    for (const [queue, standing] of around.standings) {
      if (!drafts.has(queue)) {
        const [model, adapter] = configuration.modelOf(queue);
        drafts.set(queue, {
          season: standing.season,
          base: standing.base ?? standing.limits,
          pace: this.#paceOf(queue, model, adapter, [], around),
          classes: [],
        });
      }
      for (const { season, select, runners, granted } of standingClasses(standing)) {
        const group = season === "" ? `queue ${queue}` : `season ${season}`;
        if (groups.get(group)?.wishes.some(isOf, { queue }) === true) continue;
        /** A class that a draining lot may still be in stays, so that its runners are known. */
        if (granted > 0 || !planned.has(queue))
          wish(group, 0, { queue, season, select, runners, wanted: 0 });
      }
    }
    for (const { allowance, wishes } of groups.values())
      settle(share(wishes, allowance, around), allowance, around, drafts);
    const changes: [string, QueueStanding][] = [];
    for (const [queue, draft] of drafts) {
      const next = entered(around.standings.get(queue), draft);
      if (next !== undefined) changes.push([queue, next]);
    }
    return changes;
  }

  /** Pools are paced by whoever draws from their queues, who knows what room there is (§13.4). */
  #paceOf(
    queue: string,
    model: string,
    adapter: string | undefined,
    choosy: readonly Season[],
    around: Surroundings,
  ): number {
    return configuration.isPoolQueue(queue)
      ? constants.paceSteps
      : this.#pace(model, adapter, choosy, around);
  }

  /** Room that live work leaves on the runners of a model, in steps; down at once, up only when it lasts. */
  #pace(
    model: string,
    adapter: string | undefined,
    choosy: readonly Season[],
    around: Surroundings,
  ): number {
    const name = configuration.queueOf(model, adapter);
    const lots = new Map<string, number>();
    let turnedAway = 0;
    for (const card of around.access) {
      for (const [runner, count] of card.telling.lots ?? [])
        lots.set(runner, (lots.get(runner) ?? 0) + count);
      for (const [from, count] of card.telling.turnedAway ?? [])
        if (from === model) turnedAway += count;
    }
    let seatsOfAll = 0;
    let free = 0;
    for (const runner of around.runners) {
      if (
        runner.kind !== "model" ||
        !(runner.models.includes(model) || runner.models.includes(name))
      )
        continue;
      if (choosy.length > 0 && !choosy.some(takes, runner)) continue;
      const seats = runner.seats * constants.lotPart;
      seatsOfAll += seats;
      if (runner.age <= constants.loadLasts)
        free += Math.max(0, seats - Math.max(0, runner.burden - (lots.get(runner.id) ?? 0)));
    }
    const room =
      seatsOfAll === 0 || turnedAway > 0 ? 0 : Math.min(1, free / seatsOfAll + constants.paceSlack);
    const step = Math.floor(room * constants.paceSteps);
    const held = this.#paces.get(name) ?? {
      step: seatsOfAll === 0 ? constants.paceSteps : step,
      roomSince: undefined,
    };
    this.#paces.set(name, held);
    if (seatsOfAll === 0) return held.step;
    if (step <= held.step) {
      held.step = step;
      held.roomSince = undefined;
    } else {
      held.roomSince ??= around.now;
      if (around.now - held.roomSince >= constants.paceHolds) {
        held.step += 1;
        held.roomSince = around.now - constants.paceHolds / 2;
      }
    }
    return held.step;
  }
}

/** The seasons that may hold lots of a queue, in the order in which they are asked, and whether they select every lot of it. */
export function governingIn(
  opened: readonly Season[],
  plan: QueuePlan,
  value: Configuration,
): { seasons: Season[]; whole: boolean } {
  const known: Labels[] = [];
  for (const [key, way] of Object.entries(value.ways)) {
    if (way.kind === "lot" && way.model === plan.model && way.adapter === plan.adapter)
      known.push({ ...way.labels, ...plan.labels, way: key });
  }
  if (known.length === 0) known.push(plan.labels);
  const found: Season[] = [];
  for (const one of opened) {
    let may = false;
    let sure = true;
    for (const labels of known) {
      may ||= seasons.mayMatch(one.select, labels);
      sure &&= isSure(one.select, labels);
    }
    if (!may) continue;
    found.push(one);
    if (sure) return { seasons: found, whole: true };
  }
  return { seasons: found, whole: false };
}

/** Whether every lot with these labels is selected, whatever labels of its own it brings. */
function isSure(selectors: readonly Selector[], labels: Labels): boolean {
  for (const selector of selectors) if (labels[selector.label] === undefined) return false;
  return seasons.matches(selectors, labels);
}

function isChoosy(one: Season): boolean {
  return one.runners.length > 0;
}

function takes(this: RunnerCard, one: Season): boolean {
  return seasons.matches(one.runners, this.labels);
}

function isOf(this: { queue: string }, wish: Wish): boolean {
  return wish.queue === this.queue;
}

function paced(base: Limits, pace: number): Limits {
  return { ...base, tokens: (base.tokens * pace) / constants.paceSteps };
}

function classIn(around: Surroundings, queue: string, season: string): StandingClass | undefined {
  for (const each of standingClasses(around.standings.get(queue)))
    if (each.season === season) return each;
  return undefined;
}

/** Cuts an allowance over the queues by need; small moves are not worth an entry, while the sum is right. */
function share(wishes: readonly Wish[], allowance: number, around: Surroundings): Wish[] {
  const needs: number[] = [];
  let targets = 0;
  for (const { queue, season } of wishes) {
    needs.push(around.reports.get(queue)?.classes.get(season)?.need ?? 0);
    targets += classIn(around, queue, season)?.target ?? 0;
  }
  const cuts = seasons.cut(allowance, needs);
  const found: Wish[] = [];
  for (const [place, wish] of wishes.entries()) {
    const held = classIn(around, wish.queue, wish.season);
    const near =
      held !== undefined &&
      targets <= allowance &&
      Math.abs(held.target - cuts[place]!) <= allowance / wishes.length / 4 &&
      wishes.length > 1;
    found.push({ ...wish, wanted: near ? held.target : cuts[place]! });
  }
  return found;
}

/** Lowers first; raises only by what is surely free: the sum of what may come to wait never passes the allowance. */
function settle(
  wishes: readonly Wish[],
  allowance: number,
  around: Surroundings,
  drafts: ReadonlyMap<string, Draft>,
): void {
  let committed = 0;
  const granted = new Map<string, number>();
  for (const { queue, season } of wishes) {
    const standing = classIn(around, queue, season);
    if (standing === undefined) continue;
    const report = around.reports.get(queue);
    const told = report?.classes.get(season)?.held ?? 0;
    const known =
      report !== undefined && report.shareMark === around.standings.get(queue)!.shareMark
        ? Math.max(standing.target, Math.min(standing.granted, told))
        : standing.granted;
    granted.set(queue, known);
    committed += known;
  }
  let free = Math.max(0, allowance - committed);
  for (const { queue, season, select, runners, wanted } of wishes) {
    const has = granted.get(queue) ?? 0;
    let target = wanted;
    let may = has;
    if (wanted > has) {
      const more = Math.min(wanted - has, free);
      free -= more;
      target = has + more;
      may = target;
    }
    drafts
      .get(queue)!
      .classes.push({ season, select, runners, target, granted: Math.max(may, target) });
  }
}

/** The standing to be entered, or undefined where all is as it stands. */
function entered(
  standing: QueueStanding | undefined,
  { season, base, pace, classes }: Draft,
): QueueStanding | undefined {
  const limits = paced(base, pace);
  let target = 0;
  let granted = 0;
  for (const each of classes) {
    target += each.target;
    granted += each.granted;
  }
  if (standing === undefined)
    return { mark: 1, shareMark: 1, season, base, limits, pace, target, granted, classes };
  const told = shape(classes, false);
  const sameShare =
    sameLimits(standing.limits, limits) && told === shape(standingClasses(standing), false);
  if (
    sameShare &&
    standing.pace === pace &&
    standing.season === season &&
    shape(classes, true) === shape(standingClasses(standing), true)
  )
    return undefined;
  return {
    mark: standing.mark + 1,
    shareMark: standing.shareMark + (sameShare ? 0 : 1),
    season,
    base,
    limits,
    pace,
    target,
    granted,
    classes,
  };
}

function shape(classes: readonly StandingClass[], withGranted: boolean): string {
  const rows: unknown[] = [];
  for (const { season, select, runners, target, granted } of classes)
    rows.push([season, select, runners, target, withGranted ? granted : 0]);
  return JSON.stringify(rows);
}
