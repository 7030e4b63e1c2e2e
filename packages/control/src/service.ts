import { createHash, randomUUID } from "node:crypto";
import {
  Beat,
  countsOfWire,
  createWire,
  Gateway,
  invariants,
  listen,
  metrics,
  monotonic,
  openDataFolder,
  operatorOpenings,
  reply,
  replyTrouble,
  settings as configured,
  settled,
  type Arrival,
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
  type RunnerCard,
} from "@chutewick/parts";
import type { ServiceSchema } from "moleculer";
import type { ControlDesk, ControlFront } from "./control-desk.js";
import type {
  Announced,
  ControlMessage,
  ControlOutcome,
  ControlOutput,
} from "./control-messages.js";
import { ControlCore, noQuorum } from "./core.js";
import { DutyService, type DutyPlatform } from "./duties/duty-service.js";
import type { Explained } from "./explain.js";
import type { ControlCommand } from "./machine.js";
import { operatorReplies } from "./operator-replies.js";

export interface ControlExtras {
  readonly fronts?: readonly ControlFront[];
  /** Where duties are performed; without it none are. */
  readonly dutyPlatform?: DutyPlatform;
}

/** The control process: sockets, folder and beats round the core (docs/design.md §10). */
export class ControlProcess {
  #log: Log;
  #core: ControlCore;
  #disk: Disk;
  #wire: Wire;
  #gateway: Gateway;
  #beat = new Beat();
  #waiting = new Map<string, (outcome: ControlOutcome) => void>();
  #fronts: readonly ControlFront[];
  #duties: DutyService | undefined;
  #ticketNumber = 0;

  private constructor(settings: Settings, log: Log, disk: Disk, extras: ControlExtras) {
    this.#log = log;
    this.#fronts = extras.fronts ?? [];
    this.#disk = disk;
    const self = this;
    function receive(message: unknown, from: string): void {
      self.#perform(self.#core.receive(message as ControlMessage, from, monotonic()));
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
      monotonic(),
    );
    disk.forgetFound();
    this.#wire = createWire(settings, log, receive);
    this.#gateway = new Gateway({
      address: settings.http,
      log,
      owners: [this.#owner()],
      openings: [
        ...operatorOpenings,
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

  static async open(
    settings: Settings,
    log: Log,
    extras: ControlExtras = {},
  ): Promise<Outcome<ControlProcess>> {
    const running: { process?: ControlProcess } = {};
    function conditionChanged(condition: DiskCondition): void {
      running.process?.changeDisk(condition);
    }
    const disk = await openDataFolder({ kind: "control", settings, log, conditionChanged });
    if (!disk.ok) return disk;
    const held = disk.value;
    const opened = new ControlProcess(settings, log, held, extras);
    running.process = opened;
    if (settings.duties !== undefined && extras.dutyPlatform !== undefined)
      opened.#duties = opened.#dutyService(settings.name, settings.duties, extras.dutyPlatform);
    const trouble = await listen(opened.#wire, opened.#gateway);
    if (trouble !== undefined) return outcome.bad(trouble);
    function strike(now: number): void {
      held.beat(now);
      opened.#perform(opened.#core.beat(now, Date.now()));
      opened.#wire.beat(now);
      opened.#duties?.beat(now, opened.#core.dutySituation(now));
    }
    opened.#perform(opened.#core.start(monotonic()));
    opened.#beat.start(strike);
    for (const front of opened.#fronts) await front.open(opened.#desk());
    log.info(
      { identity: disk.value.identity, wire: settings.wire, http: settings.http },
      "control machine is up",
    );
    return outcome.good(opened);
  }

  changeDisk(condition: DiskCondition): void {
    this.#perform(this.#core.diskChanged(condition, monotonic()));
  }

  /** Planned stop: the others go on without it first, so that nobody waits for its silence (§8.6). */
  async close(): Promise<void> {
    this.#perform(this.#core.leave(monotonic()));
    const self = this;
    const until = monotonic() + constants.handOverPatience;
    function handedOver(): boolean {
      return !self.#core.isNeeded || monotonic() > until;
    }
    await settled(handedOver);
    const closing = [this.#gateway.close(constants.ordersAnsweredWithin)];
    for (const front of this.#fronts) closing.push(front.close());
    this.#duties?.close();
    await Promise.all(closing);
    this.#beat.stop();
    this.#wire.close();
    await this.#disk.close();
  }

  #dutyService(name: string, bounds: DutyBounds, platform: DutyPlatform): DutyService {
    const self = this;
    function inquire(command: ControlCommand, told: (outcome: ControlOutcome) => void): void {
      self.#enter(command, told);
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

  /** What an interface beside our own may ask (§13.2). */
  #desk(): ControlDesk {
    const self = this;
    function announce(card: Omit<RunnerCard, "age">, sequence: number): Announced["kind"] {
      const { told, outputs } = self.#core.announce(card, sequence, monotonic());
      self.#perform(outputs);
      return told.kind;
    }
    function inquire(command: ControlCommand, told: (outcome: ControlOutcome) => void): void {
      self.#enter(command, told);
    }
    function isReady(): boolean {
      return self.#core.view !== undefined;
    }
    return { isReady, announce, inquire };
  }

  /** Owner of all arrivals of this process. */
  #owner(): ServiceSchema {
    const self = this;
    function status(arrival: Arrival): void {
      reply(arrival.reply, 200, {
        ...self.#core.status(monotonic()),
        duties: self.#duties?.status(monotonic(), self.#core.dutyRecords),
        counts: {
          syncs: self.#disk.syncs,
          ...countsOfWire(self.#wire),
        },
        violations: invariants.counts(),
      });
    }
    function get(arrival: Arrival): void {
      self.#inquire(arrival, { kind: "read" });
    }
    function put(arrival: Arrival): void {
      const expected = expectedMark(arrival);
      if (!expected.ok)
        return replyTrouble(arrival.reply, 400, { trouble: "bad-mark", reason: expected.reason });
      const key = idempotencyKey(arrival, "put");
      if (!key.ok)
        return replyTrouble(arrival.reply, 400, { trouble: "bad-key", reason: key.reason });
      self.#inquire(arrival, {
        kind: "put",
        expected: expected.value,
        value: arrival.body,
        word: key.value,
      });
    }
    function patch(arrival: Arrival): void {
      const expected = expectedMark(arrival);
      if (!expected.ok)
        return replyTrouble(arrival.reply, 400, { trouble: "bad-mark", reason: expected.reason });
      if (typeof arrival.body !== "object" || arrival.body === null || Array.isArray(arrival.body))
        return replyTrouble(arrival.reply, 422, {
          trouble: "refused",
          reason: "(whole): a small change must be one JSON object",
        });
      const key = idempotencyKey(arrival, "patch");
      if (!key.ok)
        return replyTrouble(arrival.reply, 400, { trouble: "bad-key", reason: key.reason });
      self.#inquire(arrival, {
        kind: "patch",
        expected: expected.value,
        change: arrival.body,
        word: key.value,
      });
    }
    function empty(arrival: Arrival): void {
      self.#inquire(arrival, {
        kind: "empty",
        identity: arrival.parameters["identity"]!,
        wanted: true,
      });
    }
    function keep(arrival: Arrival): void {
      self.#inquire(arrival, {
        kind: "empty",
        identity: arrival.parameters["identity"]!,
        wanted: false,
      });
    }
    async function measured(arrival: Arrival): Promise<void> {
      const { place, configuration: mark, head, view } = self.#core.status(monotonic());
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
    function explained(arrival: Arrival, told: Explained): void {
      if (told.kind === "REFUSED")
        replyTrouble(arrival.reply, 422, { trouble: "refused", reason: told.reason });
      else reply(arrival.reply, 200, told.value);
    }
    /** Answers at once where no majority is reached: what is known here may be old. */
    function isAway(arrival: Arrival): boolean {
      if (self.#core.inContact(monotonic())) return false;
      operatorReplies.tell(arrival.reply, { kind: "not-run", reason: noQuorum });
      return true;
    }
    function explain(arrival: Arrival): void {
      if (isAway(arrival)) return;
      const { way, model, adapter, labels = "" } = arrival.query;
      const own: Record<string, string> = {};
      for (const text of labels.split(",")) {
        const cut = text.indexOf("=");
        if (cut > 0) own[text.slice(0, cut)] = text.slice(cut + 1);
        else if (text !== "")
          return replyTrouble(arrival.reply, 422, {
            trouble: "refused",
            reason: `labels: ${text} must be key=value`,
          });
      }
      explained(arrival, self.#core.explain({ way, model, adapter, labels: own }, monotonic()));
    }
    function preview(arrival: Arrival): void {
      if (isAway(arrival)) return;
      explained(arrival, self.#core.preview(arrival.body, monotonic()));
    }
    return {
      name: "control",
      events: {
        "operator.status": status,
        "operator.metrics": measured,
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

  #inquire(arrival: Arrival, command: ControlCommand): void {
    function told(outcome: ControlOutcome): void {
      operatorReplies.tell(arrival.reply, outcome);
    }
    this.#enter(command, told);
  }

  #enter(command: ControlCommand, told: (outcome: ControlOutcome) => void): void {
    this.#ticketNumber += 1;
    const ticket = `http/${this.#ticketNumber}`;
    this.#waiting.set(ticket, told);
    this.#perform(this.#core.inquire(ticket, command, monotonic()));
  }

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
            self.#perform(self.#core.writtenChain(ticket, monotonic()));
          }
          this.#disk.writeChain(output.chain, output.write, written);
          break;
        }
        case "vote": {
          const { ticket } = output;
          function written(): void {
            self.#perform(self.#core.writtenVote(ticket, monotonic()));
          }
          this.#disk.writeVotes(output.state, written);
          break;
        }
        case "result": {
          const waiting = this.#waiting.get(output.ticket);
          this.#waiting.delete(output.ticket);
          if (waiting !== undefined) waiting(output.result);
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

/** If-Match carries the mark that a change builds on. */
function expectedMark(arrival: Arrival): Outcome<number | undefined> {
  const text = arrival.headers["if-match"];
  if (text === undefined) return outcome.good(undefined);
  const mark = Number(text.replaceAll('"', ""));
  return Number.isInteger(mark) && mark >= 0
    ? outcome.good(mark)
    : outcome.bad("If-Match must hold a mark, a whole number");
}

/** Characters of an Idempotency-Key header, at most. */
const keyMost = 200;

/**
 * The key by which a change that is sent again is known, where the caller gives one. It counts together with what is asked
 * for, so the same key on another change is another order.
 */
function idempotencyKey(arrival: Arrival, kind: "put" | "patch"): Outcome<string | undefined> {
  const key = arrival.headers["idempotency-key"];
  if (key === undefined) return outcome.good(undefined);
  if (typeof key !== "string" || key === "" || key.length > keyMost)
    return outcome.bad(`Idempotency-Key must have 1 to ${keyMost} characters`);
  const request = JSON.stringify([key, kind, arrival.headers["if-match"] ?? null, arrival.body]);
  return outcome.good(createHash("sha256").update(request).digest("base64url"));
}
