/**
 * The dispatcher of items: dequeues them while live requests leave free capacity, runs them, and reports their ends to the
 * owner of the queue (docs/design.md §13.7).
 */
import {
  constants,
  holderDurationMs,
  type Claim,
  type PassEnding,
  type PassTask,
} from "@chutewick/parts";
import { configuration, type Passage } from "@chutewick/control";
import type { AccessOutput } from "./access-output.js";
import type { RunnerBalancer, ChosenRunner, AttemptOutcome } from "./choice.js";
import { groupByQueue, type QueueClaim } from "./claims-by-queue.js";
import type { PassageEvent } from "./dialect.js";
import { ItemEndings } from "./item-endings.js";
import {
  brokenEnd,
  claimOf,
  createItemJob,
  itemTenancy,
  itemWork,
  completeEnd,
  type AttemptEnd,
  type ItemAttempt,
  type ItemJob,
} from "./item-jobs.js";
import type { Membership } from "./membership.js";
import type { PendingCalls } from "./pending-calls.js";
import { knownPoolQueues } from "./pool-queues.js";
import type { QueueOutcome } from "./queue-messages.js";
import { SleepDetector } from "./sleep-detector.js";
import { weightedKey } from "./weighted-choice.js";

/** First HTTP status of the redirects; lower ones indicate success. */
const firstRedirectStatus = 300;

/** State of this node's dequeue requests to one queue. */
interface QueueState {
  readonly queue: string;
  /** Time before which no further request is sent. */
  resumeAt: number;
  /** When the pending request was sent; undefined if there is none. */
  askedAt: number | undefined;
}

/** Why an item must not be sent to a runner any more. */
export type ItemStartRefusal =
  | "the attempt has ended"
  | "this node holds no lease"
  | "the grant has expired"
  | "its lot was ended"
  | "its passage was removed, or no longer uses this pool"
  | "the runner has deregistered, or its heartbeats are overdue";

/** Capacity that live requests leave for items at this node. */
interface ItemCapacity {
  /** Passages whose runners have free capacity. */
  readonly able: readonly string[];
  /** Number of items that may be started. */
  readonly room: number;
}

/** The dispatcher of one access node, for all queues with lots of passages. */
export class ItemDispatcher {
  #membership: Membership;
  #choice: RunnerBalancer;
  #pendingCalls: PendingCalls;
  #endings: ItemEndings;
  #queues = new Map<string, QueueState>();
  #attempts = new Map<number, ItemAttempt>();
  /** Recently ended lots, the oldest first; bounded. */
  #endedLots = new Set<string>();
  #heartbeatAt = 0;
  /** Number of pool choices so far; seeds the next weighted choice. */
  #poolChoices = 0;
  #isStopping = false;
  #sleepDetector = new SleepDetector(Number.POSITIVE_INFINITY);
  readonly counts = { drawn: 0, solved: 0, never: 0, troubled: 0, broken: 0, givenBack: 0 };

  constructor(membership: Membership, choice: RunnerBalancer, pendingCalls: PendingCalls) {
    this.#membership = membership;
    this.#choice = choice;
    this.#pendingCalls = pendingCalls;
    this.#endings = new ItemEndings(pendingCalls);
  }

  get runningCount(): number {
    return this.#attempts.size;
  }

  /** Planned stop: nothing more is dequeued or started. */
  leave(): void {
    this.#isStopping = true;
  }

  has(attempt: number): boolean {
    return this.#attempts.has(attempt);
  }

  /** Resumes all queues at once; called when a limit has changed. */
  endPauses(): void {
    for (const state of this.#queues.values()) {
      state.resumeAt = 0;
      state.askedAt = undefined;
    }
  }

  /** Checks right before the first byte is sent whether an attempt may still start; returns the reason if not. */
  mayStart(number: number, now: number): ItemStartRefusal | undefined {
    const attempt = this.#attempts.get(number);
    if (attempt === undefined) return "the attempt has ended";
    const { job, pool, runner, incarnation } = attempt;
    if (!this.#membership.holds(now)) return "this node holds no lease";
    if (now > job.grantedUntil) return "the grant has expired";
    if (this.#endedLots.has(job.task.lot)) return "its lot was ended";
    const passage = this.#passage(job.task.way);
    if (passage === undefined || !configuration.poolsOf(passage).includes(pool))
      return "its passage was removed, or no longer uses this pool";
    if (!this.#membership.isRunnerLive(runner, incarnation, now))
      return "the runner has deregistered, or its heartbeats are overdue";
    return undefined;
  }

  #passage(name: string): Passage | undefined {
    const { passages } = this.#membership.configuration.value;
    const passage = Object.hasOwn(passages, name) ? passages[name] : undefined;
    return passage?.kind === "lot" ? passage : undefined;
  }

  /** Periodic work: aborts stalled attempts, sends heartbeats and dequeues further items. */
  tick(now: number): AccessOutput[] {
    const outputs: AccessOutput[] = [];
    this.#sleepDetector.observe(now);
    for (const [number, attempt] of [...this.#attempts]) {
      const { lastProgressAt, expiresAt } = attempt.job;
      const isOverdue = now - lastProgressAt > constants.promptSilenceTimeoutMs || now >= expiresAt;
      if (isOverdue || this.#isStalled(number, attempt, now))
        outputs.push(...this.#abandon(number, attempt, now));
    }
    if (now - this.#heartbeatAt >= constants.itemHeartbeatIntervalMs) {
      this.#heartbeatAt = now;
      outputs.push(...this.#heartbeats());
    }
    outputs.push(...this.#dequeueFromQueues(now));
    return outputs;
  }

  /** Whether the runner makes no progress on any request of this node: it is unresponsive, or the connection is dead. */
  #isStalled(number: number, { job }: ItemAttempt, now: number): boolean {
    const silence = now - job.lastProgressAt;
    // Just after this process was suspended, events that arrived meanwhile may not have been read yet.
    const isAwake = this.#sleepDetector.awakeFor(now) > constants.rescueDelayMs;
    return (
      isAwake &&
      silence > constants.itemStallTimeoutMs &&
      this.#choice.isRunnerUnresponsive(number, now)
    );
  }

  /** Capacity for items on the runners of all passages; a pool that serves several passages counts once. */
  #freeCapacity(now: number): ItemCapacity {
    const able: string[] = [];
    const roomByPool = new Map<string, number>();
    const { passages } = this.#membership.configuration.value;
    for (const [name, passage] of Object.entries(passages ?? {})) {
      if (passage.kind !== "lot") continue;
      let hasRoom = false;
      for (const pool of configuration.poolsOf(passage)) {
        const poolRoom = roomByPool.get(pool) ?? this.#choice.freeItemSlots(pool, now);
        roomByPool.set(pool, poolRoom);
        hasRoom ||= poolRoom >= 1;
      }
      if (hasRoom) able.push(name);
    }
    let room = 0;
    for (const poolRoom of roomByPool.values()) room += Math.max(0, Math.floor(poolRoom));
    return { able, room };
  }

  /** Every node dequeues from every queue while it has free capacity, which spreads the load; claims prevent duplicate results. */
  #dequeueFromQueues(now: number): AccessOutput[] {
    if (this.#isStopping || !this.#membership.holds(now)) return [];
    const outputs: AccessOutput[] = [];
    for (const queue of knownPoolQueues(this.#membership))
      outputs.push(...this.#dequeue(this.#stateOf(queue), now));
    return outputs;
  }

  #stateOf(queue: string): QueueState {
    let state = this.#queues.get(queue);
    if (state === undefined) {
      state = { queue, resumeAt: 0, askedAt: undefined };
      this.#queues.set(queue, state);
    }
    return state;
  }

  #dequeue(state: QueueState, now: number): AccessOutput[] {
    if (this.#isStopping || now < state.resumeAt || isRequestPending(state, now)) return [];
    const { able, room } = this.#freeCapacity(now);
    if (room < 1) return [];
    const askedAt = now;
    state.askedAt = askedAt;
    const onResult = (outcome: QueueOutcome, later: number, since: number): AccessOutput[] => {
      if (state.askedAt === askedAt) state.askedAt = undefined;
      return this.#onDequeued(state, outcome, since, later);
    };
    const command = {
      kind: "draw",
      holder: this.#membership.address,
      by: this.#membership.identity,
      most: Math.min(room, constants.maxItemsPerDraw),
      able,
    } as const;
    // Longer than the duration of a grant: an item whose grant arrives too late must still be received, to be returned to the queue.
    const patience = constants.orphanTimeoutMs;
    const call = { queue: state.queue, command, patience, hold: constants.drawHoldMs, onResult };
    return this.#pendingCalls.start(call, now);
  }

  #onDequeued(
    state: QueueState,
    outcome: QueueOutcome,
    askedAt: number,
    now: number,
  ): AccessOutput[] {
    const { queue } = state;
    if (outcome.kind !== "confirmed" || outcome.value.kind !== "DRAWN") {
      state.resumeAt = now + constants.emptyQueuePauseMs;
      return [];
    }
    const { tasks, more, wait } = outcome.value;
    // No pause after EMPTY: the owner has already held the request while the queue was empty.
    if (more === "RATE_LIMITED") state.resumeAt = now + (wait ?? constants.maxDispatcherPauseMs);
    const outputs: AccessOutput[] = [];
    const claims: Claim[] = [];
    for (const task of tasks) {
      outputs.push(...this.#startItem(queue, task, askedAt, now));
      claims.push({ lot: task.lot, index: task.index, go: task.go });
    }
    if (claims.length > 0) outputs.push(...this.#heartbeat(queue, claims));
    return [...outputs, ...this.#dequeue(state, now)];
  }

  #startItem(queue: string, task: PassTask, askedAt: number, now: number): AccessOutput[] {
    this.counts.drawn += 1;
    const { cancelWithin } = this.#membership.policy;
    const times = {
      grantedUntil: askedAt + holderDurationMs(Math.min(constants.grantDurationMs, cancelWithin)),
      expiresAt: askedAt + task.remaining,
    };
    return this.#tryNextRunner(createItemJob(queue, task, times, now), now);
  }

  /** Picks a pool by weight from the current configuration, falling back to any other pool of the passage with a free runner. */
  #tryNextRunner(job: ItemJob, now: number): AccessOutput[] {
    const passage = this.#passage(job.task.way);
    if (passage === undefined || !this.#mayTry(job, now))
      return this.#reportEnding(job, { kind: "unsent" }, now);
    this.#poolChoices += 1;
    const seed = `${this.#membership.identity}/${this.#poolChoices}`;
    for (const pool of poolsByWeight(passage, seed)) {
      const chosen = this.#choice.choose(pool, job.request, job.triedRunners, true, now);
      if (chosen !== undefined) return [this.#startAttempt(job, pool, chosen, now)];
    }
    const state = this.#stateOf(job.queue);
    state.resumeAt = Math.max(state.resumeAt, now + constants.emptyQueuePauseMs);
    return this.#reportEnding(job, { kind: "unsent" }, now);
  }

  #mayTry({ grantedUntil, triedRunners, task }: ItemJob, now: number): boolean {
    return (
      now <= grantedUntil &&
      triedRunners.size < constants.maxRunnersTried &&
      !this.#isStopping &&
      !this.#endedLots.has(task.lot)
    );
  }

  #startAttempt(job: ItemJob, pool: string, chosen: ChosenRunner, now: number): AccessOutput {
    const { runner, incarnation, address } = chosen;
    job.triedRunners.add(runner);
    const number = this.#choice.nextAttemptNumber();
    this.#attempts.set(number, { job, pool, runner, incarnation, status: undefined });
    this.#choice.recordStart(number, runner, job.request, true, now);
    const hasTenants = this.#membership.configuration.value.tenants !== undefined;
    const work = itemWork(job, runner, itemTenancy(job.task, hasTenants));
    return { kind: "pass-run", go: number, address, work };
  }

  /** Handles an event from the connection to a runner. */
  handleAttemptEvent(number: number, event: PassageEvent, now: number): AccessOutput[] {
    const attempt = this.#attempts.get(number);
    if (attempt === undefined) return [];
    attempt.job.lastProgressAt = now;
    switch (event.kind) {
      case "unsent":
        this.#removeAttempt(number, "unsent", undefined, now);
        return this.#tryNextRunner(attempt.job, now);
      case "refused":
        this.#removeAttempt(number, "refused", event.retryAfter, now);
        return this.#tryNextRunner(attempt.job, now);
      case "head":
        attempt.status = event.status;
        if (event.status < firstRedirectStatus && !event.stamped)
          return this.#abandon(number, attempt, now);
        return [];
      case "data":
        return [];
      case "event":
        return this.#onEvent(number, attempt, event, now);
      case "end":
        return this.#end(number, attempt.job, completeEnd(attempt), now);
      case "broken":
        return this.#end(number, attempt.job, brokenEnd(attempt.job), now);
    }
  }

  /** Accepts only the event with the next number: an attempt that skips or repeats events is aborted. */
  #onEvent(
    number: number,
    attempt: ItemAttempt,
    event: Extract<PassageEvent, { kind: "event" }>,
    now: number,
  ): AccessOutput[] {
    const { job } = attempt;
    const isNext = job.lastEvent === undefined || event.number === job.lastEvent + 1;
    if (event.number === undefined || !isNext) return this.#abandon(number, attempt, now);
    if (job.eventData.length === 0) this.#choice.recordFirstOutput(number, now);
    else this.#choice.recordItemOutput(number, now);
    job.eventData.push(event.data);
    job.lastEvent = event.number;
    return [];
  }

  /** Aborts an attempt: closes its connection, so that the runner drops it. */
  #abandon(number: number, { job }: ItemAttempt, now: number): AccessOutput[] {
    return [{ kind: "pass-abandon", go: number }, ...this.#end(number, job, brokenEnd(job), now)];
  }

  #end(number: number, job: ItemJob, { how, ending }: AttemptEnd, now: number): AccessOutput[] {
    this.#removeAttempt(number, how, undefined, now);
    const outputs = this.#reportEnding(job, ending, now);
    if (this.#membership.holds(now)) outputs.push(...this.#dequeue(this.#stateOf(job.queue), now));
    return outputs;
  }

  /** Removes a finished attempt. retryAfter: in s, if the runner sent one. */
  #removeAttempt(
    number: number,
    how: AttemptOutcome,
    retryAfter: number | undefined,
    now: number,
  ): void {
    this.#attempts.delete(number);
    this.#choice.recordEnd(number, how, retryAfter, now);
  }

  #reportEnding(job: ItemJob, ending: PassEnding, now: number): AccessOutput[] {
    if (ending.kind === "solved") this.counts.solved += 1;
    else if (ending.kind === "never") this.counts.never += 1;
    else if (ending.kind === "trouble") this.counts.troubled += 1;
    else if (ending.kind === "unsent") this.counts.givenBack += 1;
    else this.counts.broken += 1;
    const { queue, expiresAt: until } = job;
    return this.#endings.add(queue, { claim: claimOf(job), ending, until }, now);
  }

  /** The lot was ended: aborts its attempts and starts no more of its items. */
  dropLot(lot: string, now: number): AccessOutput[] {
    this.#rememberEnded(lot);
    const outputs: AccessOutput[] = [];
    for (const [number, { job }] of [...this.#attempts]) {
      if (job.task.lot !== lot) continue;
      this.#removeAttempt(number, "left", undefined, now);
      outputs.push({ kind: "pass-abandon", go: number });
    }
    return outputs;
  }

  #rememberEnded(lot: string): void {
    this.#endedLots.add(lot);
    if (this.#endedLots.size <= constants.maxRememberedLots) return;
    for (const oldest of this.#endedLots) {
      this.#endedLots.delete(oldest);
      break;
    }
  }

  /** Heartbeats for all claims. Runners send heartbeats only for themselves, so this node sends those of the items (docs/design.md §5.4). */
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
    const owner = this.#pendingCalls.ownerOf(queue);
    if (owner === undefined) return [];
    return [{ kind: "send", to: owner, message: { kind: "life", queue, items: [], tasks } }];
  }
}

/** Whether a request is pending; one that the owner didn't answer in time is abandoned and sent again. */
function isRequestPending({ askedAt }: QueueState, now: number): boolean {
  return askedAt !== undefined && now - askedAt < constants.grantDurationMs + constants.drawHoldMs;
}

/** Pools of a passage in weighted random order; pools of weight 0 are left out. */
function poolsByWeight(passage: Passage, seed: string): string[] {
  const keyed: [key: number, pool: string][] = [];
  for (const { pool, weight } of passage.pools)
    if (weight > 0) keyed.push([weightedKey(`${seed}/${pool}`, weight), pool]);
  keyed.sort(([left], [right]) => right - left);
  const pools: string[] = [];
  for (const [, pool] of keyed) pools.push(pool);
  return pools;
}
