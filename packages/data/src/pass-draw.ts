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
import type { Choice, GoEnd } from "./choice.js";
import type { PassEvent, PassRequest } from "./dialect.js";
import type { PendingCalls } from "./pending-calls.js";
import type { Membership } from "./membership.js";
import type { QueueOutcome } from "./queue-messages.js";
import { weightedKey } from "./weighted-choice.js";

/** The dispatcher of items: draws prompts as far as live work leaves room, runs them, and tells their owner how they ended (docs/design.md §13.7). */
interface Job {
  readonly queue: string;
  readonly task: PassTask;
  readonly request: PassRequest;
  /** An old grant begins nothing: the lot may have been ended since. */
  readonly until: number;
  /** Moment from which it may be given up. */
  readonly keepsUntil: number;
  readonly tried: Set<string>;
  readonly texts: string[];
  upTo: number | undefined;
  lifeAt: number;
}

interface Run {
  readonly job: Job;
  readonly pool: string;
  readonly runner: string;
  readonly incarnation: number;
  status: number | undefined;
}

interface Draw {
  resumeAt: number;
  /** Since when a draw is on its way. */
  askedAt: number | undefined;
}

interface Told {
  readonly claim: Claim;
  readonly ending: PassEnding;
  /** Moment from which the item may be given up whatever became of it. */
  readonly until: number;
}

interface Settling {
  pending: Told[];
  /** What the owner is hearing now. */
  sent: readonly Told[];
}

export class PassDraw {
  #membership: Membership;
  #choice: Choice;
  #pendingCalls: PendingCalls;
  #draws = new Map<string, Draw>();
  #runs = new Map<number, Run>();
  #settlings = new Map<string, Settling>();
  #ended = new Set<string>();
  #lifeAt = 0;
  #drawNumber = 0;
  draining = false;
  readonly counts = { drawn: 0, solved: 0, never: 0, troubled: 0, broken: 0, givenBack: 0 };

  constructor(membership: Membership, choice: Choice, pendingCalls: PendingCalls) {
    this.#membership = membership;
    this.#choice = choice;
    this.#pendingCalls = pendingCalls;
  }

  get underWay(): number {
    return this.#runs.size;
  }

  has(go: number): boolean {
    return this.#runs.has(go);
  }

  /** A changed limit ends every pause. */
  hurry(): void {
    for (const draw of this.#draws.values()) {
      draw.resumeAt = 0;
      draw.askedAt = undefined;
    }
  }

  /** The last look, right before the first byte. */
  mayStart(go: number, now: number): string | undefined {
    const run = this.#runs.get(go);
    if (run === undefined) return "given up";
    if (!this.#membership.holds(now)) return "no lease";
    if (now > run.job.until) return "the grant ran out";
    if (this.#ended.has(run.job.task.lot)) return "its lot is ended";
    const passage = this.#passage(run.job.task.way);
    if (passage === undefined || !configuration.poolsOf(passage).includes(run.pool))
      return "its passage is gone, or leads elsewhere";
    if (!this.#membership.isStanding(run.runner, run.incarnation, now))
      return "the runner said goodbye, or was not heard of lately";
    return undefined;
  }

  #passage(way: string): Passage | undefined {
    const { passages } = this.#membership.configuration.value;
    const passage = Object.hasOwn(passages, way) ? passages[way] : undefined;
    return passage?.kind === "lot" ? passage : undefined;
  }

  beat(now: number): AccessOutput[] {
    const outputs: AccessOutput[] = [];
    for (const [go, run] of [...this.#runs]) {
      if (now - run.job.lifeAt > constants.promptSilence || now >= run.job.keepsUntil)
        outputs.push(...this.#end(go, run, "broken", undefined, this.#broken(run.job), now, true));
    }
    if (now - this.#lifeAt >= constants.taskLifeEvery) {
      this.#lifeAt = now;
      outputs.push(...this.#signsOfLife());
    }
    outputs.push(...this.#drive(now));
    return outputs;
  }

  /** Passages whose runners have room here, and how much of it there is. */
  #able(now: number): { able: string[]; room: number } {
    const able: string[] = [];
    const rooms = new Map<string, number>();
    for (const [way, passage] of Object.entries(
      this.#membership.configuration.value.passages ?? {},
    )) {
      if (passage.kind !== "lot") continue;
      let has = false;
      for (const pool of configuration.poolsOf(passage)) {
        const room = rooms.get(pool) ?? this.#choice.room(pool, now);
        rooms.set(pool, room);
        has ||= room >= 1;
      }
      if (has) able.push(way);
    }
    let room = 0;
    for (const each of rooms.values()) room += Math.max(0, Math.floor(each));
    return { able, room };
  }

  /** Every node draws from every queue as far as it has room, so that relaying is spread; the claim is the fence. */
  #drive(now: number): AccessOutput[] {
    if (this.draining || !this.#membership.holds(now)) return [];
    const outputs: AccessOutput[] = [];
    for (const [key] of this.#membership.follower.under<ChainView>(keys.queue)) {
      const queue = key.slice(keys.queue.length);
      if (configuration.isPoolQueue(queue)) outputs.push(...this.#draw(queue, now));
    }
    return outputs;
  }

  #draw(queue: string, now: number): AccessOutput[] {
    let draw = this.#draws.get(queue);
    if (draw === undefined) {
      draw = { resumeAt: 0, askedAt: undefined };
      this.#draws.set(queue, draw);
    }
    if (
      this.draining ||
      now < draw.resumeAt ||
      (draw.askedAt !== undefined && now - draw.askedAt < constants.grantLasts + constants.drawHold)
    )
      return [];
    const { able, room } = this.#able(now);
    if (room < 1) return [];
    const held = draw;
    const askedAt = now;
    const self = this;
    held.askedAt = now;
    function told(ended: QueueOutcome, later: number, since: number): AccessOutput[] {
      if (held.askedAt === askedAt) held.askedAt = undefined;
      if (ended.kind !== "confirmed" || ended.value.kind !== "DRAWN") {
        held.resumeAt = later + constants.emptyPause;
        return [];
      }
      const { tasks, more, wait } = ended.value;
      /** The owner held the draw while the queue was empty: that was the pause. */
      if (more === "RATE_LIMITED") held.resumeAt = later + (wait ?? constants.pauseMost);
      const outputs: AccessOutput[] = [];
      const begun: Claim[] = [];
      for (const task of tasks) {
        outputs.push(...self.#begin(queue, task, since, later));
        begun.push({ lot: task.lot, index: task.index, go: task.go });
      }
      if (begun.length > 0) outputs.push(...self.#live(queue, begun));
      return [...outputs, ...self.#draw(queue, later)];
    }
    /** A grant that comes too late to be begun still has to be given back. */
    return this.#pendingCalls.ask(
      {
        queue,
        command: {
          kind: "draw",
          holder: this.#membership.address,
          by: this.#membership.identity,
          most: Math.min(room, constants.drawMost),
          able,
        },
        patience: constants.orphanAfter,
        hold: constants.drawHold,
        onResult: told,
      },
      now,
    );
  }

  #begin(queue: string, task: PassTask, askedAt: number, now: number): AccessOutput[] {
    this.counts.drawn += 1;
    const { entry } = task;
    const request: PassRequest = {
      id: entry.id,
      method: "POST",
      host: task.host,
      path: entry.path,
      headers: entry.headers,
      body: entry.body,
      patience: undefined,
      model: entry.model ?? undefined,
      tokensIn: entry.tokens,
      tokensOut: undefined,
      parts: entry.parts ?? [],
      resumeAfter: task.upTo ?? undefined,
    };
    const until =
      askedAt + heldFor(Math.min(constants.grantLasts, this.#membership.policy.cancelWithin));
    return this.#try(
      {
        queue,
        task,
        request,
        until,
        keepsUntil: askedAt + task.remaining,
        tried: new Set(),
        texts: [],
        upTo: task.upTo ?? undefined,
        lifeAt: now,
      },
      now,
    );
  }

  /** The newest configuration says where it runs: by weight, then any pool of the passage that has a runner for it. */
  #try(job: Job, now: number): AccessOutput[] {
    const passage = this.#passage(job.task.way);
    if (
      passage === undefined ||
      now > job.until ||
      job.tried.size >= constants.runnersTried ||
      this.draining ||
      this.#ended.has(job.task.lot)
    )
      return this.#settle(job, { kind: "unsent" }, now);
    this.#drawNumber += 1;
    for (const pool of byWeight(passage, `${this.#membership.identity}/${this.#drawNumber}`)) {
      const chosen = this.#choice.choose(pool, job.request, job.tried, true, now);
      if (chosen === undefined) continue;
      job.tried.add(chosen.runner);
      const go = this.#choice.nextGo();
      this.#runs.set(go, {
        job,
        pool,
        runner: chosen.runner,
        incarnation: chosen.incarnation,
        status: undefined,
      });
      this.#choice.begin(go, chosen.runner, job.request, true, now);
      return [
        {
          kind: "pass-run",
          go,
          address: chosen.address,
          work: {
            request: job.request,
            runner: chosen.runner,
            rank: constants.itemRank,
            until: job.keepsUntil,
            resumeAfter: job.upTo,
            events: true,
            repeatable: true,
          },
        },
      ];
    }
    const draw = this.#draws.get(job.queue)!;
    draw.resumeAt = Math.max(draw.resumeAt, now + constants.emptyPause);
    return this.#settle(job, { kind: "unsent" }, now);
  }

  goEvent(go: number, event: PassEvent, now: number): AccessOutput[] {
    const run = this.#runs.get(go);
    if (run === undefined) return [];
    const { job } = run;
    job.lifeAt = now;
    switch (event.kind) {
      case "unsent":
        return this.#again(go, run, "unsent", undefined, now);
      case "refused":
        return this.#again(go, run, "refused", event.retryAfter, now);
      case "head":
        run.status = event.status;
        if (event.status < 300 && !event.stamped)
          return this.#end(go, run, "broken", undefined, this.#broken(job), now, true);
        return [];
      case "data":
        return [];
      case "event": {
        /** Only what surely follows counts: a run that skips or repeats is broken off. */
        if (event.number === undefined || (job.upTo !== undefined && event.number !== job.upTo + 1))
          return this.#end(go, run, "broken", undefined, this.#broken(job), now, true);
        if (job.texts.length === 0) this.#choice.first(go, now);
        job.texts.push(event.data);
        job.upTo = event.number;
        return [];
      }
      case "end":
        return this.#whole(go, run, now);
      case "broken":
        return this.#end(go, run, "broken", undefined, this.#broken(job), now, false);
    }
  }

  #whole(go: number, run: Run, now: number): AccessOutput[] {
    const { job, status } = run;
    /** A run that was asked to go on after the last event of all ends without another. */
    if (status === 200 && (job.texts.length > 0 || job.upTo !== undefined))
      return this.#end(
        go,
        run,
        "done",
        undefined,
        { kind: "solved", text: job.texts.join("\n"), events: job.texts.length },
        now,
        false,
      );
    if (status === 422) return this.#end(go, run, "done", undefined, { kind: "never" }, now, false);
    if (status === 500)
      return this.#end(go, run, "failed", undefined, { kind: "trouble" }, now, false);
    return this.#end(go, run, "broken", undefined, this.#broken(job), now, false);
  }

  #broken({ texts, upTo }: Job): PassEnding {
    return { kind: "broken", text: texts.join("\n"), events: texts.length, upTo };
  }

  /** Nothing ran: another runner may be tried while the grant holds. */
  #again(
    go: number,
    { job }: Run,
    how: GoEnd,
    retryAfter: number | undefined,
    now: number,
  ): AccessOutput[] {
    this.#runs.delete(go);
    this.#choice.end(go, how, retryAfter, now);
    return this.#try(job, now);
  }

  #end(
    go: number,
    { job }: Run,
    how: GoEnd,
    retryAfter: number | undefined,
    ending: PassEnding,
    now: number,
    abandon: boolean,
  ): AccessOutput[] {
    this.#runs.delete(go);
    this.#choice.end(go, how, retryAfter, now);
    const outputs: AccessOutput[] = abandon ? [{ kind: "pass-abandon", go }] : [];
    outputs.push(...this.#settle(job, ending, now));
    if (this.#membership.holds(now)) outputs.push(...this.#draw(job.queue, now));
    return outputs;
  }

  #settle(job: Job, ending: PassEnding, now: number): AccessOutput[] {
    if (ending.kind === "solved") this.counts.solved += 1;
    else if (ending.kind === "never") this.counts.never += 1;
    else if (ending.kind === "trouble") this.counts.troubled += 1;
    else if (ending.kind === "unsent") this.counts.givenBack += 1;
    else this.counts.broken += 1;
    let settling = this.#settlings.get(job.queue);
    if (settling === undefined) {
      settling = { pending: [], sent: [] };
      this.#settlings.set(job.queue, settling);
    }
    const { lot, index, go } = job.task;
    settling.pending.push({ claim: { lot, index, go }, ending, until: job.keepsUntil });
    return this.#tell(job.queue, settling, now);
  }

  /** One message at a time: what ends while the owner works goes into the next together. */
  #tell(queue: string, settling: Settling, now: number): AccessOutput[] {
    if (settling.sent.length > 0 || settling.pending.length === 0) return [];
    settling.sent = settling.pending;
    settling.pending = [];
    const self = this;
    function told(ended: QueueOutcome, later: number): AccessOutput[] {
      /** What no owner has taken for good is told again: by its go it counts once. Signs of life hold the claim meanwhile. */
      if (ended.kind !== "confirmed")
        for (const each of settling.sent) if (later < each.until) settling.pending.push(each);
      settling.sent = [];
      return self.#tell(queue, settling, later);
    }
    return this.#pendingCalls.ask(
      {
        queue,
        command: { kind: "settle", endings: bare(settling.sent) },
        patience: constants.ownerPatience,
        onResult: told,
      },
      now,
    );
  }

  /** The lot is ended: its runs are dropped, and none begins. */
  ended(lot: string, now: number): AccessOutput[] {
    this.#ended.add(lot);
    if (this.#ended.size > constants.lotsRemembered)
      for (const first of this.#ended) {
        this.#ended.delete(first);
        break;
      }
    const outputs: AccessOutput[] = [];
    for (const [go, run] of [...this.#runs]) {
      if (run.job.task.lot !== lot) continue;
      this.#runs.delete(go);
      this.#choice.end(go, "left", undefined, now);
      outputs.push({ kind: "pass-abandon", go });
    }
    return outputs;
  }

  /** Runners report on themselves alone: the sign of life of a prompt is its tokens, seen here (§5.4). */
  #signsOfLife(): AccessOutput[] {
    const byQueue = new Map<string, Claim[]>();
    function add(queue: string, { lot, index, go }: Claim): void {
      const claims = byQueue.get(queue) ?? [];
      claims.push({ lot, index, go });
      byQueue.set(queue, claims);
    }
    for (const { job } of this.#runs.values()) add(job.queue, job.task);
    for (const [queue, { pending, sent }] of this.#settlings)
      for (const { claim } of [...pending, ...sent]) add(queue, claim);
    const outputs: AccessOutput[] = [];
    for (const [queue, tasks] of byQueue) outputs.push(...this.#live(queue, tasks));
    return outputs;
  }

  #live(queue: string, tasks: readonly Claim[]): AccessOutput[] {
    const owner = this.#pendingCalls.owner(queue);
    return owner === undefined
      ? []
      : [{ kind: "send", to: owner, message: { kind: "life", queue, items: [], tasks } }];
  }
}

function bare(all: readonly Told[]): { claim: Claim; ending: PassEnding }[] {
  const endings: { claim: Claim; ending: PassEnding }[] = [];
  for (const { claim, ending } of all) endings.push({ claim, ending });
  return endings;
}

/** Pools of a passage, one drawn by weight first; those of weight 0 never. */
function byWeight(passage: Passage, seed: string): string[] {
  const weighed: [number, string][] = [];
  for (const { pool, weight } of passage.pools) {
    if (weight <= 0) continue;
    weighed.push([weightedKey(`${seed}/${pool}`, weight), pool]);
  }
  weighed.sort(heavier);
  const pools: string[] = [];
  for (const [, pool] of weighed) pools.push(pool);
  return pools;
}

function heavier(left: [number, string], right: [number, string]): number {
  return right[0] - left[0];
}
