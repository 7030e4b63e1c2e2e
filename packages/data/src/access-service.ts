/** The access process: connects the core to callers, runners and other nodes (docs/design.md §10). */
import { randomUUID } from "node:crypto";
import type { ServerResponse } from "node:http";
import {
  callerLimits,
  constants,
  outcome,
  type CallerLimits,
  type Outcome,
} from "@chutewick/parts";
import {
  Ticker,
  readWireCounts,
  createWire,
  explain,
  Gateway,
  invariants,
  listen,
  metrics,
  monotonicNow,
  operatorRoutes,
  reply,
  replyWithError,
  settings as configured,
  waitUntil,
  type GatewayRequest,
  type Log,
  type Settings,
  type Wire,
} from "@chutewick/shell";
import type { ServiceSchema } from "moleculer";
import { z } from "zod";
import { AccessCore } from "./access-core.js";
import type { AccessOutput, RunnerEvent } from "./access-output.js";
import type { AccessApi, AccessAdapter, LotReplyHandler, PassageCaller } from "./access-desk.js";
import { PassageCallers } from "./caller-delivery.js";
import type { PassageEvent, PassageRequest, RunnerProtocol } from "./dialect.js";
import type { ErrorBody } from "./error-reply.js";
import { EventBudget } from "./event-budget.js";
import { RunnerConnections } from "./link.js";
import { MembershipLog } from "./membership-log.js";
import { nativeProtocol } from "./own-dialect.js";
import { PassageRunnerConnections } from "./pass-link.js";
import { PlannedStop, stopTimes } from "./planned-stop.js";
import type { LotCall, SubmittedLot, LotResultsQuery, PassageOutput } from "./pass.js";
import type { RelayCore } from "./relay-core.js";
import type { DataMessage } from "./queue-messages.js";
import { WarmUp, type WarmUpResult } from "./warm-up/warm-up.js";
import type { WarmUpSample } from "./warm-up/warm-up-sample.js";

/** Body of a runner's announcementSchema. */
const announcementSchema = z.strictObject({
  id: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/),
  incarnation: z.int().min(1),
  url: z.url({ protocol: /^http$/ }),
  kind: z.enum(["model", "plain"]),
  models: z.array(z.string().max(130)).max(1_000).default([]),
  labels: z.record(z.string().max(63), z.string().max(63)).default({}),
  seats: z.int().min(1).max(10_000),
  zone: z.string().min(1).max(63),
  burden: z.number().min(0).max(1_000_000),
});

/** Optional extensions of an access process. */
export interface AccessOptions {
  /** Protocol adapter for runners of passages; the native protocol by default. */
  readonly dialect?: RunnerProtocol;
  /** Protocol adapters for callers, beside the built-in HTTP interface. */
  readonly fronts?: readonly AccessAdapter[];
  /** Sample messages for a warm-up (docs/design.md §13.9); without them there is none. */
  readonly warmUp?: WarmUpSample;
}

/** Body of a runner's deregistration. */
const deregistrationSchema = z.strictObject({ incarnation: z.int().min(1) });

/** One access process. */
export class AccessProcess {
  #log: Log;
  #core: AccessCore;
  #wire: Wire;
  #gateway: Gateway;
  #connections: RunnerConnections;
  #beat = new Ticker({ isIdle: () => this.#isIdle });
  /** Open HTTP responses by ticket. */
  #responses = new Map<string, ServerResponse>();
  #passageCallers = new PassageCallers();
  #lotCallers = new Map<string, LotReplyHandler>();
  #adapters: readonly AccessAdapter[];
  #passageConnections: PassageRunnerConnections;
  #membershipLog: MembershipLog;
  #relay: RelayCore;
  #plannedStop: PlannedStop | undefined;
  #protocol: RunnerProtocol;
  /** Sample messages of a warm-up that has not begun yet. */
  #warmUpSample: WarmUpSample | undefined;
  #ticketPrefix = randomUUID().slice(0, 8);
  #ticketNumber = 0;

  private constructor(settings: Settings, log: Log, extras: AccessOptions) {
    this.#log = log;
    this.#adapters = extras.fronts ?? [];
    this.#protocol = extras.dialect ?? nativeProtocol;
    this.#warmUpSample = extras.warmUp;
    const self = this;
    function receive(message: unknown, from: string): void {
      self.#perform(self.#core.receive(message as DataMessage, from, monotonicNow()));
    }
    function mayStart(attempt: number): string | undefined {
      return self.#core.mayStart(attempt, monotonicNow());
    }
    function onRunnerEvent(attempt: number, event: RunnerEvent): void {
      self.#perform(self.#core.handleAttemptEvent(attempt, event, monotonicNow()));
    }
    const identity = `${settings.name}-${randomUUID()}`;
    const policy = configured.policyOf(settings);
    const eventBudget = new EventBudget(policy.memory);
    this.#core = new AccessCore(
      {
        identity,
        address: settings.wire,
        kind: "access",
        zone: settings.zone,
        http: settings.http,
        name: settings.name,
      },
      settings.seeds,
      monotonicNow(),
      policy,
    );
    this.#connections = new RunnerConnections(mayStart, onRunnerEvent, eventBudget);
    function mayStartOnPassage(attempt: number): string | undefined {
      return self.#core.mayStartOnPassage(attempt, monotonicNow());
    }
    function onPassageEvent(attempt: number, event: PassageEvent): void {
      self.#perform(self.#core.handlePassageEvent(attempt, event, monotonicNow()));
    }
    function connectionLimit(address: string): number {
      return self.#core.choice.connectionLimit(address);
    }
    this.#membershipLog = new MembershipLog(this.#core.membership);
    this.#relay = this.#core.relay;
    this.#passageConnections = new PassageRunnerConnections({
      dialect: this.#protocol,
      mayStart: mayStartOnPassage,
      told: onPassageEvent,
      share: connectionLimit,
      now: monotonicNow,
      eventBudget,
    });
    this.#core.choice.useConnections((address) =>
      this.#passageConnections.connectionCount(address),
    );
    this.#wire = createWire(settings, log, receive);
    this.#gateway = new Gateway({
      address: settings.http,
      log,
      owners: [this.#createHandlers()],
      routes: [
        ...operatorRoutes,
        { method: "POST", path: "/ways/:way", event: "inquiry.arrived" },
        { method: "GET", path: "/ways/:way/:path*", event: "inquiry.fetch" },
        { method: "POST", path: "/lots/:way", event: "lot.handed-in" },
        { method: "GET", path: "/lots/:lot", event: "lot.look-up" },
        { method: "DELETE", path: "/lots/:lot", event: "lot.cancel" },
        { method: "POST", path: "/runners", event: "runner.announced" },
        { method: "POST", path: "/runners/:runner/goodbye", event: "runner.goodbye" },
      ],
    });
  }

  /** Starts an access process, and resolves once it listens. */
  static async open(
    settings: Settings,
    log: Log,
    extras: AccessOptions = {},
  ): Promise<Outcome<AccessProcess>> {
    const access = new AccessProcess(settings, log, extras);
    const failure = await listen(access.#wire, access.#gateway);
    if (failure !== undefined) return outcome.failure(failure);
    function tick(now: number): void {
      access.#perform(access.#core.tick(now, Date.now()));
      access.#logMembership(now);
      access.#wire.tick(now);
      access.#passageConnections.tick(now);
      access.#beginWarmUp(now);
    }
    access.#beat.start(tick);
    for (const adapter of access.#adapters) await adapter.open(access.#createApi());
    log.info(
      { wire: settings.wire, http: settings.http, startedIn: Math.round(performance.now()) },
      "access node is up",
    );
    return outcome.success(access);
  }

  #logMembership(now: number): void {
    const changed = this.#membershipLog.reportIfChanged(now);
    if (changed !== undefined) this.#log.info(changed, "membership state changed");
  }

  #logRefusal({ status, reason }: Extract<PassageOutput, { kind: "pass-refused" }>): void {
    const membershipState = this.#membershipLog.reportIfRejected(status, monotonicNow());
    if (membershipState !== undefined)
      this.#log.info(
        { status, reason, ...membershipState },
        "refused a caller according to the configuration",
      );
  }

  /** Begins the warm-up once this node may serve, unless a caller has already arrived: callers take precedence. */
  #beginWarmUp(now: number): void {
    const sample = this.#warmUpSample;
    if (sample === undefined || !this.#core.membership.serves(now)) return;
    this.#warmUpSample = undefined;
    const isWanted = (): boolean => this.#ticketNumber === 0 && this.#plannedStop === undefined;
    const log = this.#log;
    function done(result: WarmUpResult): void {
      log.info(result, "warm-up finished");
    }
    function failed(error: Error): void {
      log.warn({ reason: error.message }, "warm-up failed");
    }
    if (isWanted()) new WarmUp(this.#protocol, sample).run(isWanted).then(done, failed);
  }

  /** Performs a planned stop: new work is routed elsewhere, and what is under way is answered within the time limit. */
  async close(): Promise<void> {
    const startedAt = monotonicNow();
    const { stopWithin } = this.#core.membership.policy;
    const stop = new PlannedStop(stopTimes(stopWithin, this.#adapters.length > 0), startedAt);
    this.#plannedStop = stop;
    this.#perform(this.#core.beginStop(startedAt));
    this.#gateway.beginStop();
    for (const adapter of this.#adapters) adapter.leave();
    const isClosed = (): boolean => this.#advanceStop(stop);
    await waitUntil(isClosed);
    const closing = [this.#gateway.close()];
    for (const adapter of this.#adapters) closing.push(adapter.close());
    await Promise.all(closing);
    this.#beat.stop();
    this.#passageConnections.close();
    this.#wire.close();
  }

  /** Advances a planned stop. @returns whether everything is answered, or the time is over */
  #advanceStop(stop: PlannedStop): boolean {
    const now = monotonicNow();
    const previousPhase = stop.phase;
    const phase = stop.advance(now, this.#underWay);
    if (phase === previousPhase) return phase === "closed";
    this.#log.info({ phase, underWay: this.#underWay }, "planned stop entered its next phase");
    this.#core.refuseNew();
    if (phase === "last-answers") this.#giveLastAnswers(now);
    return phase === "closed";
  }

  /** Whether no request, item or call of a caller is under way. */
  get #isIdle(): boolean {
    if (this.#plannedStop !== undefined || this.#core.runningCount > 0) return false;
    return this.#responses.size === 0 && this.#lotCallers.size === 0;
  }

  /** Number of requests, items, calls and responses that a planned stop waits for. */
  get #underWay(): number {
    let underWay = this.#core.pendingCount + this.#gateway.unfinishedResponses;
    for (const adapter of this.#adapters) underWay += adapter.underWay;
    return underWay;
  }

  /** Answers all remaining callers at the end of a planned stop. */
  #giveLastAnswers(now: number): void {
    this.#perform(this.#relay.giveLastAnswers(now));
    for (const [ticket, caller] of [...this.#lotCallers]) {
      this.#lotCallers.delete(ticket);
      caller({ kind: "later", retryAfter: constants.retryAfter });
    }
  }

  /** Creates the API for protocol adapters (docs/design.md §13.2). */
  #createApi(): AccessApi {
    const self = this;
    function nextTicket(): string {
      self.#ticketNumber += 1;
      return `${self.#ticketPrefix}-${self.#ticketNumber}`;
    }
    function takesLots(host: string, path: string): boolean {
      return self.#relay.passages.find(host, path)?.passage.kind === "lot";
    }
    function pass(request: PassageRequest, caller: PassageCaller): string {
      const ticket = nextTicket();
      self.#passageCallers.add(ticket, caller);
      self.#perform(self.#relay.arrive(ticket, request, monotonicNow()));
      return ticket;
    }
    function startCall(
      caller: LotReplyHandler,
      start: (ticket: string) => readonly AccessOutput[],
    ): string {
      const ticket = nextTicket();
      self.#lotCallers.set(ticket, caller);
      self.#perform(start(ticket));
      return ticket;
    }
    function handIn(lot: SubmittedLot, caller: LotReplyHandler): string {
      function start(ticket: string): readonly AccessOutput[] {
        return self.#core.lots.submit(ticket, lot, monotonicNow());
      }
      return startCall(caller, start);
    }
    function readLot(call: LotCall, query: LotResultsQuery, caller: LotReplyHandler): string {
      function start(ticket: string): readonly AccessOutput[] {
        return self.#core.lots.read(ticket, call, query, monotonicNow());
      }
      return startCall(caller, start);
    }
    function readItem(call: LotCall, item: string, caller: LotReplyHandler): string {
      function start(ticket: string): readonly AccessOutput[] {
        return self.#core.lots.item(ticket, call, item, monotonicNow());
      }
      return startCall(caller, start);
    }
    function endLot(call: LotCall, caller: LotReplyHandler): string {
      function start(ticket: string): readonly AccessOutput[] {
        return self.#core.lots.end(ticket, call, monotonicNow());
      }
      return startCall(caller, start);
    }
    function left(ticket: string): void {
      if (self.#lotCallers.delete(ticket)) return;
      if (self.#passageCallers.remove(ticket))
        self.#perform(self.#relay.callerLeft(ticket, monotonicNow()));
    }
    function slow(ticket: string): void {
      self.#perform(self.#relay.pause(ticket));
    }
    function ready(ticket: string): void {
      self.#perform(self.#relay.resume(ticket));
    }
    function isReady(): boolean {
      return self.#plannedStop === undefined && self.#core.membership.serves(monotonicNow());
    }
    function limitsOfCallers(): CallerLimits {
      return callerLimits.withDefaults(self.#core.membership.configuration.value.callers);
    }
    return {
      isReady,
      callerLimits: limitsOfCallers,
      takesLots,
      pass,
      submitLot: handIn,
      readLot,
      readItem,
      endLot,
      callerLeft: left,
      pause: slow,
      resume: ready,
    };
  }

  /** Creates the service that handles all HTTP requests of this process. */
  #createHandlers(): ServiceSchema {
    const self = this;
    function status(arrival: GatewayRequest): void {
      reply(arrival.reply, 200, {
        ...self.#core.status(monotonicNow()),
        counts: {
          ...self.#core.counts,
          ...self.#relay.counts,
          ...self.#core.usage.counts,
          ...self.#passageConnections.counts,
          ...readWireCounts(self.#wire),
        },
        violations: {
          ...invariants.counts(),
          "feed-behind-control": self.#core.membership.feedProgress.violations,
        },
      });
    }
    async function readMetrics(arrival: GatewayRequest): Promise<void> {
      const { gos, live, leaseLeft } = self.#core.status(monotonicNow());
      reply(
        arrival.reply,
        200,
        await metrics.read({
          ...self.#core.counts,
          choices: { ...self.#core.choice.counts },
          usage: self.#core.usage.counts,
          gos,
          live,
          leaseLeft,
          sent: self.#wire.sent,
          dropped: self.#wire.dropped,
        }),
      );
    }
    function startRequest(arrival: GatewayRequest): void {
      self.#perform(
        self.#core.arrive(
          self.#ticket(arrival),
          arrival.parameters["way"]!,
          arrival.body,
          undefined,
          monotonicNow(),
        ),
      );
    }
    function startFetch(arrival: GatewayRequest): void {
      const way = arrival.parameters["way"]!;
      const path = arrival.path.slice(`/ways/${way}`.length);
      self.#perform(
        self.#core.arrive(
          self.#ticket(arrival),
          way,
          undefined,
          path === "" ? "/" : path,
          monotonicNow(),
        ),
      );
    }
    function submitLot(arrival: GatewayRequest): void {
      const body = arrival.body as { key?: unknown; items?: unknown; labels?: unknown } | null;
      const unknownFields = Object.keys(body ?? {}).filter(isUnknownField);
      if (unknownFields.length > 0)
        return replyWithError(arrival.reply, 400, {
          trouble: "bad-body",
          reason: `${unknownFields[0]}: is not a field of a lot`,
        });
      self.#perform(
        self.#core.submitLot(
          self.#ticket(arrival),
          arrival.parameters["way"]!,
          body?.key,
          body?.items,
          body?.labels,
          monotonicNow(),
        ),
      );
    }
    function lookUp(arrival: GatewayRequest): void {
      self.#perform(
        self.#core.lookUp(self.#ticket(arrival), arrival.parameters["lot"]!, monotonicNow()),
      );
    }
    function cancel(arrival: GatewayRequest): void {
      self.#perform(
        self.#core.cancel(self.#ticket(arrival), arrival.parameters["lot"]!, monotonicNow()),
      );
    }
    function announceRunner(arrival: GatewayRequest): void {
      const checked = announcementSchema.safeParse(arrival.body);
      if (!checked.success)
        return replyWithError(arrival.reply, 400, {
          trouble: "bad-body",
          reason: explain(checked.error),
        });
      self.#perform(self.#core.announce(self.#ticket(arrival), checked.data, monotonicNow()));
    }
    function deregister(arrival: GatewayRequest): void {
      const checked = deregistrationSchema.safeParse(arrival.body);
      if (!checked.success)
        return replyWithError(arrival.reply, 400, {
          trouble: "bad-body",
          reason: explain(checked.error),
        });
      self.#perform(
        self.#core.deregister(
          self.#ticket(arrival),
          arrival.parameters["runner"]!,
          checked.data.incarnation,
          monotonicNow(),
        ),
      );
    }
    return {
      name: "access",
      events: {
        "operator.status": status,
        "operator.metrics": readMetrics,
        "inquiry.arrived": startRequest,
        "inquiry.fetch": startFetch,
        "lot.handed-in": submitLot,
        "lot.look-up": lookUp,
        "lot.cancel": cancel,
        "runner.announced": announceRunner,
        "runner.goodbye": deregister,
      },
    };
  }

  /** Issues a ticket for a request, by which its response is found. */
  #ticket(arrival: GatewayRequest): string {
    this.#ticketNumber += 1;
    const ticket = `${this.#ticketPrefix}-${this.#ticketNumber}`;
    const self = this;
    this.#responses.set(ticket, arrival.reply);
    // A caller that disconnects frees the runner's slot.
    function closed(): void {
      if (self.#responses.delete(ticket)) self.#perform(self.#core.callerLeft(ticket));
    }
    arrival.reply.once("close", closed);
    return ticket;
  }

  /** Executes the commands of the core. */
  #perform(outputs: readonly AccessOutput[]): void {
    for (const output of outputs) {
      switch (output.kind) {
        case "send":
          this.#wire.send(output.to, output.message);
          break;
        case "run":
          this.#connections.run(output.go, output.url, output.work, output.silence);
          break;
        case "abandon":
          this.#connections.abandon(output.go);
          break;
        case "note":
          metrics.noted(output.text);
          this.#log.info(output.facts, output.text);
          break;
        case "pass-run":
          this.#passageConnections.run(output.go, output.address, output.work);
          break;
        case "pass-abandon":
          this.#passageConnections.abandon(output.go);
          break;
        case "pass-pause":
          this.#passageConnections.pause(output.go);
          break;
        case "pass-resume":
          this.#passageConnections.resume(output.go);
          break;
        case "pass-head":
        case "pass-bytes":
        case "pass-end":
        case "pass-cut":
          this.#passageCallers.deliver(output);
          break;
        case "pass-refused":
          this.#logRefusal(output);
          this.#passageCallers.deliver(output);
          break;
        case "lot-told": {
          const lotCaller = this.#lotCallers.get(output.ticket);
          this.#lotCallers.delete(output.ticket);
          lotCaller?.(output.told);
          break;
        }
        default:
          this.#sendReply(output);
      }
    }
    this.#beat.wake();
  }

  /** Writes an output to the response of its caller. */
  #sendReply(
    output: Exclude<AccessOutput, PassageOutput | { kind: "send" | "run" | "abandon" | "note" }>,
  ): void {
    const response = this.#responses.get(output.ticket);
    if (response === undefined) return;
    switch (output.kind) {
      case "reply":
        this.#responses.delete(output.ticket);
        if (output.status >= 400) replyWithError(response, output.status, output.body as ErrorBody);
        else reply(response, output.status, output.body);
        break;
      case "reply-bytes":
        this.#responses.delete(output.ticket);
        metrics.resulted(response, output.status);
        response.writeHead(output.status, {
          "content-type": output.type,
          "content-length": String(output.bytes.length),
        });
        response.end(output.bytes);
        break;
      case "stream-open":
        metrics.resulted(response, 200);
        response.writeHead(200, {
          "content-type": "text/event-stream",
          "cache-control": "no-store",
          "chutewick-inquiry": output.ticket,
        });
        response.flushHeaders();
        break;
      case "stream-piece":
        response.write(`id: ${output.number}\ndata: ${JSON.stringify(output.data)}\n\n`);
        break;
      case "stream-close":
        this.#responses.delete(output.ticket);
        response.end(`event: close\ndata: ${JSON.stringify({ pieces: output.pieces })}\n\n`);
        break;
      case "stream-trouble":
        this.#responses.delete(output.ticket);
        response.end(`event: trouble\ndata: ${JSON.stringify(output.body)}\n\n`);
        break;
    }
  }
}

function isUnknownField(key: string): boolean {
  return key !== "key" && key !== "items" && key !== "labels";
}
