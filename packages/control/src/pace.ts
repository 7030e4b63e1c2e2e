import { constants, season as seasons, sameLimits, type Limits, type NodeCard, type RunnerCard } from "@chutewick/parts";
import { configuration, type Configuration, type QueuePlan } from "./configuration.js";
import type { QueueStanding } from "./machine.js";

/** Seasons, shares and pace, worked out by the head of the control chain (docs/design.md §8.4, §8.5). */
export interface ShareReport {
  readonly shareMark: number;
  readonly held: number;
  readonly need: number;
}

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

interface Wish {
  readonly queue: string;
  readonly season: string | null;
  /** Limits as configured, and as paced. */
  readonly base: Limits;
  readonly limits: Limits;
  readonly pace: number;
  readonly wanted: number;
}

export class Pacer {
  #paces = new Map<string, Pace>();

  /** The changes of standings that are due now. */
  plan(around: Surroundings): [queue: string, standing: QueueStanding][] {
    const groups = new Map<string, { allowance: number; plans: QueuePlan[]; season: string | null; limits: Limits | undefined }>();
    const all = configuration.seasonsOf(around.value);
    const configured = new Set<string>();
    for (const plan of configuration.queues(around.value)) {
      configured.add(plan.queue);
      const one = seasons.deciding(all, plan.labels, around.wall);
      const key = one === undefined ? `own ${plan.queue}` : `season ${one.name}`;
      const group = groups.get(key) ?? { allowance: one?.waiting ?? plan.waiting, plans: [], season: one?.name ?? null, limits: one?.limits };
      group.plans.push(plan);
      groups.set(key, group);
    }
    const changes: [string, QueueStanding][] = [];
    for (const group of groups.values()) {
      const wishes = this.#wishes(group, around);
      /** Queues no longer configured, or gone to no season, still weigh on it until they are drained. */
      for (const [queue, standing] of around.standings) {
        if (!configured.has(queue) && group.season !== null && standing.season === group.season) wishes.push(this.#draining(queue, standing, group.season, around));
      }
      changes.push(...settle(wishes, group.allowance, around));
    }
    for (const [queue, standing] of around.standings) {
      if (configured.has(queue) || (standing.season !== null && groups.has(`season ${standing.season}`))) continue;
      changes.push(...settle([this.#draining(queue, standing, null, around)], 0, around));
    }
    return changes;
  }

  /** A queue no longer configured takes nothing more, and what it accepted is worked off at the pace of its model. */
  #draining(queue: string, standing: QueueStanding, season: string | null, around: Surroundings): Wish {
    const [model, adapter] = configuration.modelOf(queue);
    const base = standing.base ?? standing.limits;
    const pace = this.#pace(model, adapter, around);
    return { queue, season, base, limits: paced(base, pace), pace, wanted: 0 };
  }

  #wishes(group: { allowance: number; plans: readonly QueuePlan[]; season: string | null; limits: Limits | undefined }, around: Surroundings): Wish[] {
    const needs: number[] = [];
    for (const plan of group.plans) needs.push(around.reports.get(plan.queue)?.need ?? 0);
    const cuts = seasons.cut(group.allowance, needs);
    let targets = 0;
    for (const plan of group.plans) targets += around.standings.get(plan.queue)?.target ?? 0;
    const wishes: Wish[] = [];
    for (const [place, plan] of group.plans.entries()) {
      const base = group.limits ?? plan.limits;
      const pace = this.#pace(plan.model, plan.adapter, around);
      const standing = around.standings.get(plan.queue);
      /** Small moves are not worth an entry, while the sum is right. */
      const near = standing !== undefined && standing.season === group.season && targets <= group.allowance && Math.abs(standing.target - cuts[place]!) <= group.allowance / group.plans.length / 4 && group.plans.length > 1;
      wishes.push({ queue: plan.queue, season: group.season, base, limits: paced(base, pace), pace, wanted: near ? standing.target : cuts[place]! });
    }
    return wishes;
  }

  /** Room that live work leaves on the runners of a model, in steps; down at once, up only when it lasts. */
  #pace(model: string, adapter: string | undefined, around: Surroundings): number {
    const name = configuration.queueOf(model, adapter);
    const lots = new Map<string, number>();
    let turnedAway = 0;
    for (const card of around.access) {
      for (const [runner, count] of card.telling.lots ?? []) lots.set(runner, (lots.get(runner) ?? 0) + count);
      for (const [from, count] of card.telling.turnedAway ?? []) if (from === model) turnedAway += count;
    }
    let all = 0;
    let free = 0;
    for (const runner of around.runners) {
      if (runner.kind !== "model" || !(runner.models.includes(model) || runner.models.includes(name))) continue;
      const seats = runner.seats * constants.lotPart;
      all += seats;
      if (runner.age <= constants.burdenLasts) free += Math.max(0, seats - Math.max(0, runner.burden - (lots.get(runner.id) ?? 0)));
    }
    const room = all === 0 || turnedAway > 0 ? 0 : Math.min(1, free / all + constants.paceSlack);
    const step = Math.floor(room * constants.paceSteps);
    const held = this.#paces.get(name) ?? { step: all === 0 ? constants.paceSteps : step, roomSince: undefined };
    this.#paces.set(name, held);
    if (all === 0) return held.step;
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

function paced(base: Limits, pace: number): Limits {
  return { ...base, tokens: (base.tokens * pace) / constants.paceSteps };
}

/** Lowers first; raises only by what is surely free: the sum of what may come to wait never passes the allowance. */
function settle(wishes: readonly Wish[], allowance: number, around: Surroundings): [string, QueueStanding][] {
  let committed = 0;
  const granted = new Map<string, number>();
  for (const { queue } of wishes) {
    const standing = around.standings.get(queue);
    if (standing === undefined) continue;
    const report = around.reports.get(queue);
    const known = report !== undefined && report.shareMark === standing.shareMark ? Math.max(standing.target, Math.min(standing.granted, report.held)) : standing.granted;
    granted.set(queue, known);
    committed += known;
  }
  let free = Math.max(0, allowance - committed);
  const changes: [string, QueueStanding][] = [];
  for (const { queue, season, base, limits, pace, wanted } of wishes) {
    const standing = around.standings.get(queue);
    const has = granted.get(queue) ?? 0;
    let target = wanted;
    let may = has;
    if (wanted > has) {
      const more = Math.min(wanted - has, free);
      free -= more;
      target = has + more;
      may = target;
    }
    if (standing !== undefined && standing.season === season && standing.target === target && standing.granted === may && standing.pace === pace && sameLimits(standing.limits, limits)) continue;
    const sameShare = standing !== undefined && standing.target === target && sameLimits(standing.limits, limits);
    changes.push([queue, { mark: (standing?.mark ?? 0) + 1, shareMark: (standing?.shareMark ?? 0) + (sameShare ? 0 : 1), season, base, limits, pace, target, granted: Math.max(may, target) }]);
  }
  return changes;
}
