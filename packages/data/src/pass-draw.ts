/** The dispatcher of items: draws prompts as far as live work leaves room, runs them, and tells their owner how they ended (docs/design.md §13.7). */
import {
  constants,
  heldFor,
  type ChainView,
  type Claim,
  type PassEnding,
  type PassTask,
} from "@chutewick/parts";
import { configuration, keys, type Passage } from "@chutewick/control";
import type { AccessOutput } from "./access-output.js";
import type { Choice, Chosen, GoEnd } from "./choice.js";
import { groupByQueue, type QueueClaim } from "./claims-by-queue.js";
import type { PassEvent } from "./dialect.js";
import { ItemEndings } from "./item-endings.js";
import {
  brokenEnd,
  claimOf,
  itemJob,
  itemTenancy,
  itemWork,
  wholeEnd,
  type AttemptEnd,
  type ItemAttempt,
  type ItemJob,
} from "./item-jobs.js";
import type { Membership } from "./membership.js";
import type { PendingCalls } from "./pending-calls.js";
import type { QueueOutcome } from "./queue-messages.js";
import { SleepDetector } from "./sleep-detector.js";
import { weightedKey } from "./weighted-choice.js";

/** Statuses from here on are no success. */
const HTTP_REDIRECT = 300;

/** How this node draws from one queue. */
interface QueueDraw {
  readonly queue: string;
  /** Moment before which the queue is not drawn from again. */
  resumeAt: number;
  /** Since when a draw is on its way. */
  askedAt: number | undefined;
}

/** Why an item may not be sent any more. */
export type ItemStartRefusal =
  | "given up"
  | "no lease"
  | "the grant ran out"
  | "its lot is ended"
  | "its passage is gone, or leads elsewhere"
  | "the runner said goodbye, or was not heard of lately";

/** The room that live work leaves for items at this node. */
interface ItemRoom {
  /** Passages whose runners have room here. */
  readonly able: readonly string[];
  /** How many items may be begun. */
  readonly room: number;
}

/** The dispatcher of one access node, for all queues of passages. */
export class PassDraw {
  #membership: Membership;
  #choice: Choice;
  #pendingCalls: PendingCalls;
  #endings: ItemEndings;
  #draws = new Map<string, QueueDraw>();
  #attempts = new Map<number, ItemAttempt>();
  /** Lots that were ended lately. */
  #endedLots = new Set<string>();
  #heartbeatAt = 0;
  /** How often pools were chosen, by which each choice is drawn anew. */
  #poolChoices = 0;
  #isLeaving = false;
  #sleep = new SleepDetector(Number.POSITIVE_INFINITY);
  readonly counts = { drawn: 0, solved: 0, never: 0, troubled: 0, broken: 0, givenBack: 0 };

  constructor(membership: Membership, choice: Choice, pendingCalls: PendingCalls) {
    this.#membership = membership;
    this.#choice = choice;
    this.#pendingCalls = pendingCalls;
    this.#endings = new ItemEndings(pendingCalls);
  }

  get underWay(): number {
    return this.#attempts.size;
  }

  /** A planned stop: nothing more is drawn or begun. */
  leave(): void {
    this.#isLeaving = true;
  }

  has(attempt: number): boolean {
    return this.#attempts.has(attempt);
  }

  /** A changed limit ends every pause. */
  endPauses(): void {
    for (const draw of this.#draws.values()) {
      draw.resumeAt = 0;
      draw.askedAt = undefined;
    }
  }

  /** The last look, right before the first byte. */
  mayStart(number: number, now: number): ItemStartRefusal | undefined {
    const attempt = this.#attempts.get(number);
    if (attempt === undefined) return "given up";
    const { job, pool, runner, incarnation } = attempt;
    if (!this.#membership.holds(now)) return "no lease";
    if (now > job.grantedUntil) return "the grant ran out";
    if (this.#endedLots.has(job.task.lot)) return "its lot is ended";
    const passage = this.#passage(job.task.way);
    if (passage === undefined || !configuration.poolsOf(passage).includes(pool))
      return "its passage is gone, or leads elsewhere";
    if (!this.#membership.isStanding(runner, incarnation, now))
      return "the runner said goodbye, or was not heard of lately";
    return undefined;
  }

  #passage(name: string): Passage | undefined {
    const { passages } = this.#membership.configuration.value;
    const passage = Object.hasOwn(passages, name) ? passages[name] : undefined;
    return passage?.kind === "lot" ? passage : undefined;
  }

  beat(now: number): AccessOutput[] {
    const outputs: AccessOutput[] = [];
    this.#sleep.observe(now);
    for (const [number, attempt] of [...this.#attempts]) {
      const { lastProgressAt, keepsUntil } = attempt.job;
      const isOver = now - lastProgressAt > constants.promptSilence || now >= keepsUntil;
      if (isOver || this.#isStalled(number, attempt, now))
        outputs.push(...this.#abandon(number, attempt, now));
    }
    if (now - this.#heartbeatAt >= constants.taskLifeEvery) {
      this.#heartbeatAt = now;
      outputs.push(...this.#heartbeats());
    }
    outputs.push(...this.#drawFromQueues(now));
    return outputs;
  }

  /** The runner gives no sign on any work of this node: it is dark, or the connection carries nothing any more. */
  #isStalled(number: number, { job }: ItemAttempt, now: number): boolean {
    const silence = now - job.lastProgressAt;
    /** After a sleep of this process signs may wait to be read. */
    const isAwake = this.#sleep.awakeFor(now) > constants.rescueAfter;
    return isAwake && silence > constants.itemStalledAfter && this.#choice.isDark(number, now);
  }

  #room(now: number): ItemRoom {
    const able: string[] = [];
    const rooms = new Map<string, number>();
    const { passages } = this.#membership.configuration.value;
    for (const [name, passage] of Object.entries(passages ?? {})) {
      if (passage.kind !== "lot") continue;
      let hasRoom = false;
      for (const pool of configuration.poolsOf(passage)) {
        const room = rooms.get(pool) ?? this.#choice.room(pool, now);
        rooms.set(pool, room);
        hasRoom ||= room >= 1;
      }
      if (hasRoom) able.push(name);
    }
    let room = 0;
    for (const each of rooms.values()) room += Math.max(0, Math.floor(each));
    return { able, room };
  }

  /** Every node draws from every queue as far as it has room, so that relaying is spread; the claim is the fence. */
  #drawFromQueues(now: number): AccessOutput[] {
    if (this.#isLeaving || !this.#membership.holds(now)) return [];
    const outputs: AccessOutput[] = [];
    for (const [key] of this.#membership.follower.under<ChainView>(keys.queue)) {
      const queue = key.slice(keys.queue.length);
      if (configuration.isPoolQueue(queue)) outputs.push(...this.#draw(this.#drawOf(queue), now));
    }
    return outputs;
  }

  #drawOf(queue: string): QueueDraw {
    let draw = this.#draws.get(queue);
    if (draw === undefined) {
      draw = { queue, resumeAt: 0, askedAt: undefined };
      this.#draws.set(queue, draw);
    }
    return draw;
  }

  #draw(draw: QueueDraw, now: number): AccessOutput[] {
    if (this.#isLeaving || now < draw.resumeAt || isAsking(draw, now)) return [];
    const { able, room } = this.#room(now);
    if (room < 1) return [];
    const askedAt = now;
    draw.askedAt = askedAt;
    const onResult = (outcome: QueueOutcome, later: number, since: number): AccessOutput[] => {
      if (draw.askedAt === askedAt) draw.askedAt = undefined;
      return this.#drawn(draw, outcome, since, later);
    };
    const command = {
      kind: "draw",
      holder: this.#membership.address,
      by: this.#membership.identity,
      most: Math.min(room, constants.drawMost),
      able,
    } as const;
    /** A grant that comes too late to be begun still has to be given back. */
    const patience = constants.orphanAfter;
    const call = { queue: draw.queue, command, patience, hold: constants.drawHold, onResult };
    return this.#pendingCalls.ask(call, now);
  }

  #drawn(draw: QueueDraw, outcome: QueueOutcome, askedAt: number, now: number): AccessOutput[] {
    const { queue } = draw;
    if (outcome.kind !== "confirmed" || outcome.value.kind !== "DRAWN") {
      draw.resumeAt = now + constants.emptyPause;
      return [];
    }
    const { tasks, more, wait } = outcome.value;
    /** The owner held the draw while the queue was empty: that was the pause. */
    if (more === "RATE_LIMITED") draw.resumeAt = now + (wait ?? constants.pauseMost);
    const outputs: AccessOutput[] = [];
    const claims: Claim[] = [];
    for (const task of tasks) {
      outputs.push(...this.#begin(queue, task, askedAt, now));
      claims.push({ lot: task.lot, index: task.index, go: task.go });
    }
    if (claims.length > 0) outputs.push(...this.#heartbeat(queue, claims));
    return [...outputs, ...this.#draw(draw, now)];
  }

  #begin(queue: string, task: PassTask, askedAt: number, now: number): AccessOutput[] {
    this.counts.drawn += 1;
    const { cancelWithin } = this.#membership.policy;
    const times = {
      grantedUntil: askedAt + heldFor(Math.min(constants.grantLasts, cancelWithin)),
      keepsUntil: askedAt + task.remaining,
    };
    return this.#tryNextRunner(itemJob(queue, task, times, now), now);
  }

  /** The newest configuration says where it runs: by weight, then any pool of the passage that has a runner for it. */
  #tryNextRunner(job: ItemJob, now: number): AccessOutput[] {
    const passage = this.#passage(job.task.way);
    if (passage === undefined || !this.#mayTry(job, now))
      return this.#settle(job, { kind: "unsent" }, now);
    this.#poolChoices += 1;
    const seed = `${this.#membership.identity}/${this.#poolChoices}`;
    for (const pool of poolsByWeight(passage, seed)) {
      const chosen = this.#choice.choose(pool, job.request, job.triedRunners, true, now);
      if (chosen !== undefined) return [this.#start(job, pool, chosen, now)];
    }
    const draw = this.#drawOf(job.queue);
    draw.resumeAt = Math.max(draw.resumeAt, now + constants.emptyPause);
    return this.#settle(job, { kind: "unsent" }, now);
  }

  #mayTry({ grantedUntil, triedRunners, task }: ItemJob, now: number): boolean {
    return (
      now <= grantedUntil &&
      triedRunners.size < constants.runnersTried &&
      !this.#isLeaving &&
      !this.#endedLots.has(task.lot)
    );
  }

  #start(job: ItemJob, pool: string, chosen: Chosen, now: number): AccessOutput {
    const { runner, incarnation, address } = chosen;
    job.triedRunners.add(runner);
    const number = this.#choice.nextGo();
    this.#attempts.set(number, { job, pool, runner, incarnation, status: undefined });
    this.#choice.begin(number, runner, job.request, true, now);
    const hasTenants = this.#membership.configuration.value.tenants !== undefined;
    const work = itemWork(job, runner, itemTenancy(job.task, hasTenants));
    return { kind: "pass-run", go: number, address, work };
  }

  /** What the link to a runner tells of an attempt. */
  goEvent(number: number, event: PassEvent, now: number): AccessOutput[] {
    const attempt = this.#attempts.get(number);
    if (attempt === undefined) return [];
    attempt.job.lastProgressAt = now;
    switch (event.kind) {
      case "unsent":
        this.#part(number, "unsent", undefined, now);
        return this.#tryNextRunner(attempt.job, now);
      case "refused":
        this.#part(number, "refused", event.retryAfter, now);
        return this.#tryNextRunner(attempt.job, now);
      case "head":
        attempt.status = event.status;
        if (event.status < HTTP_REDIRECT && !event.stamped)
          return this.#abandon(number, attempt, now);
        return [];
      case "data":
        return [];
      case "event":
        return this.#takeEvent(number, attempt, event, now);
      case "end":
        return this.#end(number, attempt.job, wholeEnd(attempt), now);
      case "broken":
        return this.#end(number, attempt.job, brokenEnd(attempt.job), now);
    }
  }

  /** Only what surely follows counts: an attempt that skips or repeats is broken off. */
  #takeEvent(
    number: number,
    attempt: ItemAttempt,
    event: Extract<PassEvent, { kind: "event" }>,
    now: number,
  ): AccessOutput[] {
    const { job } = attempt;
    const isNext = job.lastEvent === undefined || event.number === job.lastEvent + 1;
    if (event.number === undefined || !isNext) return this.#abandon(number, attempt, now);
    if (job.texts.length === 0) this.#choice.first(number, now);
    else this.#choice.itemSign(number, now);
    job.texts.push(event.data);
    job.lastEvent = event.number;
    return [];
  }

  /** Breaks an attempt off: its connection is ended, so that the runner drops it. */
  #abandon(number: number, { job }: ItemAttempt, now: number): AccessOutput[] {
    return [{ kind: "pass-abandon", go: number }, ...this.#end(number, job, brokenEnd(job), now)];
  }

  #end(number: number, job: ItemJob, { how, ending }: AttemptEnd, now: number): AccessOutput[] {
    this.#part(number, how, undefined, now);
    const outputs = this.#settle(job, ending, now);
    if (this.#membership.holds(now)) outputs.push(...this.#draw(this.#drawOf(job.queue), now));
    return outputs;
  }

  /** Takes an attempt off the books. retryAfter in s, where the runner told one. */
  #part(number: number, how: GoEnd, retryAfter: number | undefined, now: number): void {
    this.#attempts.delete(number);
    this.#choice.end(number, how, retryAfter, now);
  }

  #settle(job: ItemJob, ending: PassEnding, now: number): AccessOutput[] {
    if (ending.kind === "solved") this.counts.solved += 1;
    else if (ending.kind === "never") this.counts.never += 1;
    else if (ending.kind === "trouble") this.counts.troubled += 1;
    else if (ending.kind === "unsent") this.counts.givenBack += 1;
    else this.counts.broken += 1;
    const { queue, keepsUntil: until } = job;
    return this.#endings.add(queue, { claim: claimOf(job), ending, until }, now);
  }

  /** The lot is ended: its attempts are dropped, and none begins. */
  ended(lot: string, now: number): AccessOutput[] {
    this.#rememberEnded(lot);
    const outputs: AccessOutput[] = [];
    for (const [number, { job }] of [...this.#attempts]) {
      if (job.task.lot !== lot) continue;
      this.#part(number, "left", undefined, now);
      outputs.push({ kind: "pass-abandon", go: number });
    }
    return outputs;
  }

  #rememberEnded(lot: string): void {
    this.#endedLots.add(lot);
    if (this.#endedLots.size <= constants.lotsRemembered) return;
    for (const oldest of this.#endedLots) {
      this.#endedLots.delete(oldest);
      break;
    }
  }

  /** Runners report on themselves alone: the sign of life of a prompt is its tokens, seen here (§5.4). */
  #heartbeats(): AccessOutput[] {
    const outputs: AccessOutput[] = [];
    for (const [queue, claims] of groupByQueue(this.#claims()))
      outputs.push(...this.#heartbeat(queue, claims));
    return outputs;
  }

  *#claims(): Generator<QueueClaim> {
    for (const { job } of this.#attempts.values()) yield [job.queue, claimOf(job)];
    yield* this.#endings.claims();
  }

  #heartbeat(queue: string, tasks: readonly Claim[]): AccessOutput[] {
    const owner = this.#pendingCalls.owner(queue);
    if (owner === undefined) return [];
    return [{ kind: "send", to: owner, message: { kind: "life", queue, items: [], tasks } }];
  }
}

/** A draw that the owner did not answer in time is asked for anew. */
function isAsking({ askedAt }: QueueDraw, now: number): boolean {
  return askedAt !== undefined && now - askedAt < constants.grantLasts + constants.drawHold;
}

/** Pools of a passage, one drawn by weight first; those of weight 0 never. */
function poolsByWeight(passage: Passage, seed: string): string[] {
  const keyed: [key: number, pool: string][] = [];
  for (const { pool, weight } of passage.pools)
    if (weight > 0) keyed.push([weightedKey(`${seed}/${pool}`, weight), pool]);
  keyed.sort(([left], [right]) => right - left);
  const pools: string[] = [];
  for (const [, pool] of keyed) pools.push(pool);
  return pools;
}
