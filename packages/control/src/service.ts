/** The process of a control machine: it connects the core to sockets, disk and timers (docs/design.md §10). */
import { createHash, randomUUID } from "node:crypto";
import {
  Ticker,
  readWireCounts,
  createWire,
  Gateway,
  invariants,
  listen,
  metrics,
  monotonicNow,
  openDataFolder,
  operatorRoutes,
  reply,
  replyWithError,
  settings as configured,
  waitUntil,
  type GatewayRequest,
  type Disk,
  type Log,
  type Settings,
  type Wire,
} from "@chutewick/shell";
import {
  constants,
  outcome,
  type DiskCondition,
  type DutyBounds,
  type Outcome,
  type RunnerDescriptor,
} from "@chutewick/parts";
import type { ServiceSchema } from "moleculer";
import type { ControlApi, ControlAdapter } from "./control-desk.js";
import type {
  ReportAnswer,
  ControlMessage,
  ControlOutcome,
  ControlOutput,
} from "./control-messages.js";
import { ControlCore, noQuorumReason } from "./core.js";
import { DutyService, type DutyPlatform } from "./duties/duty-service.js";
import type { ExplainOutcome } from "./explain.js";
import type { ControlCommand } from "./machine.js";
import { operatorReplies } from "./operator-replies.js";

/** Optional parts of a control process. */
export interface ControlOptions {
  /** Further interfaces for operators and runners. */
  readonly fronts?: readonly ControlAdapter[];
  /** The platform that duties are performed at; without it none are. */
  readonly dutyPlatform?: DutyPlatform;
}

/** A control process: performs the outputs of the core and feeds it messages, commands and clock ticks. */
export class ControlProcess {
  #log: Log;
  #core: ControlCore;
  #disk: Disk;
  #wire: Wire;
  #gateway: Gateway;
  #ticker = new Ticker();
  /** Callbacks of commands without an outcome so far, by ticket. */
  #pendingCommands = new Map<string, (outcome: ControlOutcome) => void>();
  #adapters: readonly ControlAdapter[];
  #duties: DutyService | undefined;
  #ticketNumber = 0;

  private constructor(settings: Settings, log: Log, disk: Disk, extras: ControlOptions) {
    this.#log = log;
    this.#adapters = extras.fronts ?? [];
    this.#disk = disk;
    const self = this;
    function receive(message: unknown, from: string): void {
      self.#perform(self.#core.receive(message as ControlMessage, from, monotonicNow()));
    }
    const member = { identity: disk.identity, address: settings.wire };
    this.#core = new ControlCore(
      {
        member,
        zone: settings.zone,
        seeds: settings.seeds,
        life: randomUUID(),
        votes: disk.votes(),
        holding: disk.holding("control"),
        policy: configured.policyOf(settings),
        founding: settings.founding && !disk.isReplacement,
      },
      monotonicNow(),
    );
    disk.releasePersistedState();
    this.#wire = createWire(settings, log, receive);
    this.#gateway = new Gateway({
      address: settings.http,
      log,
      owners: [this.#handlers()],
      routes: [
        ...operatorRoutes,
        { method: "GET", path: "/seasons/explain", event: "operator.explain" },
        { method: "POST", path: "/seasons/preview", event: "operator.preview" },
        { method: "GET", path: "/configuration", event: "operator.configuration.get" },
        { method: "PUT", path: "/configuration", event: "operator.configuration.put" },
        { method: "PATCH", path: "/configuration", event: "operator.configuration.patch" },
        { method: "POST", path: "/machines/:identity/emptying", event: "operator.empty" },
        { method: "DELETE", path: "/machines/:identity/emptying", event: "operator.keep" },
      ],
    });
  }

  /** Opens the data folder and the sockets, and starts the process. */
  static async open(
    settings: Settings,
    log: Log,
    extras: ControlOptions = {},
  ): Promise<Outcome<ControlProcess>> {
    const running: { process?: ControlProcess } = {};
    function conditionChanged(condition: DiskCondition): void {
      running.process?.changeDisk(condition);
    }
    const disk = await openDataFolder({ kind: "control", settings, log, conditionChanged });
    if (!disk.ok) return disk;
    const dataFolder = disk.value;
    const opened = new ControlProcess(settings, log, dataFolder, extras);
    running.process = opened;
    if (settings.duties !== undefined && extras.dutyPlatform !== undefined)
      opened.#duties = opened.#dutyService(settings.name, settings.duties, extras.dutyPlatform);
    const listenError = await listen(opened.#wire, opened.#gateway);
    if (listenError !== undefined) return outcome.failure(listenError);
    function tick(now: number): void {
      dataFolder.tick(now);
      opened.#perform(opened.#core.tick(now, Date.now()));
      opened.#wire.tick(now);
      opened.#duties?.tick(now, opened.#core.dutyContext(now));
    }
    opened.#perform(opened.#core.start(monotonicNow()));
    opened.#ticker.start(tick);
    for (const adapter of opened.#adapters) await adapter.open(opened.#api());
    log.info(
      { identity: disk.value.identity, wire: settings.wire, http: settings.http },
      "control machine is running",
    );
    return outcome.success(opened);
  }

  changeDisk(condition: DiskCondition): void {
    this.#perform(this.#core.diskChanged(condition, monotonicNow()));
  }

  /**
   * Planned stop: first waits until the other control machines have removed this one from the view, so that none of them has to
   * wait for its timeout (docs/design.md §8.6).
   */
  async close(): Promise<void> {
    this.#perform(this.#core.leave(monotonicNow()));
    const self = this;
    const deadline = monotonicNow() + constants.handOverTimeoutMs;
    function isReleased(): boolean {
      return !self.#core.isNeeded || monotonicNow() > deadline;
    }
    await waitUntil(isReleased);
    const closing = [this.#gateway.close(constants.orderReplyTimeoutMs)];
    for (const adapter of this.#adapters) closing.push(adapter.close());
    this.#duties?.close();
    await Promise.all(closing);
    this.#ticker.stop();
    this.#wire.close();
    await this.#disk.close();
  }

  #dutyService(name: string, bounds: DutyBounds, platform: DutyPlatform): DutyService {
    const self = this;
    function inquire(command: ControlCommand, complete: (outcome: ControlOutcome) => void): void {
      self.#submit(command, complete);
    }
    return new DutyService({
      name,
      bounds,
      platform,
      log: this.#log,
      counts: this.#core.usage,
      time: this.#core.agreedTime,
      scalingFacts: (now) => this.#core.scalingFacts(now),
      inquire,
    });
  }

  /** The API for adapters (docs/design.md §13.2). */
  #api(): ControlApi {
    const self = this;
    function announce(card: Omit<RunnerDescriptor, "age">, sequence: number): ReportAnswer["kind"] {
      const { told: acknowledgement, outputs } = self.#core.announce(
        card,
        sequence,
        monotonicNow(),
      );
      self.#perform(outputs);
      return acknowledgement.kind;
    }
    function inquire(command: ControlCommand, complete: (outcome: ControlOutcome) => void): void {
      self.#submit(command, complete);
    }
    function isReady(): boolean {
      return self.#core.view !== undefined;
    }
    return { isReady, announce, inquire };
  }

  /** Handlers of the HTTP requests to this process. */
  #handlers(): ServiceSchema {
    const self = this;
    function status(arrival: GatewayRequest): void {
      reply(arrival.reply, 200, {
        ...self.#core.status(monotonicNow()),
        duties: self.#duties?.status(monotonicNow(), self.#core.dutyRecords),
        counts: {
          syncs: self.#disk.syncs,
          ...readWireCounts(self.#wire),
        },
        violations: invariants.counts(),
      });
    }
    function get(arrival: GatewayRequest): void {
      self.#inquire(arrival, { kind: "read" });
    }
    function put(arrival: GatewayRequest): void {
      const expected = expectedVersion(arrival);
      if (!expected.ok)
        return replyWithError(arrival.reply, 400, { trouble: "bad-mark", reason: expected.reason });
      const key = idempotencyKey(arrival, "put");
      if (!key.ok)
        return replyWithError(arrival.reply, 400, { trouble: "bad-key", reason: key.reason });
      self.#inquire(arrival, {
        kind: "put",
        expected: expected.value,
        value: arrival.body,
        word: key.value,
      });
    }
    function patch(arrival: GatewayRequest): void {
      const expected = expectedVersion(arrival);
      if (!expected.ok)
        return replyWithError(arrival.reply, 400, { trouble: "bad-mark", reason: expected.reason });
      if (typeof arrival.body !== "object" || arrival.body === null || Array.isArray(arrival.body))
        return replyWithError(arrival.reply, 422, {
          trouble: "refused",
          reason: "(whole): a small change must be one JSON object",
        });
      const key = idempotencyKey(arrival, "patch");
      if (!key.ok)
        return replyWithError(arrival.reply, 400, { trouble: "bad-key", reason: key.reason });
      self.#inquire(arrival, {
        kind: "patch",
        expected: expected.value,
        change: arrival.body,
        word: key.value,
      });
    }
    function empty(arrival: GatewayRequest): void {
      self.#inquire(arrival, {
        kind: "empty",
        identity: arrival.parameters["identity"]!,
        wanted: true,
      });
    }
    function keep(arrival: GatewayRequest): void {
      self.#inquire(arrival, {
        kind: "empty",
        identity: arrival.parameters["identity"]!,
        wanted: false,
      });
    }
    async function sendMetrics(arrival: GatewayRequest): Promise<void> {
      const { place, configuration: mark, head, view } = self.#core.status(monotonicNow());
      reply(
        arrival.reply,
        200,
        await metrics.read({
          place,
          configuration: mark,
          head,
          view,
          usageMerged: self.#core.usage.merged,
          sent: self.#wire.sent,
          dropped: self.#wire.dropped,
        }),
      );
    }
    function sendExplanation(arrival: GatewayRequest, explanation: ExplainOutcome): void {
      if (explanation.kind === "REFUSED")
        replyWithError(arrival.reply, 422, { trouble: "refused", reason: explanation.reason });
      else reply(arrival.reply, 200, explanation.value);
    }
    // Rejects a request without quorum contact, since the state of this machine may be out of date.
    function isRejectedWithoutQuorum(arrival: GatewayRequest): boolean {
      if (self.#core.hasQuorum(monotonicNow())) return false;
      operatorReplies.sendOutcome(arrival.reply, { kind: "not-run", reason: noQuorumReason });
      return true;
    }
    function explain(arrival: GatewayRequest): void {
      if (isRejectedWithoutQuorum(arrival)) return;
      const { way, model, adapter, labels = "" } = arrival.query;
      const lotLabels: Record<string, string> = {};
      for (const text of labels.split(",")) {
        const cut = text.indexOf("=");
        if (cut > 0) lotLabels[text.slice(0, cut)] = text.slice(cut + 1);
        else if (text !== "")
          return replyWithError(arrival.reply, 422, {
            trouble: "refused",
            reason: `labels: ${text} must be key=value`,
          });
      }
      sendExplanation(
        arrival,
        self.#core.explain({ way, model, adapter, labels: lotLabels }, monotonicNow()),
      );
    }
    function preview(arrival: GatewayRequest): void {
      if (isRejectedWithoutQuorum(arrival)) return;
      sendExplanation(arrival, self.#core.preview(arrival.body, monotonicNow()));
    }
    return {
      name: "control",
      events: {
        "operator.status": status,
        "operator.metrics": sendMetrics,
        "operator.explain": explain,
        "operator.preview": preview,
        "operator.configuration.get": get,
        "operator.configuration.put": put,
        "operator.configuration.patch": patch,
        "operator.empty": empty,
        "operator.keep": keep,
      },
    };
  }

  #inquire(arrival: GatewayRequest, command: ControlCommand): void {
    function complete(outcome: ControlOutcome): void {
      operatorReplies.sendOutcome(arrival.reply, outcome);
    }
    this.#submit(command, complete);
  }

  /** Runs a command at the head of the control chain. */
  #submit(command: ControlCommand, complete: (outcome: ControlOutcome) => void): void {
    this.#ticketNumber += 1;
    const ticket = `http/${this.#ticketNumber}`;
    this.#pendingCommands.set(ticket, complete);
    this.#perform(this.#core.inquire(ticket, command, monotonicNow()));
  }

  /** Performs the outputs of the core. */
  #perform(outputs: readonly ControlOutput[]): void {
    const self = this;
    for (const output of outputs) {
      switch (output.kind) {
        case "send":
          this.#wire.send(output.to, output.message);
          break;
        case "write": {
          const { ticket } = output;
          function written(): void {
            self.#perform(self.#core.chainWritten(ticket, monotonicNow()));
          }
          this.#disk.writeChain(output.chain, output.write, written);
          break;
        }
        case "vote": {
          const { ticket } = output;
          function written(): void {
            self.#perform(self.#core.voteWritten(ticket, monotonicNow()));
          }
          this.#disk.writeVotes(output.state, written);
          break;
        }
        case "result": {
          const complete = this.#pendingCommands.get(output.ticket);
          this.#pendingCommands.delete(output.ticket);
          if (complete !== undefined) complete(output.result);
          break;
        }
        case "note":
          metrics.noted(output.text);
          this.#log.info(output.facts, output.text);
          break;
      }
    }
  }
}

/** The configuration version that a change is based on, from the If-Match header. */
function expectedVersion(arrival: GatewayRequest): Outcome<number | undefined> {
  const text = arrival.headers["if-match"];
  if (text === undefined) return outcome.success(undefined);
  const mark = Number(text.replaceAll('"', ""));
  return Number.isInteger(mark) && mark >= 0
    ? outcome.success(mark)
    : outcome.failure("If-Match must hold a mark, a whole number");
}

/** Maximum length of an Idempotency-Key header, in characters. */
const maxIdempotencyKeyLength = 200;

/**
 * The key that identifies a retried change, if the caller gives one. It is hashed together with the request, so the same key on
 * another change identifies another order.
 */
function idempotencyKey(
  arrival: GatewayRequest,
  kind: "put" | "patch",
): Outcome<string | undefined> {
  const key = arrival.headers["idempotency-key"];
  if (key === undefined) return outcome.success(undefined);
  if (typeof key !== "string" || key === "" || key.length > maxIdempotencyKeyLength)
    return outcome.failure(`Idempotency-Key must have 1 to ${maxIdempotencyKeyLength} characters`);
  const request = JSON.stringify([key, kind, arrival.headers["if-match"] ?? null, arrival.body]);
  return outcome.success(createHash("sha256").update(request).digest("base64url"));
}
