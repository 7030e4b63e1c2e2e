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
  type ChainHolding,
  type DiskCondition,
  type Outcome,
} from "@chutewick/parts";
import type { ServiceSchema } from "moleculer";
import type { DataMessage } from "./queue-messages.js";
import { StorageCore, type StorageOutput } from "./storage-core.js";

/** The storage process: sockets, folder and beats round the core (docs/design.md §10). */
export class StorageProcess {
  #log: Log;
  #core: StorageCore;
  #disk: Disk;
  #wire: Wire;
  #gateway: Gateway;
  #beat = new Beat();

  private constructor(settings: Settings, log: Log, disk: Disk) {
    this.#log = log;
    this.#disk = disk;
    const self = this;
    function receive(message: unknown, from: string): void {
      self.#perform(self.#core.receive(message as DataMessage, from, monotonic()));
    }
    const holdings = new Map<string, ChainHolding>();
    for (const chain of disk.chains()) holdings.set(chain, disk.holding(chain)!);
    disk.forgetFound();
    this.#core = new StorageCore(
      {
        identity: disk.identity,
        address: settings.wire,
        kind: "storage",
        zone: settings.zone,
        http: settings.http,
        name: settings.name,
      },
      settings.seeds,
      holdings,
      monotonic(),
      configured.policyOf(settings),
    );
    this.#wire = createWire(settings, log, receive);
    this.#gateway = new Gateway({
      address: settings.http,
      log,
      owners: [this.#owner()],
      openings: operatorOpenings,
    });
  }

  static async open(settings: Settings, log: Log): Promise<Outcome<StorageProcess>> {
    const running: { process?: StorageProcess } = {};
    function conditionChanged(condition: DiskCondition): void {
      running.process?.changeDisk(condition);
    }
    const disk = await openDataFolder({ kind: "storage", settings, log, conditionChanged });
    if (!disk.ok) return disk;
    const held = disk.value;
    const opened = new StorageProcess(settings, log, held);
    running.process = opened;
    const trouble = await listen(opened.#wire, opened.#gateway);
    if (trouble !== undefined) return outcome.bad(trouble);
    function strike(now: number): void {
      held.beat(now);
      opened.#perform(opened.#core.beat(now));
      opened.#wire.beat(now);
    }
    opened.#beat.start(strike);
    log.info({ identity: disk.value.identity, wire: settings.wire }, "storage machine is up");
    return outcome.good(opened);
  }

  changeDisk(condition: DiskCondition): void {
    this.#perform(this.#core.diskChanged(condition, monotonic()));
  }

  /** Planned stop: duties are handed over first, within a bound. */
  async close(): Promise<void> {
    const { held } = this.#core;
    this.#perform(this.#core.leave(monotonic()));
    const self = this;
    const until = monotonic() + constants.handOverPatience;
    function handedOver(): boolean {
      return self.#core.held === 0 || monotonic() > until;
    }
    if (held > 0) await settled(handedOver);
    await this.#gateway.close();
    this.#beat.stop();
    this.#wire.close();
    await this.#disk.close();
  }

  #owner(): ServiceSchema {
    const self = this;
    function status(arrival: Arrival): void {
      reply(arrival.reply, 200, {
        ...self.#core.status(monotonic()),
        counts: {
          syncs: self.#disk.syncs,
          ...countsOfWire(self.#wire),
        },
        violations: {
          ...invariants.counts(),
          "feed-behind-control": self.#core.membership.feedProgress.violations,
        },
      });
    }
    async function measured(arrival: Arrival): Promise<void> {
      const { queues } = self.#core.status(monotonic());
      reply(
        arrival.reply,
        200,
        await metrics.read({
          queues: countsOf(
            queues as Record<
              string,
              { owner: boolean; place: number; confirmed: number; count?: unknown }
            >,
          ),
          sent: self.#wire.sent,
          dropped: self.#wire.dropped,
        }),
      );
    }
    return { name: "storage", events: { "operator.status": status, "operator.metrics": measured } };
  }

  #perform(outputs: readonly StorageOutput[]): void {
    const self = this;
    for (const output of outputs) {
      switch (output.kind) {
        case "send":
          this.#wire.send(output.to, output.message);
          break;
        case "write": {
          const { chain, ticket } = output;
          function written(): void {
            self.#perform(self.#core.written(chain, ticket, monotonic()));
          }
          this.#disk.writeChain(chain, output.write, written);
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

/** Of queues kept here: how far behind their confirmation is, and what the owner counts. */
function countsOf(
  queues: Readonly<
    Record<string, { owner: boolean; place: number; confirmed: number; count?: unknown }>
  >,
): Record<string, unknown> {
  const told: Record<string, unknown> = {};
  for (const [queue, { owner, place, confirmed, count }] of Object.entries(queues))
    told[queue] = {
      owner,
      unconfirmed: place - confirmed,
      ...(count === undefined ? {} : { count }),
    };
  return told;
}
