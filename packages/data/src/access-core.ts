import { createHash } from "node:crypto";
import {
  constants,
  heldFor,
  duty,
  policy,
  season,
  type ChainView,
  type Ending,
  type Policy,
  type QueueCommand,
  type QueueResult,
  type RunnerCard,
  type Telling,
} from "@chutewick/parts";
import { configuration, keys, standingClasses, type QueueStanding } from "@chutewick/control";
import { newAccessCounts } from "./access-counts.js";
import { runnerRequestBody, type DrawnPrompt } from "./access-jobs.js";
import type { AccessOutput, GoEvent, Work } from "./access-output.js";
import { Admission, NO_NEW_WORK } from "./admission.js";
import { Attempts } from "./attempts.js";
import { Choice } from "./choice.js";
import { ControlCalls } from "./control-calls.js";
import type { PassEvent } from "./dialect.js";
import { errorReply, notRunReply, type ErrorBody } from "./error-reply.js";
import { LiveRequests } from "./live-requests.js";
import { PendingCalls, type QueueResultHandler } from "./pending-calls.js";
import { Membership, type Standing } from "./membership.js";
import { PassLots } from "./pass-lots.js";
import { RelayCore } from "./relay-core.js";
import { RunnerRegistrations } from "./runner-registrations.js";
import { RunnerSelection, type RunnerDemand } from "./runner-selection.js";
import type { DataMessage, QueueOutcome } from "./queue-messages.js";

interface Draw {
  resumeAt: number;
  popping: string | undefined;
  underWay: number;
}

/** An access node without I/O: live proxy and batch dispatcher (docs/design.md §5, §6). */
export class AccessCore {
  readonly membership: Membership;
  readonly choice: Choice;
  /** Lots of passages (§13.7). */
  readonly lots: PassLots;
  /** Live requests on passages (§13.5). */
  readonly relay: RelayCore;
  #standing: Standing;
  #admission: Admission;
  #attempts: Attempts;
  #selection: RunnerSelection;
  #live: LiveRequests;
  #registrations: RunnerRegistrations;
  #draws = new Map<string, Draw>();
  #pendingCalls: PendingCalls;
  #controlCalls: ControlCalls;
  #lifeAt = 0;
  #now: number;
  /** Wall clock, for what is told of seasons alone (§10.5). */
  #wall = 0;
  readonly counts = newAccessCounts();

  constructor(
    standing: Standing,
    seeds: readonly string[],
    now: number,
    chosen: Policy = policy.usual,
  ) {
    this.#standing = standing;
    this.#now = now;
    const self = this;
    function telling(): Telling {
      return self.#telling();
    }
    this.membership = new Membership(standing, seeds, now, telling, chosen);
    this.choice = new Choice(this.membership, standing);
    this.#pendingCalls = new PendingCalls(this.membership);
    function nextTicket(): string {
      return self.#pendingCalls.ticket();
    }
    this.#controlCalls = new ControlCalls(this.membership, nextTicket);
    this.#admission = new Admission(this.membership);
    this.#attempts = new Attempts(this.membership);
    this.#selection = new RunnerSelection(this.membership, this.#attempts);
    const parts = {
      membership: this.membership,
      admission: this.#admission,
      attempts: this.#attempts,
      selection: this.#selection,
      controlCalls: this.#controlCalls,
      counts: this.counts,
    };
    this.#live = new LiveRequests(parts);
    this.#registrations = new RunnerRegistrations(parts, now);
    this.relay = new RelayCore(this.membership, this.choice, chosen);
    this.lots = new PassLots(this.membership, this.choice, this.#pendingCalls, this.relay);
  }

  #telling(): Telling {
    return {
      runners: this.#registrations.cards(this.#now),
      lots: this.#attempts.promptsByRunner(),
      turnedAway: this.#live.unserved.countByModel(this.#now),
      burdens: this.choice.loads(),
    };
  }

  get busy(): number {
    return (
      this.#attempts.size +
      this.#pendingCalls.size +
      this.relay.busy +
      this.lots.dispatcher.underWay
    );
  }

  /** A planned stop: no new work; what is under way goes on. */
  leave(now: number): AccessOutput[] {
    this.#admission.leave();
    this.relay.leave();
    this.lots.leave();
    return this.membership.leave(now);
  }

  receive(message: DataMessage, from: string, now: number): AccessOutput[] {
    this.#now = now;
    switch (message.kind) {
      case "feed":
      case "feed-digest":
        if (!this.membership.receive(message, from, now)) return [];
        /** Limits may have changed: waits told under the old ones no longer bind. */
        for (const draw of this.#draws.values()) draw.resumeAt = 0;
        this.lots.dispatcher.hurry();
        return this.membership.tell(now);
      case "lease":
      case "controls":
      case "runners":
        this.membership.receive(message, from, now);
        return [];
      case "fellow-ask":
      case "fellow-tell":
        return this.membership.peer(message, from, now);
      case "queue-result":
        return this.#pendingCallEnded(message.ticket, message.outcome, now, message.held ?? 0);
      case "lot-ended":
        return this.lots.dropped(message.lot, now);
      case "control-result":
        return this.#controlCalls.ended(message.ticket, message.outcome, now);
      default:
        return [];
    }
  }

  // Live requests (§6)

  arrive(
    ticket: string,
    routeName: string,
    body: unknown,
    path: string | undefined,
    now: number,
  ): AccessOutput[] {
    this.#now = now;
    return this.#live.arrive({ ticket, routeName, body, path }, now);
  }

  /** Asked at the last moment before the first byte of an attempt; undefined where it may be sent. */
  mayStart(go: number, now: number): string | undefined {
    return this.#attempts.mayStart(go, now);
  }

  /** The same for what runs on passages. */
  mayPass(go: number, now: number): string | undefined {
    return this.lots.has(go) ? this.lots.mayStart(go, now) : this.relay.mayStart(go, now);
  }

  passEvent(go: number, event: PassEvent, now: number): AccessOutput[] {
    this.#now = now;
    return this.lots.has(go)
      ? this.lots.goEvent(go, event, now)
      : this.relay.goEvent(go, event, now);
  }

  /** The caller of a live request left. */
  left(ticket: string): AccessOutput[] {
    return this.#live.left(ticket);
  }

  /** What the link to a runner tells of an attempt. */
  goEvent(number: number, event: GoEvent, now: number): AccessOutput[] {
    this.#now = now;
    const job = this.#attempts.get(number)?.job;
    if (job === undefined) return [];
    return job.kind === "live"
      ? this.#live.attemptEvent(number, job, event, now)
      : this.#promptEvent(number, job, event, now);
  }

  // Runners (§7)

  announce(ticket: string, card: Omit<RunnerCard, "age">, now: number): AccessOutput[] {
    return this.#registrations.announce(ticket, card, now);
  }

  deregister(ticket: string, runner: string, incarnation: number, now: number): AccessOutput[] {
    return this.#registrations.deregister(ticket, runner, incarnation, now);
  }

  // Lots (§5)

  handIn(
    ticket: string,
    wayName: string,
    key: unknown,
    items: unknown,
    labels: unknown,
    now: number,
  ): AccessOutput[] {
    const marked = this.membership.configuration;
    if (!this.#admission.isOpen(now)) {
      this.counts.notRun += 1;
      return [notRunReply(ticket, NO_NEW_WORK)];
    }
    const way = Object.hasOwn(marked.value.ways, wayName) ? marked.value.ways[wayName] : undefined;
    if (way === undefined)
      return [
        errorReply(ticket, 404, { trouble: "unknown-way", reason: `there is no way ${wayName}` }),
      ];
    if (way.kind !== "lot")
      return [
        errorReply(ticket, 405, { trouble: "wrong-kind", reason: `${wayName} does not take lots` }),
      ];
    if (typeof key !== "string" || key.length === 0 || key.length > 200)
      return [
        errorReply(ticket, 400, {
          trouble: "bad-body",
          reason: "key: must be a text of 1 to 200 characters of the caller's own",
        }),
      ];
    if (!Array.isArray(items) || items.length === 0)
      return [
        errorReply(ticket, 400, {
          trouble: "bad-body",
          reason: "items: must be a list with at least one prompt",
        }),
      ];
    if (items.length > constants.lotItemsMost)
      return [
        errorReply(ticket, 413, {
          trouble: "lot-too-large",
          reason: `items: ${constants.lotItemsMost} at most`,
        }),
      ];
    const own = configuration.labelsOf(labels ?? {});
    if (own === undefined)
      return [
        errorReply(ticket, 400, {
          trouble: "bad-body",
          reason:
            'labels: must be an object of label names and values, such as {"shift": "night"}, 20 at most',
        }),
      ];
    const queue = configuration.queueOf(way.model!, way.adapter);
    const lot = lotName(queue, wayName, key);
    const body = createHash("sha256")
      .update(JSON.stringify(Object.keys(own).length === 0 ? items : [own, items]))
      .digest("base64url");
    const lasts =
      way.deadlineSeconds === undefined ? constants.lotDeadline : way.deadlineSeconds * 1_000;
    const command: QueueCommand = {
      kind: "admit",
      lot,
      way: wayName,
      body,
      prompts: items,
      labels: { ...own, ...way.labels, way: wayName },
      lasts,
      allowance: 0,
    };
    const { counts } = this;
    const self = this;
    const count = items.length;
    function told(ended: QueueOutcome, later: number, since: number): AccessOutput[] {
      if (ended.kind === "unknown")
        return [
          errorReply(ticket, 504, {
            trouble: "unknown",
            reason:
              "whether the lot was accepted is not known yet; look it up, or hand it in again under the same key",
            lot,
            lookUp: `/lots/${lot}`,
          }),
        ];
      if (ended.kind === "elsewhere") {
        counts.notRun += 1;
        return [
          errorReply(ticket, 503, {
            trouble: "not-run",
            reason: ended.reason,
            retryAfter: constants.retryAfter,
          }),
        ];
      }
      const value = ended.value;
      if (value.kind === "ADMITTED")
        return [
          {
            kind: "reply",
            ticket,
            status: 202,
            body: {
              lot: value.lot,
              items: count,
              lookUp: `/lots/${value.lot}`,
              endsWithin: Math.max(0, Math.min(lasts, value.remaining - (later - since))) / 1_000,
            },
          },
        ];
      if (value.kind === "GONE") return [errorReply(ticket, 410, goneLot(value))];
      if (value.kind === "CONFLICT")
        return [
          errorReply(ticket, 409, {
            trouble: "conflict",
            reason: "this key was used with another body",
            lot: value.lot,
          }),
        ];
      if (value.kind === "FULL") {
        const reason =
          count > value.allowance
            ? `a lot of ${count} items is more than the ${value.allowance} that may wait in this queue now`
            : `the queue may hold ${value.allowance} waiting items now and holds ${value.waiting}, those under way included`;
        /** No wait by the queue's own rate: then the moment at which a season gives it room, if one does. */
        const change = value.wait === undefined ? self.#roomAt(queue, count) : undefined;
        const wait = value.wait ?? (change === undefined ? undefined : change - self.#wall);
        return [
          errorReply(ticket, 429, {
            trouble: "refused",
            reason,
            ...(wait === undefined
              ? {}
              : { retryAfter: Math.max(constants.retryAfter, wait / 1_000) }),
            ...(change === undefined ? {} : { roomAt: new Date(change).toISOString() }),
          }),
        ];
      }
      return [errorReply(ticket, 500, { trouble: "internal", reason: value.kind })];
    }
    return this.#pendingCall(queue, command, constants.ownerPatience, told, now);
  }

  /** When, by the calendar of seasons, a queue may first hold so many. */
  #roomAt(queue: string, count: number): number | undefined {
    const { value } = this.membership.configuration;
    const plan = configuration.queues(value).find(isQueue, { queue });
    return plan === undefined
      ? undefined
      : season.roomAt(
          configuration.seasonsOf(value, this.#wall),
          plan.labels,
          plan.waiting,
          this.#wall,
          count,
        );
  }

  /** Only a node that surely has the newest configuration may say that there is no such queue. */
  #missing(ticket: string, queue: string | undefined, now: number): AccessOutput[] | undefined {
    if (queue !== undefined && this.membership.follower.read(keys.queue + queue) !== undefined)
      return undefined;
    if (!this.membership.holds(now)) {
      this.counts.notRun += 1;
      return [notRunReply(ticket, "this access node is cut off from the control group")];
    }
    return [errorReply(ticket, 404, { trouble: "unknown-lot", reason: "there is no such lot" })];
  }

  lookUp(ticket: string, lot: string, now: number): AccessOutput[] {
    const queue = queueOfLot(lot);
    const missing = this.#missing(ticket, queue, now);
    if (missing !== undefined) return missing;
    function told(ended: QueueOutcome): AccessOutput[] {
      if (ended.kind !== "confirmed")
        return [
          errorReply(ticket, 503, {
            trouble: "not-run",
            reason: "the lot's owner cannot answer now",
            retryAfter: constants.retryAfter,
          }),
        ];
      const value = ended.value;
      if (value.kind === "GONE") return [errorReply(ticket, 410, goneLot(value))];
      if (value.kind !== "LOT")
        return [
          errorReply(ticket, 404, {
            trouble: "unknown-lot",
            reason: "there is no such lot, or it ended more than a day ago",
          }),
        ];
      const { id, way, items, open, cancelled } = value.lot;
      return [
        {
          kind: "reply",
          ticket,
          status: 200,
          body: {
            lot: id,
            way,
            items: value.items,
            of: items,
            open,
            state:
              open === 0 ? (cancelled ? "cancelled" : "done") : cancelled ? "cancelling" : "open",
          },
        },
      ];
    }
    return this.#pendingCall(queue!, { kind: "status", lot }, constants.ownerPatience, told, now);
  }

  cancel(ticket: string, lot: string, now: number): AccessOutput[] {
    const queue = queueOfLot(lot);
    const missing = this.#missing(ticket, queue, now);
    if (missing !== undefined) return missing;
    function told(ended: QueueOutcome): AccessOutput[] {
      if (ended.kind === "elsewhere")
        return [
          errorReply(ticket, 503, {
            trouble: "not-run",
            reason: ended.reason,
            retryAfter: constants.retryAfter,
          }),
        ];
      if (ended.kind === "unknown")
        return [
          errorReply(ticket, 504, {
            trouble: "unknown",
            reason: "whether the lot is cancelled is not known yet; cancel it again",
            lot,
          }),
        ];
      if (ended.value.kind !== "CANCELLED")
        return [
          errorReply(ticket, 404, { trouble: "unknown-lot", reason: "there is no such lot" }),
        ];
      return [
        {
          kind: "reply",
          ticket,
          status: 200,
          body: { lot, stopped: ended.value.stopped, newItemsWithin: constants.grantLasts / 1_000 },
        },
      ];
    }
    return this.#pendingCall(queue!, { kind: "cancel", lot }, constants.ownerPatience, told, now);
  }

  // Pending calls to owners of queues and to control

  #pendingCall(
    queue: string,
    command: QueueCommand,
    patience: number,
    told: QueueResultHandler,
    now: number,
  ): AccessOutput[] {
    return this.#pendingCalls.ask({ queue, command, patience, onResult: told }, now);
  }

  #pendingCallEnded(
    ticket: string,
    ended: QueueOutcome,
    now: number,
    held: number,
  ): AccessOutput[] {
    const outputs = this.#pendingCalls.told(ticket, ended, now, held);
    if (outputs !== undefined) return outputs;
    /** A prompt granted too late to be begun goes back at once, with its token. */
    if (ended.kind !== "confirmed" || ended.value.kind !== "TAKEN") return [];
    const { lot, index, go } = ended.value;
    return this.#pendingCall(
      queueOfLot(lot)!,
      { kind: "record", lot, index, go, ending: { kind: "unsent" } },
      constants.ownerPatience,
      nothing,
      now,
    );
  }

  // Dispatcher (§5): the source's loop, one per queue that this node draws from

  beat(now: number, wall: number): AccessOutput[] {
    this.#now = now;
    this.#wall = wall;
    const outputs: AccessOutput[] = [
      ...this.membership.beat(now),
      ...this.#pendingCalls.beat(now),
      ...this.#controlCalls.beat(now),
    ];
    this.#registrations.beat(now);
    if (now - this.#lifeAt >= constants.lifeEvery) {
      this.#lifeAt = now;
      outputs.push(...this.#signsOfLife(now));
    }
    if (this.#admission.isOpen(now)) outputs.push(...this.#drive(now));
    outputs.push(...this.relay.beat(now), ...this.lots.beat(now));
    return outputs;
  }

  #drive(now: number): AccessOutput[] {
    const outputs: AccessOutput[] = [];
    const access: string[] = [];
    for (const card of this.membership.live("access")) access.push(card.identity);
    /** All queues that exist, configured still or not: what was accepted is worked off. */
    for (const [key] of this.membership.follower.under<ChainView>(keys.queue)) {
      const queue = key.slice(keys.queue.length);
      if (configuration.isPoolQueue(queue)) continue;
      if (
        !duty
          .rank(queue, access)
          .slice(0, constants.dispatchersPerQueue)
          .includes(this.#standing.identity)
      )
        continue;
      let draw = this.#draws.get(queue);
      if (draw === undefined) {
        draw = { resumeAt: 0, popping: undefined, underWay: 0 };
        this.#draws.set(queue, draw);
      }
      const [model, adapter] = configuration.modelOf(queue);
      outputs.push(...this.#pop(queue, model, adapter, draw, now));
    }
    return outputs;
  }

  #pop(
    queue: string,
    model: string,
    adapter: string | undefined,
    draw: Draw,
    now: number,
  ): AccessOutput[] {
    if (
      draw.popping !== undefined ||
      now < draw.resumeAt ||
      draw.underWay >= constants.dispatchWidth
    )
      return [];
    const unable = this.#unable(queue, model, adapter, now);
    if (unable === undefined) return [];
    const self = this;
    const askedAt = now;
    draw.popping = queue;
    function told(ended: QueueOutcome, later: number): AccessOutput[] {
      draw.popping = undefined;
      if (ended.kind !== "confirmed") {
        draw.resumeAt = later + constants.emptyPause;
        return [];
      }
      const value = ended.value;
      if (value.kind === "TAKEN") {
        self.counts.popped += 1;
        draw.underWay += 1;
        const prompt: DrawnPrompt = {
          kind: "prompt",
          queue,
          lot: value.lot,
          index: value.index,
          claim: value.go,
          prompt: value.prompt,
          routeName: value.way,
          selectors: value.runners ?? [],
          grantedUntil: askedAt + heldFor(constants.grantLasts),
          triedRunners: new Set(),
          pieces: [],
          lastProgressAt: later,
        };
        return [
          ...self.#tryPrompt(prompt, model, adapter, later),
          ...self.#pop(queue, model, adapter, draw, later),
        ];
      }
      draw.resumeAt =
        later +
        (value.kind === "RATE_LIMITED"
          ? (value.wait ?? constants.pauseMost)
          : constants.emptyPause);
      return [];
    }
    return this.#pendingCall(
      queue,
      { kind: "pop", holder: this.#standing.identity, ...(unable.length === 0 ? {} : { unable }) },
      constants.grantLasts,
      told,
      now,
    );
  }

  #wantedBy(way: string): Readonly<Record<string, string>> {
    return this.membership.configuration.value.ways[way]?.runners ?? {};
  }

  /** Seasons of a queue whose runners have no room now; undefined where no runner has. */
  #unable(
    queue: string,
    model: string,
    adapter: string | undefined,
    now: number,
  ): string[] | undefined {
    const demand: RunnerDemand = {
      kind: "model",
      model,
      adapter,
      labels: {},
      tried: new Set(),
      seatPart: constants.lotPart,
    };
    if (this.#selection.choose(demand, now) === undefined) return undefined;
    const unable: string[] = [];
    for (const { season: name, runners } of standingClasses(
      this.membership.follower.read<QueueStanding>(keys.standing + queue),
    )) {
      if (
        runners.length > 0 &&
        this.#selection.choose({ ...demand, selectors: runners }, now) === undefined
      )
        unable.push(name);
    }
    return unable;
  }

  #tryPrompt(
    prompt: DrawnPrompt,
    model: string,
    adapter: string | undefined,
    now: number,
  ): AccessOutput[] {
    const runner =
      now > prompt.grantedUntil || prompt.triedRunners.size >= constants.runnersTried
        ? undefined
        : this.#selection.choose(
            {
              kind: "model",
              model,
              adapter,
              labels: this.#wantedBy(prompt.routeName),
              selectors: prompt.selectors,
              tried: prompt.triedRunners,
              seatPart: constants.lotPart,
            },
            now,
          );
    if (runner === undefined) {
      const draw = this.#draws.get(prompt.queue)!;
      draw.resumeAt = Math.max(draw.resumeAt, now + constants.emptyPause * 2);
      return this.#record(prompt, { kind: "unsent" }, now);
    }
    prompt.triedRunners.add(runner.id);
    const request = `${prompt.lot}/${prompt.index}/${prompt.claim}`;
    const work: Work = {
      kind: "stream",
      request,
      body: runnerRequestBody({ request, model, adapter, prompt: prompt.prompt }),
    };
    return [
      this.#attempts.start({ job: prompt, runner, work, silence: constants.promptSilence }, now),
    ];
  }

  #promptEvent(number: number, prompt: DrawnPrompt, event: GoEvent, now: number): AccessOutput[] {
    switch (event.kind) {
      case "opened":
        return [];
      case "piece":
        if (event.number !== prompt.pieces.length)
          return this.#endPrompt(number, prompt, { kind: "broken" }, now, true);
        prompt.pieces.push(event.data);
        prompt.lastProgressAt = now;
        return [];
      case "closed":
        return event.pieces === prompt.pieces.length
          ? this.#endPrompt(number, prompt, { kind: "solved", result: prompt.pieces }, now, false)
          : this.#endPrompt(number, prompt, { kind: "broken" }, now, false);
      case "troubled":
        return this.#endPrompt(
          number,
          prompt,
          { kind: "trouble", reason: event.reason },
          now,
          false,
        );
      case "unsent":
      case "refused": {
        this.#attempts.end(number);
        const [model, adapter] = configuration.modelOf(prompt.queue);
        return this.#tryPrompt(prompt, model, adapter, now);
      }
      default:
        return this.#endPrompt(number, prompt, { kind: "broken" }, now, false);
    }
  }

  #endPrompt(
    number: number,
    prompt: DrawnPrompt,
    ending: Ending,
    now: number,
    abandon: boolean,
  ): AccessOutput[] {
    this.#attempts.end(number);
    return [
      ...(abandon ? [{ kind: "abandon", go: number } as const] : []),
      ...this.#record(prompt, ending, now),
    ];
  }

  #record(prompt: DrawnPrompt, ending: Ending, now: number): AccessOutput[] {
    const draw = this.#draws.get(prompt.queue)!;
    draw.underWay -= 1;
    if (ending.kind === "solved") this.counts.solved += 1;
    else if (ending.kind === "trouble") this.counts.troubled += 1;
    else if (ending.kind === "unsent") this.counts.givenBack += 1;
    else this.counts.broken += 1;
    return this.#pendingCall(
      prompt.queue,
      { kind: "record", lot: prompt.lot, index: prompt.index, go: prompt.claim, ending },
      constants.ownerPatience * 3,
      nothing,
      now,
    );
  }

  /** Runners report on themselves alone: the sign of life of a prompt is its tokens, seen here (§5.4). */
  #signsOfLife(now: number): AccessOutput[] {
    const byQueue = new Map<string, { lot: string; index: number; go: number }[]>();
    for (const job of this.#attempts.prompts()) {
      if (now - job.lastProgressAt > constants.promptSilence) continue;
      const items = byQueue.get(job.queue) ?? [];
      items.push({ lot: job.lot, index: job.index, go: job.claim });
      byQueue.set(job.queue, items);
    }
    for (const pendingCall of this.#pendingCalls.values()) {
      if (pendingCall.command.kind !== "record") continue;
      const items = byQueue.get(pendingCall.queue) ?? [];
      items.push({
        lot: pendingCall.command.lot,
        index: pendingCall.command.index,
        go: pendingCall.command.go,
      });
      byQueue.set(pendingCall.queue, items);
    }
    const outputs: AccessOutput[] = [];
    for (const [queue, items] of byQueue) {
      const owner = this.membership.follower.read<ChainView>(keys.queue + queue)?.members[0];
      if (owner !== undefined)
        outputs.push({ kind: "send", to: owner.address, message: { kind: "life", queue, items } });
    }
    return outputs;
  }

  status(now: number): Record<string, unknown> {
    return {
      identity: this.#standing.identity,
      zone: this.#standing.zone,
      place: this.membership.follower.place,
      configuration: this.membership.configuration.mark,
      leaseLeft: Math.round(this.membership.leaseLeft(now)),
      live: this.#live.size,
      gos: this.#attempts.size,
      counts: { ...this.counts, ...this.relay.counts, ...this.lots.dispatcher.counts },
      runners: this.membership.runners(now),
    };
  }
}

function isQueue(this: { queue: string }, plan: { queue: string }): boolean {
  return plan.queue === this.queue;
}

function nothing(): AccessOutput[] {
  return [];
}

/** Named from the caller's key, so that it can be looked up even when nothing was heard. */
function lotName(queue: string, way: string, key: string): string {
  return `${queue}~${createHash("sha256").update(`${way}\u0000${key}`).digest("base64url").slice(0, 22)}`;
}

function queueOfLot(lot: string): string | undefined {
  const cut = lot.indexOf("~");
  return cut <= 0 ? undefined : lot.slice(0, cut);
}

function goneLot({
  lot,
  way,
  items,
  cancelled,
  endedBefore,
}: Extract<QueueResult, { kind: "GONE" }>): ErrorBody {
  return {
    trouble: "gone",
    reason:
      "this lot was accepted and ended; its results are no longer kept, and it does not run again",
    lot,
    way,
    of: items,
    state: cancelled ? "cancelled" : "done",
    endedBefore: Math.round(endedBefore / 1_000),
  };
}
