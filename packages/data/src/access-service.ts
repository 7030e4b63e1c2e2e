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
  Beat,
  countsOfWire,
  createWire,
  explain,
  Gateway,
  invariants,
  listen,
  metrics,
  monotonic,
  operatorOpenings,
  reply,
  replyTrouble,
  settings as configured,
  settled,
  type Arrival,
  type Log,
  type Settings,
  type Wire,
} from "@chutewick/shell";
import type { ServiceSchema } from "moleculer";
import { z } from "zod";
import { AccessCore } from "./access-core.js";
import type { AccessOutput, GoEvent } from "./access-output.js";
import type { AccessDesk, AccessFront, LotCaller, PassCaller } from "./access-desk.js";
import { PassCallers } from "./caller-delivery.js";
import type { PassEvent, PassRequest, RunnerDialect } from "./dialect.js";
import type { ErrorBody } from "./error-reply.js";
import { Links } from "./link.js";
import { MembershipLog } from "./membership-log.js";
import { ownDialect } from "./own-dialect.js";
import { PassConnections } from "./pass-link.js";
import { PlannedStop, stopTimes } from "./planned-stop.js";
import type { LotCall, LotHandedIn, LotReading, PassOutput } from "./pass.js";
import type { RelayCore } from "./relay-core.js";
import type { DataMessage } from "./queue-messages.js";
import { WarmUp, type WarmUpResult } from "./warm-up/warm-up.js";
import type { WarmUpSample } from "./warm-up/warm-up-sample.js";

/** The access process: callers, runners and links round the core (docs/design.md §10). */
const announcement = z.strictObject({
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

export interface AccessExtras {
  /** How runners are spoken to on passages; ours where none is given. */
  readonly dialect?: RunnerDialect;
  readonly fronts?: readonly AccessFront[];
  /** Sample messages for a warm-up (§13.9); none is made where they are left out. */
  readonly warmUp?: WarmUpSample;
}

const farewell = z.strictObject({ incarnation: z.int().min(1) });

export class AccessProcess {
  #log: Log;
  #core: AccessCore;
  #wire: Wire;
  #gateway: Gateway;
  #links: Links;
  #beat = new Beat({ isIdle: () => this.#isIdle });
  #waiting = new Map<string, ServerResponse>();
  #passing = new PassCallers();
  #lotCallers = new Map<string, LotCaller>();
  #fronts: readonly AccessFront[];
  #passLinks: PassConnections;
  #membershipLog: MembershipLog;
  #relay: RelayCore;
  #stop: PlannedStop | undefined;
  #dialect: RunnerDialect;
  /** Until it begins. */
  #warmUpSample: WarmUpSample | undefined;
  #ticketPrefix = randomUUID().slice(0, 8);
  #ticketNumber = 0;

  private constructor(settings: Settings, log: Log, extras: AccessExtras) {
    this.#log = log;
    this.#fronts = extras.fronts ?? [];
    this.#dialect = extras.dialect ?? ownDialect;
    this.#warmUpSample = extras.warmUp;
    const self = this;
    function receive(message: unknown, from: string): void {
      self.#perform(self.#core.receive(message as DataMessage, from, monotonic()));
    }
    function mayStart(go: number): string | undefined {
      return self.#core.mayStart(go, monotonic());
    }
    function told(go: number, event: GoEvent): void {
      self.#perform(self.#core.goEvent(go, event, monotonic()));
    }
    const identity = `${settings.name}-${randomUUID()}`;
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
      monotonic(),
      configured.policyOf(settings),
    );
    this.#links = new Links(mayStart, told);
    function mayPass(go: number): string | undefined {
      return self.#core.mayPass(go, monotonic());
    }
    function passed(go: number, event: PassEvent): void {
      self.#perform(self.#core.passEvent(go, event, monotonic()));
    }
    function share(address: string): number {
      return self.#core.choice.share(address);
    }
    this.#membershipLog = new MembershipLog(this.#core.membership);
    this.#relay = this.#core.relay;
    this.#passLinks = new PassConnections({
      dialect: this.#dialect,
      mayStart: mayPass,
      told: passed,
      share,
      now: monotonic,
    });
    this.#core.choice.useConnections((address) => this.#passLinks.openTo(address));
    this.#wire = createWire(settings, log, receive);
    this.#gateway = new Gateway({
      address: settings.http,
      log,
      owners: [this.#owner()],
      openings: [
        ...operatorOpenings,
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

  static async open(
    settings: Settings,
    log: Log,
    extras: AccessExtras = {},
  ): Promise<Outcome<AccessProcess>> {
    const access = new AccessProcess(settings, log, extras);
    const trouble = await listen(access.#wire, access.#gateway);
    if (trouble !== undefined) return outcome.bad(trouble);
    function strike(now: number): void {
      access.#perform(access.#core.beat(now, Date.now()));
      access.#logStanding(now);
      access.#wire.beat(now);
      access.#passLinks.beat(now);
      access.#beginWarmUp(now);
    }
    access.#beat.start(strike);
    for (const front of access.#fronts) await front.open(access.#desk());
    log.info(
      { wire: settings.wire, http: settings.http, startedIn: Math.round(performance.now()) },
      "access node is up",
    );
    return outcome.good(access);
  }

  #logStanding(now: number): void {
    const changed = this.#membershipLog.changed(now);
    if (changed !== undefined) this.#log.info(changed, "standing with control changed");
  }

  #logRefusal({ status, reason }: Extract<PassOutput, { kind: "pass-refused" }>): void {
    const standing = this.#membershipLog.refused(status, monotonic());
    if (standing !== undefined)
      this.#log.info({ status, reason, ...standing }, "a caller was refused by the configuration");
  }

  /** Once this node serves and as long as no caller has come: whoever is served is served first. */
  #beginWarmUp(now: number): void {
    const sample = this.#warmUpSample;
    if (sample === undefined || !this.#core.membership.serves(now)) return;
    this.#warmUpSample = undefined;
    const isWanted = (): boolean => this.#ticketNumber === 0 && this.#stop === undefined;
    const log = this.#log;
    function done(result: WarmUpResult): void {
      log.info(result, "the warm-up is over");
    }
    function failed(error: Error): void {
      log.warn({ reason: error.message }, "the warm-up failed");
    }
    if (isWanted()) new WarmUp(this.#dialect, sample).run(isWanted).then(done, failed);
  }

  /** Planned stop: new work goes elsewhere, and what is under way is answered within its bound. */
  async close(): Promise<void> {
    const begun = monotonic();
    const { stopWithin } = this.#core.membership.policy;
    const stop = new PlannedStop(stopTimes(stopWithin, this.#fronts.length > 0), begun);
    this.#stop = stop;
    this.#perform(this.#core.leave(begun));
    this.#gateway.leave();
    for (const front of this.#fronts) front.leave();
    const isClosed = (): boolean => this.#goOnStopping(stop);
    await settled(isClosed);
    const closing = [this.#gateway.close()];
    for (const front of this.#fronts) closing.push(front.close());
    await Promise.all(closing);
    this.#beat.stop();
    this.#passLinks.close();
    this.#wire.close();
  }

  /** @returns whether all is answered, or no time is left */
  #goOnStopping(stop: PlannedStop): boolean {
    const now = monotonic();
    const before = stop.phase;
    const phase = stop.advance(now, this.#underWay);
    if (phase === before) return phase === "closed";
    this.#log.info({ phase, underWay: this.#underWay }, "the planned stop goes on");
    this.#core.refuseNew();
    if (phase === "last-answers") this.#giveLastAnswers(now);
    return phase === "closed";
  }

  /** Whether nothing is under way for callers, for items or at runners. */
  get #isIdle(): boolean {
    if (this.#stop !== undefined || this.#core.running > 0) return false;
    return this.#waiting.size === 0 && this.#lotCallers.size === 0;
  }

  get #underWay(): number {
    let underWay = this.#core.busy + this.#gateway.underWay;
    for (const front of this.#fronts) underWay += front.underWay;
    return underWay;
  }

  #giveLastAnswers(now: number): void {
    this.#perform(this.#relay.giveLastAnswers(now));
    for (const [ticket, caller] of [...this.#lotCallers]) {
      this.#lotCallers.delete(ticket);
      caller({ kind: "later", retryAfter: constants.retryAfter });
    }
  }

  /** What an interface beside our own may ask (§13.2). */
  #desk(): AccessDesk {
    const self = this;
    function next(): string {
      self.#ticketNumber += 1;
      return `${self.#ticketPrefix}-${self.#ticketNumber}`;
    }
    function takesLots(host: string, path: string): boolean {
      return self.#relay.passages.find(host, path)?.passage.kind === "lot";
    }
    function pass(request: PassRequest, caller: PassCaller): string {
      const ticket = next();
      self.#passing.add(ticket, caller);
      self.#perform(self.#relay.arrive(ticket, request, monotonic()));
      return ticket;
    }
    function asked(caller: LotCaller, ask: (ticket: string) => readonly AccessOutput[]): string {
      const ticket = next();
      self.#lotCallers.set(ticket, caller);
      self.#perform(ask(ticket));
      return ticket;
    }
    function handIn(lot: LotHandedIn, caller: LotCaller): string {
      function ask(ticket: string): readonly AccessOutput[] {
        return self.#core.lots.handIn(ticket, lot, monotonic());
      }
      return asked(caller, ask);
    }
    function readLot(call: LotCall, reading: LotReading, caller: LotCaller): string {
      function ask(ticket: string): readonly AccessOutput[] {
        return self.#core.lots.read(ticket, call, reading, monotonic());
      }
      return asked(caller, ask);
    }
    function readItem(call: LotCall, item: string, caller: LotCaller): string {
      function ask(ticket: string): readonly AccessOutput[] {
        return self.#core.lots.item(ticket, call, item, monotonic());
      }
      return asked(caller, ask);
    }
    function endLot(call: LotCall, caller: LotCaller): string {
      function ask(ticket: string): readonly AccessOutput[] {
        return self.#core.lots.end(ticket, call, monotonic());
      }
      return asked(caller, ask);
    }
    function left(ticket: string): void {
      if (self.#lotCallers.delete(ticket)) return;
      if (self.#passing.remove(ticket)) self.#perform(self.#relay.left(ticket, monotonic()));
    }
    function slow(ticket: string): void {
      self.#perform(self.#relay.slow(ticket));
    }
    function ready(ticket: string): void {
      self.#perform(self.#relay.ready(ticket));
    }
    function isReady(): boolean {
      return self.#stop === undefined && self.#core.membership.serves(monotonic());
    }
    function limitsOfCallers(): CallerLimits {
      return callerLimits.withUsual(self.#core.membership.configuration.value.callers);
    }
    return {
      isReady,
      callerLimits: limitsOfCallers,
      takesLots,
      pass,
      handIn,
      readLot,
      readItem,
      endLot,
      left,
      slow,
      ready,
    };
  }

  /** Owner of all arrivals of this process: events in, commands out. */
  #owner(): ServiceSchema {
    const self = this;
    function status(arrival: Arrival): void {
      reply(arrival.reply, 200, {
        ...self.#core.status(monotonic()),
        counts: {
          ...self.#core.counts,
          ...self.#relay.counts,
          ...self.#core.usage.counts,
          ...self.#passLinks.counts,
          ...countsOfWire(self.#wire),
        },
        violations: {
          ...invariants.counts(),
          "feed-behind-control": self.#core.membership.feedProgress.violations,
        },
      });
    }
    async function measured(arrival: Arrival): Promise<void> {
      const { gos, live, leaseLeft } = self.#core.status(monotonic());
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
    function request(arrival: Arrival): void {
      self.#perform(
        self.#core.arrive(
          self.#ticket(arrival),
          arrival.parameters["way"]!,
          arrival.body,
          undefined,
          monotonic(),
        ),
      );
    }
    function fetched(arrival: Arrival): void {
      const way = arrival.parameters["way"]!;
      const path = arrival.path.slice(`/ways/${way}`.length);
      self.#perform(
        self.#core.arrive(
          self.#ticket(arrival),
          way,
          undefined,
          path === "" ? "/" : path,
          monotonic(),
        ),
      );
    }
    function handedIn(arrival: Arrival): void {
      const body = arrival.body as { key?: unknown; items?: unknown; labels?: unknown } | null;
      const unknown = Object.keys(body ?? {}).filter(isNoField);
      if (unknown.length > 0)
        return replyTrouble(arrival.reply, 400, {
          trouble: "bad-body",
          reason: `${unknown[0]}: is not a field of a lot`,
        });
      self.#perform(
        self.#core.handIn(
          self.#ticket(arrival),
          arrival.parameters["way"]!,
          body?.key,
          body?.items,
          body?.labels,
          monotonic(),
        ),
      );
    }
    function lookUp(arrival: Arrival): void {
      self.#perform(
        self.#core.lookUp(self.#ticket(arrival), arrival.parameters["lot"]!, monotonic()),
      );
    }
    function cancel(arrival: Arrival): void {
      self.#perform(
        self.#core.cancel(self.#ticket(arrival), arrival.parameters["lot"]!, monotonic()),
      );
    }
    function announced(arrival: Arrival): void {
      const checked = announcement.safeParse(arrival.body);
      if (!checked.success)
        return replyTrouble(arrival.reply, 400, {
          trouble: "bad-body",
          reason: explain(checked.error),
        });
      self.#perform(self.#core.announce(self.#ticket(arrival), checked.data, monotonic()));
    }
    function deregister(arrival: Arrival): void {
      const checked = farewell.safeParse(arrival.body);
      if (!checked.success)
        return replyTrouble(arrival.reply, 400, {
          trouble: "bad-body",
          reason: explain(checked.error),
        });
      self.#perform(
        self.#core.deregister(
          self.#ticket(arrival),
          arrival.parameters["runner"]!,
          checked.data.incarnation,
          monotonic(),
        ),
      );
    }
    return {
      name: "access",
      events: {
        "operator.status": status,
        "operator.metrics": measured,
        "inquiry.arrived": request,
        "inquiry.fetch": fetched,
        "lot.handed-in": handedIn,
        "lot.look-up": lookUp,
        "lot.cancel": cancel,
        "runner.announced": announced,
        "runner.goodbye": deregister,
      },
    };
  }

  #ticket(arrival: Arrival): string {
    this.#ticketNumber += 1;
    const ticket = `${this.#ticketPrefix}-${this.#ticketNumber}`;
    const self = this;
    this.#waiting.set(ticket, arrival.reply);
    /** A caller who leaves frees the runner's seat. */
    function closed(): void {
      if (self.#waiting.delete(ticket)) self.#perform(self.#core.left(ticket));
    }
    arrival.reply.once("close", closed);
    return ticket;
  }

  #perform(outputs: readonly AccessOutput[]): void {
    for (const output of outputs) {
      switch (output.kind) {
        case "send":
          this.#wire.send(output.to, output.message);
          break;
        case "run":
          this.#links.run(output.go, output.url, output.work, output.silence);
          break;
        case "abandon":
          this.#links.abandon(output.go);
          break;
        case "note":
          metrics.noted(output.text);
          this.#log.info(output.facts, output.text);
          break;
        case "pass-run":
          this.#passLinks.run(output.go, output.address, output.work);
          break;
        case "pass-abandon":
          this.#passLinks.abandon(output.go);
          break;
        case "pass-pause":
          this.#passLinks.pause(output.go);
          break;
        case "pass-resume":
          this.#passLinks.resume(output.go);
          break;
        case "pass-head":
        case "pass-bytes":
        case "pass-end":
        case "pass-cut":
          this.#passing.deliver(output);
          break;
        case "pass-refused":
          this.#logRefusal(output);
          this.#passing.deliver(output);
          break;
        case "lot-told": {
          const told = this.#lotCallers.get(output.ticket);
          this.#lotCallers.delete(output.ticket);
          told?.(output.told);
          break;
        }
        default:
          this.#toCaller(output);
      }
    }
    this.#beat.hasten();
  }

  #toCaller(
    output: Exclude<AccessOutput, PassOutput | { kind: "send" | "run" | "abandon" | "note" }>,
  ): void {
    const to = this.#waiting.get(output.ticket);
    if (to === undefined) return;
    switch (output.kind) {
      case "reply":
        this.#waiting.delete(output.ticket);
        if (output.status >= 400) replyTrouble(to, output.status, output.body as ErrorBody);
        else reply(to, output.status, output.body);
        break;
      case "reply-bytes":
        this.#waiting.delete(output.ticket);
        metrics.resulted(to, output.status);
        to.writeHead(output.status, {
          "content-type": output.type,
          "content-length": String(output.bytes.length),
        });
        to.end(output.bytes);
        break;
      case "stream-open":
        metrics.resulted(to, 200);
        to.writeHead(200, {
          "content-type": "text/event-stream",
          "cache-control": "no-store",
          "chutewick-inquiry": output.ticket,
        });
        to.flushHeaders();
        break;
      case "stream-piece":
        to.write(`id: ${output.number}\ndata: ${JSON.stringify(output.data)}\n\n`);
        break;
      case "stream-close":
        this.#waiting.delete(output.ticket);
        to.end(`event: close\ndata: ${JSON.stringify({ pieces: output.pieces })}\n\n`);
        break;
      case "stream-trouble":
        this.#waiting.delete(output.ticket);
        to.end(`event: trouble\ndata: ${JSON.stringify(output.body)}\n\n`);
        break;
    }
  }
}

function isNoField(key: string): boolean {
  return key !== "key" && key !== "items" && key !== "labels";
}
