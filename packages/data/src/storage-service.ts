/** The process of a storage machine. */
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
  type PersistedChain,
  type DiskCondition,
  type Outcome,
} from "@chutewick/parts";
import type { ServiceSchema } from "moleculer";
import type { DataMessage } from "./queue-messages.js";
import { StorageCore, type StorageOutput } from "./storage-core.js";

/** Connects the storage core to its sockets, its data folder and its timer (docs/design.md §10). */
export class StorageProcess {
  #log: Log;
  #core: StorageCore;
  #disk: Disk;
  #wire: Wire;
  #gateway: Gateway;
  #timer = new Ticker();

  private constructor(settings: Settings, log: Log, disk: Disk) {
    this.#log = log;
    this.#disk = disk;
    const self = this;
    function receive(message: unknown, from: string): void {
      self.#perform(self.#core.receive(message as DataMessage, from, monotonicNow()));
    }
    const persistedChains = new Map<string, PersistedChain>();
    for (const chain of disk.chains()) persistedChains.set(chain, disk.holding(chain)!);
    disk.releasePersistedState();
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
      persistedChains,
      monotonicNow(),
      configured.policyOf(settings),
    );
    this.#wire = createWire(settings, log, receive);
    this.#gateway = new Gateway({
      address: settings.http,
      log,
      owners: [this.#operatorService()],
      routes: operatorRoutes,
    });
  }

  /** Opens the data folder, starts the process and listens; fails with the reason that kept it from doing so. */
  static async open(settings: Settings, log: Log): Promise<Outcome<StorageProcess>> {
    const started: { process?: StorageProcess } = {};
    function conditionChanged(condition: DiskCondition): void {
      started.process?.changeDisk(condition);
    }
    const disk = await openDataFolder({ kind: "storage", settings, log, conditionChanged });
    if (!disk.ok) return disk;
    const dataFolder = disk.value;
    const storageProcess = new StorageProcess(settings, log, dataFolder);
    started.process = storageProcess;
    const failure = await listen(storageProcess.#wire, storageProcess.#gateway);
    if (failure !== undefined) return outcome.failure(failure);
    function tick(now: number): void {
      dataFolder.tick(now);
      storageProcess.#perform(storageProcess.#core.tick(now));
      storageProcess.#wire.tick(now);
    }
    storageProcess.#timer.start(tick);
    log.info({ identity: disk.value.identity, wire: settings.wire }, "storage machine is up");
    return outcome.success(storageProcess);
  }

  /** Passes a change of the disk's condition to the core. */
  changeDisk(condition: DiskCondition): void {
    this.#perform(this.#core.diskChanged(condition, monotonicNow()));
  }

  /** Planned stop: first transfers the queues to other machines, within a bound of time, then closes everything. */
  async close(): Promise<void> {
    const { memberQueueCount: held } = this.#core;
    this.#perform(this.#core.leave(monotonicNow()));
    const self = this;
    const deadline = monotonicNow() + constants.handOverTimeoutMs;
    function isHandoverDone(): boolean {
      return self.#core.memberQueueCount === 0 || monotonicNow() > deadline;
    }
    if (held > 0) await waitUntil(isHandoverDone);
    await this.#gateway.close();
    this.#timer.stop();
    this.#wire.close();
    await this.#disk.close();
  }

  /** Answers the requests of operators for status and metrics. */
  #operatorService(): ServiceSchema {
    const self = this;
    function writeStatus(arrival: GatewayRequest): void {
      reply(arrival.reply, 200, {
        ...self.#core.status(monotonicNow()),
        counts: {
          syncs: self.#disk.syncs,
          ...readWireCounts(self.#wire),
        },
        violations: {
          ...invariants.counts(),
          "feed-behind-control": self.#core.membership.feedProgress.violations,
        },
      });
    }
    async function writeMetrics(arrival: GatewayRequest): Promise<void> {
      const { queues } = self.#core.status(monotonicNow());
      reply(
        arrival.reply,
        200,
        await metrics.read({
          queues: queueMetrics(
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
    return {
      name: "storage",
      events: { "operator.status": writeStatus, "operator.metrics": writeMetrics },
    };
  }

  /** Carries out the outputs of the core. */
  #perform(outputs: readonly StorageOutput[]): void {
    const self = this;
    for (const output of outputs) {
      switch (output.kind) {
        case "send":
          this.#wire.send(output.to, output.message);
          break;
        case "write": {
          const { chain, ticket } = output;
          function onDurable(): void {
            self.#perform(self.#core.written(chain, ticket, monotonicNow()));
          }
          this.#disk.writeChain(chain, output.write, onDurable);
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

/** Metrics of the queues on this machine: the number of uncommitted entries, and the counts of the owner. */
function queueMetrics(
  queues: Readonly<
    Record<string, { owner: boolean; place: number; confirmed: number; count?: unknown }>
  >,
): Record<string, unknown> {
  const counts: Record<string, unknown> = {};
  for (const [queue, { owner, place, confirmed, count }] of Object.entries(queues))
    counts[queue] = {
      owner,
      unconfirmed: place - confirmed,
      ...(count === undefined ? {} : { count }),
    };
  return counts;
}
