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
  type Selector,
  type Telling,
} from "@chutewick/parts";
import {
  configuration,
  keys,
  standingClasses,
  type ControlCommand,
  type ControlOutcome,
  type QueueStanding,
  type Way,
} from "@chutewick/control";
import type { AccessOutput, GoEvent, Work } from "./access-output.js";
import { Choice } from "./choice.js";
import type { PassEvent } from "./dialect.js";
import { errorReply, type ErrorBody } from "./error-reply.js";
import { PendingCalls, type QueueResultHandler } from "./pending-calls.js";
import { Membership, type Standing } from "./membership.js";
import { PassLots } from "./pass-lots.js";
import { RelayCore } from "./relay-core.js";
import type { DataMessage, QueueOutcome } from "./queue-messages.js";

interface Live {
  readonly kind: "live";
  readonly ticket: string;
  readonly way: Way;
  readonly work: Work;
  readonly tried: Set<string>;
  /** Runners tried though they looked full. */
  doubts: number;
  /** Seconds after which the soonest of those that refused for want of a seat is to be asked again. */
  retryAfter: number | undefined;
  begun: boolean;
  next: number;
}

interface Prompt {
  readonly kind: "prompt";
  readonly queue: string;
  readonly lot: string;
  readonly index: number;
  readonly claim: number;
  readonly prompt: unknown;
  readonly way: string;
  /** Which runners the season of its lot chose. */
  readonly runners: readonly Selector[];
  readonly until: number;
  readonly tried: Set<string>;
  readonly pieces: unknown[];
  lifeAt: number;
}

interface Go {
  readonly job: Live | Prompt;
  readonly runner: string;
  readonly incarnation: number;
  readonly startedAt: number;
}

interface Draw {
  resumeAt: number;
  popping: string | undefined;
  underWay: number;
}

interface PendingControlCall {
  readonly command: ControlCommand;
  readonly since: number;
  readonly told: (outcome: ControlOutcome) => AccessOutput[];
  sentAt: number;
}

interface Announced {
  readonly card: RunnerCard;
  readonly heardAt: number;
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
  #announced = new Map<string, Announced>();
  #live = new Map<string, number>();
  #gos = new Map<number, Go>();
  #goNumber = 0;
  #draws = new Map<string, Draw>();
  #pendingCalls: PendingCalls;
  #pendingControlCalls = new Map<string, PendingControlCall>();
  #lifeAt = 0;
  #now: number;
  #draining = false;
  /** Wall clock, for what is told of seasons alone (§10.5). */
  #wall = 0;
  /** When the last beat or announcement came, and when the last sleep ended (§7.5). */
  #struckAt: number;
  #wokeAt = Number.NEGATIVE_INFINITY;
  #turnedAway: { at: number; model: string }[] = [];
  readonly counts = {
    live: 0,
    done: 0,
    notRun: 0,
    mayHaveRun: 0,
    runnerFailed: 0,
    popped: 0,
    solved: 0,
    troubled: 0,
    givenBack: 0,
    broken: 0,
  };

  constructor(
    standing: Standing,
    seeds: readonly string[],
    now: number,
    chosen: Policy = policy.usual,
  ) {
    this.#standing = standing;
    this.#now = now;
    this.#struckAt = now;
    const self = this;
    function telling(): Telling {
      return self.#telling();
    }
    this.membership = new Membership(standing, seeds, now, telling, chosen);
    this.choice = new Choice(this.membership, standing);
    this.#pendingCalls = new PendingCalls(this.membership);
    this.relay = new RelayCore(this.membership, this.choice, chosen);
    this.lots = new PassLots(this.membership, this.choice, this.#pendingCalls, this.relay);
  }

  #telling(): Telling {
    const runners: RunnerCard[] = [];
    for (const { card, heardAt } of this.#announced.values())
      runners.push({ ...card, age: Math.max(0, this.#now - heardAt) });
    const lots = new Map<string, number>();
    for (const go of this.#gos.values())
      if (go.job.kind === "prompt") lots.set(go.runner, (lots.get(go.runner) ?? 0) + 1);
    const turnedAway = new Map<string, number>();
    this.#turnedAway = this.#turnedAway.filter(isLate, {
      since: this.#now - constants.pressureLasts,
    });
    for (const { model } of this.#turnedAway)
      turnedAway.set(model, (turnedAway.get(model) ?? 0) + 1);
    return {
      runners,
      lots: [...lots],
      turnedAway: [...turnedAway],
      burdens: this.choice.loads(),
    };
  }

  get busy(): number {
    return (
      this.#gos.size + this.#pendingCalls.size + this.relay.busy + this.lots.dispatcher.underWay
    );
  }

  /** A planned stop: no new work; what is under way goes on. */
  leave(now: number): AccessOutput[] {
    this.#draining = true;
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
      case "control-result": {
        const pendingCall = this.#pendingControlCalls.get(message.ticket);
        if (pendingCall === undefined) return [];
        if (message.outcome.kind === "not-run") {
          pendingCall.sentAt = now - constants.confirmPatience + constants.ownerRetry;
          return [];
        }
        this.#pendingControlCalls.delete(message.ticket);
        return pendingCall.told(message.outcome);
      }
      default:
        return [];
    }
  }

  // Live requests (§6)

  arrive(
    ticket: string,
    wayName: string,
    body: unknown,
    path: string | undefined,
    now: number,
  ): AccessOutput[] {
    this.#now = now;
    this.counts.live += 1;
    const marked = this.membership.configuration;
    if (!this.membership.holds(now) || this.#draining)
      return this.#notRun(
        ticket,
        "this access node is cut off from the control group or about to stop",
        constants.retryAfter,
      );
    const way = Object.hasOwn(marked.value.ways, wayName) ? marked.value.ways[wayName] : undefined;
    if (way === undefined)
      return [
        errorReply(ticket, 404, { trouble: "unknown-way", reason: `there is no way ${wayName}` }),
      ];
    if (way.kind === "lot")
      return [
        errorReply(ticket, 405, {
          trouble: "wrong-kind",
          reason: `${wayName} takes lots: hand them in at /lots/${wayName}`,
        }),
      ];
    if ((way.kind === "fetch") !== (path !== undefined))
      return [
        errorReply(ticket, 405, {
          trouble: "wrong-kind",
          reason:
            way.kind === "fetch"
              ? `${wayName} is fetched with GET`
              : `${wayName} takes inquiries by POST`,
        }),
      ];
    let work: Work;
    if (way.kind === "fetch") work = { kind: "fetch", request: ticket, path: path! };
    else {
      if (typeof body !== "object" || body === null || Array.isArray(body))
        return [
          errorReply(ticket, 400, {
            trouble: "bad-body",
            reason: "the body must be one JSON object",
          }),
        ];
      const prompt = (body as Record<string, unknown>)["prompt"];
      if (prompt === undefined)
        return [errorReply(ticket, 400, { trouble: "bad-body", reason: "prompt: is needed" })];
      work = {
        kind: way.kind,
        request: ticket,
        body: {
          inquiry: ticket,
          model: way.model,
          ...(way.adapter === undefined ? {} : { adapter: way.adapter }),
          prompt,
        },
      };
    }
    if (this.#live.size >= constants.liveMost)
      return this.#notRun(
        ticket,
        "this access node has as many inquiries under way as it takes",
        constants.retryAfter,
      );
    return this.#tryLive(
      {
        kind: "live",
        ticket,
        way,
        work,
        tried: new Set(),
        doubts: 0,
        retryAfter: undefined,
        begun: false,
        next: 0,
      },
      now,
    );
  }

  #notRun(ticket: string, reason: string, retryAfter: number): AccessOutput[] {
    this.counts.notRun += 1;
    return [errorReply(ticket, 503, { trouble: "not-run", reason, retryAfter })];
  }

  #tryLive(live: Live, now: number): AccessOutput[] {
    const kind = live.work.kind === "fetch" ? "plain" : "model";
    const runner =
      live.tried.size >= constants.runnersTried
        ? undefined
        : this.#choose(
            kind,
            live.way.model,
            live.way.adapter,
            live.way.runners,
            live.tried,
            1,
            now,
            live.doubts,
          );
    if (runner === undefined) {
      /** Only want of seats holds lots back: one that cannot reach its runners says nothing of their room (§8.5). */
      if (live.way.model !== undefined && (live.retryAfter !== undefined || live.doubts > 0))
        this.#turnedAway.push({ at: now, model: live.way.model });
      return this.#notRun(
        live.ticket,
        live.tried.size === 0
          ? "no runner for this way is known here now"
          : live.retryAfter === undefined
            ? "no runner tried could be reached"
            : "every runner tried is full",
        live.retryAfter ?? constants.retryAfter,
      );
    }
    live.tried.add(runner.id);
    if (this.#load(runner, now) >= runner.seats) live.doubts += 1;
    return this.#start(live, runner, live.work, constants.runnerSilence, now);
  }

  #start(
    job: Live | Prompt,
    runner: RunnerCard,
    work: Work,
    silence: number,
    now: number,
  ): AccessOutput[] {
    this.#goNumber += 1;
    this.#gos.set(this.#goNumber, {
      job,
      runner: runner.id,
      incarnation: runner.incarnation,
      startedAt: now,
    });
    if (job.kind === "live") this.#live.set(job.ticket, this.#goNumber);
    return [{ kind: "run", go: this.#goNumber, url: runner.url, work, silence }];
  }

  /** Asked at the last moment: no byte goes out on an old configuration, after a deregistration or on an old grant. */
  mayStart(go: number, now: number): string | undefined {
    const held = this.#gos.get(go);
    if (held === undefined) return "given up";
    if (!this.membership.holds(now)) return "no lease";
    if (!this.membership.isStanding(held.runner, held.incarnation, now))
      return "the runner said goodbye, or was not heard of lately";
    if (held.job.kind === "prompt" && now > held.job.until) return "the grant ran out";
    return undefined;
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

  /** Load as the runner told it, and what this node sent since (§8.3). */
  #load(runner: RunnerCard, now: number): number {
    let own = 0;
    let since = 0;
    for (const go of this.#gos.values()) {
      if (go.runner !== runner.id) continue;
      own += 1;
      if (go.startedAt > now - runner.age) since += 1;
    }
    return Math.max(own, runner.burden + since);
  }

  #choose(
    kind: RunnerCard["kind"],
    model: string | undefined,
    adapter: string | undefined,
    wanted: Readonly<Record<string, string>>,
    tried: ReadonlySet<string>,
    part: number,
    now: number,
    doubts = 0,
    selectors: readonly Selector[] = [],
  ): RunnerCard | undefined {
    let best: RunnerCard | undefined;
    let bestDraw = Number.NEGATIVE_INFINITY;
    for (const card of this.membership.runners(now)) {
      if (card.kind !== kind || tried.has(card.id)) continue;
      if (
        model !== undefined &&
        !card.models.includes(configuration.queueOf(model, adapter)) &&
        !card.models.includes(model)
      )
        continue;
      if (!carries(card.labels, wanted) || !season.matches(selectors, card.labels)) continue;
      const free = card.seats * part - this.#load(card, now);
      /** A live request may try some that look full, last of all: loads are up to a second old. */
      if (free <= 0 && (part < 1 || doubts >= constants.fullTried)) continue;
      /** Drawn by free seats, not the freest always: nodes that see the same loads would all go to the same runner. */
      const weight =
        free <= 0 ? 0.01 / (1 - free) : free * (card.zone === this.#standing.zone ? 1.2 : 1);
      const chance =
        (duty.spread(`${this.#standing.identity}/${this.#goNumber}/${card.id}`) + 1) /
        4_294_967_297;
      const draw = Math.log(chance) / weight;
      if (draw > bestDraw) {
        best = card;
        bestDraw = draw;
      }
    }
    return best;
  }

  left(ticket: string): AccessOutput[] {
    const go = this.#live.get(ticket);
    if (go === undefined) return [];
    this.#live.delete(ticket);
    this.#gos.delete(go);
    return [{ kind: "abandon", go }];
  }

  goEvent(number: number, event: GoEvent, now: number): AccessOutput[] {
    this.#now = now;
    const go = this.#gos.get(number);
    if (go === undefined) return [];
    return go.job.kind === "live"
      ? this.#liveEvent(number, go.job, event, now)
      : this.#promptEvent(number, go.job, event, now);
  }

  #endLive(number: number, live: Live): void {
    this.#gos.delete(number);
    this.#live.delete(live.ticket);
  }

  #liveEvent(number: number, live: Live, event: GoEvent, now: number): AccessOutput[] {
    const { ticket } = live;
    switch (event.kind) {
      case "unsent":
      case "refused":
        this.#endLive(number, live);
        if (event.kind === "refused")
          live.retryAfter = Math.min(live.retryAfter ?? Number.POSITIVE_INFINITY, event.retryAfter);
        return this.#tryLive(live, now);
      case "troubled":
      case "broken": {
        this.#endLive(number, live);
        if (event.kind === "troubled") this.counts.runnerFailed += 1;
        else this.counts.mayHaveRun += 1;
        const body: ErrorBody =
          event.kind === "troubled"
            ? { trouble: "runner-failed", reason: event.reason }
            : { trouble: "may-have-run", reason: event.reason };
        return live.begun
          ? [{ kind: "stream-trouble", ticket, body }]
          : [errorReply(ticket, 502, body)];
      }
      case "opened":
        live.begun = true;
        return [{ kind: "stream-open", ticket }];
      case "piece":
        if (event.number !== live.next)
          return this.#tornLive(
            number,
            live,
            `piece ${live.next} is missing: ${event.number} came`,
          );
        live.next += 1;
        return [{ kind: "stream-piece", ticket, number: event.number, data: event.data }];
      case "closed":
        if (event.pieces !== live.next)
          return this.#tornLive(
            number,
            live,
            `the runner closed with ${event.pieces} pieces, and ${live.next} came`,
          );
        this.#endLive(number, live);
        this.counts.done += 1;
        return [{ kind: "stream-close", ticket, pieces: event.pieces }];
      case "whole":
        this.#endLive(number, live);
        this.counts.done += 1;
        return [
          { kind: "reply", ticket, status: 200, body: { inquiry: ticket, result: event.value } },
        ];
      case "bytes":
        this.#endLive(number, live);
        this.counts.done += 1;
        return [
          {
            kind: "reply-bytes",
            ticket,
            status: event.status,
            type: event.type,
            bytes: event.bytes,
          },
        ];
    }
  }

  #tornLive(number: number, live: Live, reason: string): AccessOutput[] {
    this.#endLive(number, live);
    this.counts.mayHaveRun += 1;
    return [
      { kind: "abandon", go: number },
      { kind: "stream-trouble", ticket: live.ticket, body: { trouble: "may-have-run", reason } },
    ];
  }

  // Runners (§7)

  announce(ticket: string, card: Omit<RunnerCard, "age">, now: number): AccessOutput[] {
    if (this.membership.isClosed(card.id, card.incarnation)) {
      return [
        errorReply(ticket, 409, {
          trouble: "said-goodbye",
          reason: "this incarnation said goodbye; announce again under a higher one",
        }),
      ];
    }
    if ((this.#announced.get(card.id)?.card.incarnation ?? 0) > card.incarnation) {
      return [
        errorReply(ticket, 409, {
          trouble: "older-incarnation",
          reason: "a later life of this runner has announced already",
        }),
      ];
    }
    /** What is read just after a sleep may have been said long before it, and before a deregistration (§7.5). */
    this.#lookAwake(now);
    if (now - this.#wokeAt < constants.wakingLasts) return [announceElsewhere(ticket)];
    this.#announced.set(card.id, { card: { ...card, age: 0 }, heardAt: now });
    this.membership.heardRunner({ ...card, age: 0 }, now);
    /** One that is cut off can pass nothing on: the runner is to tell another as well. */
    if (!this.membership.holds(now) || this.#draining) return [announceElsewhere(ticket)];
    return [
      { kind: "reply", ticket, status: 200, body: { announceEvery: constants.announceEvery } },
    ];
  }

  #lookAwake(now: number): void {
    if (now - this.#struckAt > constants.sleptLeast) this.#wokeAt = now;
    this.#struckAt = now;
  }

  deregister(ticket: string, runner: string, incarnation: number, now: number): AccessOutput[] {
    this.membership.close(runner, incarnation);
    if ((this.#announced.get(runner)?.card.incarnation ?? Number.POSITIVE_INFINITY) <= incarnation)
      this.#announced.delete(runner);
    function told(ended: ControlOutcome): AccessOutput[] {
      if (ended.kind === "confirmed")
        return [{ kind: "reply", ticket, status: 200, body: { done: true, newWorkWithin: 0 } }];
      return [
        errorReply(ticket, 504, {
          trouble: "unknown",
          reason: "the goodbye is not confirmed everywhere; say it again before leaving",
        }),
      ];
    }
    return [
      ...this.membership.spread(),
      ...this.#control({ kind: "goodbye", runner, incarnation }, told, now),
    ];
  }

  #control(command: ControlCommand, told: PendingControlCall["told"], now: number): AccessOutput[] {
    const ticket = this.#pendingCalls.ticket();
    const pendingCall: PendingControlCall = { command, since: now, told, sentAt: now };
    this.#pendingControlCalls.set(ticket, pendingCall);
    return this.#sendControl(ticket, pendingCall, now);
  }

  #sendControl(ticket: string, pendingCall: PendingControlCall, now: number): AccessOutput[] {
    pendingCall.sentAt = now;
    const head = this.membership.head;
    return head === undefined
      ? []
      : [
          {
            kind: "send",
            to: head,
            message: { kind: "control-inquiry", ticket, command: pendingCall.command },
          },
        ];
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
    if (!this.membership.holds(now) || this.#draining)
      return this.#notRun(
        ticket,
        "this access node is cut off from the control group or about to stop",
        constants.retryAfter,
      );
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
    if (!this.membership.holds(now))
      return this.#notRun(
        ticket,
        "this access node is cut off from the control group",
        constants.retryAfter,
      );
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

  #resendPendingCalls(now: number): AccessOutput[] {
    const outputs = this.#pendingCalls.beat(now);
    for (const [ticket, pendingCall] of [...this.#pendingControlCalls]) {
      if (now - pendingCall.since >= constants.confirmPatience) {
        this.#pendingControlCalls.delete(ticket);
        outputs.push(...pendingCall.told({ kind: "unknown" }));
      } else if (now - pendingCall.sentAt >= constants.grantLasts)
        outputs.push(...this.membership.spread(), ...this.#sendControl(ticket, pendingCall, now));
    }
    return outputs;
  }

  // Dispatcher (§5): the source's loop, one per queue that this node draws from

  beat(now: number, wall: number): AccessOutput[] {
    this.#now = now;
    this.#wall = wall;
    this.#lookAwake(now);
    const outputs: AccessOutput[] = [
      ...this.membership.beat(now),
      ...this.#resendPendingCalls(now),
    ];
    for (const [id, { heardAt }] of this.#announced)
      if (now - heardAt > constants.runnerLasts) this.#announced.delete(id);
    if (now - this.#lifeAt >= constants.lifeEvery) {
      this.#lifeAt = now;
      outputs.push(...this.#signsOfLife(now));
    }
    if (!this.#draining && this.membership.holds(now)) outputs.push(...this.#drive(now));
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
        const prompt: Prompt = {
          kind: "prompt",
          queue,
          lot: value.lot,
          index: value.index,
          claim: value.go,
          prompt: value.prompt,
          way: value.way,
          runners: value.runners ?? [],
          until: askedAt + heldFor(constants.grantLasts),
          tried: new Set(),
          pieces: [],
          lifeAt: later,
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
    if (this.#choose("model", model, adapter, {}, new Set(), constants.lotPart, now) === undefined)
      return undefined;
    const unable: string[] = [];
    for (const { season: name, runners } of standingClasses(
      this.membership.follower.read<QueueStanding>(keys.standing + queue),
    )) {
      if (
        runners.length > 0 &&
        this.#choose("model", model, adapter, {}, new Set(), constants.lotPart, now, 0, runners) ===
          undefined
      )
        unable.push(name);
    }
    return unable;
  }

  #tryPrompt(
    prompt: Prompt,
    model: string,
    adapter: string | undefined,
    now: number,
  ): AccessOutput[] {
    const runner =
      now > prompt.until || prompt.tried.size >= constants.runnersTried
        ? undefined
        : this.#choose(
            "model",
            model,
            adapter,
            this.#wantedBy(prompt.way),
            prompt.tried,
            constants.lotPart,
            now,
            0,
            prompt.runners,
          );
    if (runner === undefined) {
      const draw = this.#draws.get(prompt.queue)!;
      draw.resumeAt = Math.max(draw.resumeAt, now + constants.emptyPause * 2);
      return this.#record(prompt, { kind: "unsent" }, now);
    }
    prompt.tried.add(runner.id);
    const request = `${prompt.lot}/${prompt.index}/${prompt.claim}`;
    return this.#start(
      prompt,
      runner,
      {
        kind: "stream",
        request,
        body: {
          inquiry: request,
          model,
          ...(adapter === undefined ? {} : { adapter }),
          prompt: prompt.prompt,
        },
      },
      constants.promptSilence,
      now,
    );
  }

  #promptEvent(number: number, prompt: Prompt, event: GoEvent, now: number): AccessOutput[] {
    switch (event.kind) {
      case "opened":
        return [];
      case "piece":
        if (event.number !== prompt.pieces.length)
          return this.#endPrompt(number, prompt, { kind: "broken" }, now, true);
        prompt.pieces.push(event.data);
        prompt.lifeAt = now;
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
        this.#gos.delete(number);
        const [model, adapter] = configuration.modelOf(prompt.queue);
        return this.#tryPrompt(prompt, model, adapter, now);
      }
      default:
        return this.#endPrompt(number, prompt, { kind: "broken" }, now, false);
    }
  }

  #endPrompt(
    number: number,
    prompt: Prompt,
    ending: Ending,
    now: number,
    abandon: boolean,
  ): AccessOutput[] {
    this.#gos.delete(number);
    return [
      ...(abandon ? [{ kind: "abandon", go: number } as const] : []),
      ...this.#record(prompt, ending, now),
    ];
  }

  #record(prompt: Prompt, ending: Ending, now: number): AccessOutput[] {
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
    for (const { job } of this.#gos.values()) {
      if (job.kind !== "prompt" || now - job.lifeAt > constants.promptSilence) continue;
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
      gos: this.#gos.size,
      counts: { ...this.counts, ...this.relay.counts, ...this.lots.dispatcher.counts },
      runners: this.membership.runners(now),
    };
  }
}

function isQueue(this: { queue: string }, plan: { queue: string }): boolean {
  return plan.queue === this.queue;
}

function isLate(this: { since: number }, entry: { at: number }): boolean {
  return entry.at >= this.since;
}

function nothing(): AccessOutput[] {
  return [];
}

function carries(
  labels: Readonly<Record<string, string>>,
  wanted: Readonly<Record<string, string>>,
): boolean {
  for (const [key, value] of Object.entries(wanted)) if (labels[key] !== value) return false;
  return true;
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

/** The answer to an announcement that this node cannot pass on, or has not taken in. */
function announceElsewhere(ticket: string): AccessOutput {
  return errorReply(ticket, 503, {
    trouble: "not-run",
    reason: "this access node is cut off, was asleep or is about to stop; announce at another",
    retryAfter: constants.retryAfter,
  });
}
