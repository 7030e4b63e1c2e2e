import { mkdirSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { firstDocument, plainRoute, type OperatorDocument } from "../system/document.js";
import { blankDatabase } from "../steps/folder-states.js";
import {
  ipOf,
  nameOf,
  ports,
  startMachine,
  type Machine,
  type MachineClass,
} from "../system/machine.js";
import { StandInRunner } from "../system/stand-in-runner.js";
import { CalmLog } from "./calm.js";
import { LinkProxy } from "./link-proxy.js";
import type { Violations } from "./violations.js";

/** How many processes a run starts. */
export interface SystemSize {
  readonly core: number;
  readonly storage: number;
  readonly access: number;
  readonly modelRunners: number;
  /** Plain runners of each of the two plain services. */
  readonly plainRunners: number;
}

export const sizes: Readonly<Record<"small" | "large", SystemSize>> = {
  small: { core: 3, storage: 3, access: 4, modelRunners: 2, plainRunners: 2 },
  large: { core: 5, storage: 6, access: 16, modelRunners: 4, plainRunners: 4 },
};

/** Services for plain work; routes move between them. */
export const plainServices = ["printer", "stamper"] as const;

const reportEvery = 400;
/** Name that lmdb gives to the file of a database. */
const databaseFile = "data.mdb";

/** The document that a run begins with: the usual one, a second plain service, and routes for long streams and long work. */
export const soakDocument: OperatorDocument = {
  ...firstDocument,
  routes: [
    ...firstDocument.routes,
    { ...firstDocument.routes[0]!, name: "long", pathPrefix: "/long/", guardMs: 12_000 },
    { ...plainRoute("work", "printer"), guardMs: 6_000, targetMs: 4_000 },
  ],
  services: [
    ...firstDocument.services,
    { name: "stamper", healthPath: "/health", maxConnections: 100 },
  ],
};

/** The processes of one run, with the runners beside them and the links between them. */
export class SoakSystem {
  readonly links = new LinkProxy();
  readonly calm = new CalmLog();
  readonly runners: StandInRunner[] = [];
  readonly net: number;
  readonly size: SystemSize;
  #folder: string;
  #violations: Violations;
  #machines = new Map<string, Machine>();
  #expectedEnds = new Set<Machine>();
  /** Also where the soak itself is ended: no process may outlive it. */
  #killAll = (): void => {
    for (const machine of this.#machines.values()) this.end(machine, "SIGKILL");
  };
  #reports: NodeJS.Timeout | undefined;

  constructor(net: number, size: SystemSize, folder: string, violations: Violations) {
    this.net = net;
    this.size = size;
    this.#folder = folder;
    this.#violations = violations;
    process.once("exit", this.#killAll);
  }

  /** All machines of a class, by their present process. */
  machines(kind: MachineClass): Machine[] {
    return [...this.#machines.values()].filter((machine) => machine.kind === kind);
  }

  /** Machines with a disk: control and storage. */
  diskMachines(): Machine[] {
    return [...this.machines("core"), ...this.machines("storage")];
  }

  machine(name: string): Machine {
    return this.#machines.get(name)!;
  }

  async start(): Promise<void> {
    mkdirSync(this.#folder, { recursive: true });
    for (const kind of ["core", "storage", "access"] as const) {
      for (let index = 1; index <= this.size[kind]; index += 1) {
        await this.links.open(ipOf(this.net, kind, index), ports.wire, ports.proxiedWire);
        this.#launch(kind, index, true);
      }
    }
    await this.#startRunners();
  }

  /** Removes all files of a machine that has ended: it starts again with an empty disk. */
  loseDisk(name: string): void {
    rmSync(join(this.#folder, name), { recursive: true, force: true });
  }

  /**
   * Leaves the disk of a machine that has ended as a kill between the creation of its database and the first transaction does: that
   * moment lasts a few milliseconds, too short to be met by chance.
   */
  leaveUncommittedDatabase(name: string): void {
    this.loseDisk(name);
    const folder = join(this.#folder, name);
    const bytes = blankDatabase(folder);
    mkdirSync(folder);
    writeFileSync(join(folder, databaseFile), bytes);
  }

  /** Starts the process of a machine that has ended. */
  restart(name: string): void {
    const { kind } = this.machine(name);
    this.#launch(kind, Number(name.slice(name.lastIndexOf("-") + 1)), false);
  }

  /** Sends a signal after which the process is expected to end. */
  end(machine: Machine, signal: "SIGTERM" | "SIGKILL"): void {
    this.#expectedEnds.add(machine);
    machine.child.kill(signal);
  }

  /** Ends everything. */
  stop(): void {
    clearInterval(this.#reports);
    process.off("exit", this.#killAll);
    this.#killAll();
    for (const runner of this.runners) runner.stop();
    this.links.close();
  }

  /** Cuts or heals both directions between machines. */
  setCut(isCut: boolean, left: Machine, right: Machine): void {
    this.setOneWayCut(isCut, left, right);
    this.setOneWayCut(isCut, right, left);
  }

  setOneWayCut(isCut: boolean, from: Machine, to: Machine): void {
    if (isCut) this.links.cut(from.ip, to.ip);
    else this.links.heal(from.ip, to.ip);
  }

  /** The service whose runner ran a request; undefined where none did. */
  serviceThatRan(id: string): string | undefined {
    return this.runners.find((runner) => runner.ran.lastIndexOf(id) >= 0)?.service;
  }

  /** How often each request ran. */
  runCounts(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { ran } of this.runners)
      for (const id of ran) counts.set(id, (counts.get(id) ?? 0) + 1);
    return counts;
  }

  #launch(kind: MachineClass, index: number, isInitialStart: boolean): void {
    const machine = startMachine({
      folder: this.#folder,
      net: this.net,
      kind,
      index,
      isInitialStart,
      isProxied: true,
      isLogged: true,
    });
    this.#machines.set(nameOf(kind, index), machine);
    const self = this;
    function ended(code: number | null, signal: string | null): void {
      if (self.#expectedEnds.has(machine)) return;
      self.#violations.add("ENDED_BY_ITSELF", `${machine.name} code ${code} signal ${signal}`);
    }
    machine.child.once("exit", ended);
  }

  async #startRunners(): Promise<void> {
    const services: string[] = [];
    for (let count = 0; count < this.size.modelRunners; count += 1) services.push("reader");
    for (let count = 0; count < this.size.plainRunners; count += 1) services.push(...plainServices);
    for (const [at, service] of services.entries()) {
      const { net } = this;
      const runner = new StandInRunner({ net, index: at + 1, service, controls: this.size.core });
      await runner.start();
      this.runners.push(runner);
    }
    const { runners } = this;
    function report(): void {
      for (const runner of runners) runner.report().catch(ignored);
    }
    this.#reports = setInterval(report, reportEvery);
  }
}

function ignored(): void {
  // The next report goes to the next machine.
}
