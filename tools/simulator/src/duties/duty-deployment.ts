import { keys, type DutyCall, type DutyCommandOutput } from "@chutewick/control";
import { constants, type DutyBounds } from "@chutewick/parts";
import { configurationOf, Deployment } from "../deployment.js";
import type { ControlMachine } from "../machines.js";
import { DutyHost } from "./duty-host.js";
import { DutyPlatform, type SeenCall } from "./duty-platform.js";
import { dutyModelBounds } from "./duty-rounds.js";
import { brokenDutyRules } from "./duty-rules.js";

/** ms. Virtual time starts where a window does. */
const patience = 8_000;

/** Duties on the real control cores: their chain, views and leases of contact, in virtual time. */
export class DutyDeployment {
  readonly deployment: Deployment;
  readonly platform: DutyPlatform;
  readonly bounds: DutyBounds = dutyModelBounds;
  /** Control machines whose calls do not reach the platform. */
  readonly cutFromPlatform = new Set<ControlMachine>();
  /** Told of each machine that has just asked for a round. */
  asked: ((machine: ControlMachine) => void) | undefined;
  readonly #hosts = new Map<ControlMachine, { life: number; host: DutyHost }>();

  /** @param slowConnectShare share of the connections to the platform that are slow to open; that of the stand-in if left out */
  constructor(seed: number, slowConnectShare?: number) {
    const size = { controls: 5, storages: 3, accesses: 3, losses: 2 };
    this.deployment = new Deployment(seed, { ...size, seeds: 5 });
    this.platform = new DutyPlatform(this.deployment.world);
    if (slowConnectShare !== undefined) this.platform.slowConnectShare = slowConnectShare;
    for (const machine of this.deployment.machines) machine.start();
    this.deployment.founded();
    this.deployment.after(4);
    this.#configure();
    for (const machine of this.deployment.controls) this.#beat(machine);
  }

  #configure(): void {
    const put = {
      kind: "put",
      expected: 0,
      mark: 1,
      value: configurationOf(1),
      origin: "1",
    } as const;
    const { told } = this.deployment.order(put, this.deployment.one(), patience);
    if (told?.kind !== "confirmed") throw new Error(`not configured: ${JSON.stringify(told)}`);
  }

  /** As the process does: after each beat of its core, where it may win rounds. */
  #beat(machine: ControlMachine): void {
    const { world } = this.deployment;
    if (machine.alive && !machine.frozen) {
      const ground = machine.core.dutyContext(machine.now);
      if (ground?.isConfigured === true) this.#hostOf(machine).beat(ground);
    }
    world.after(constants.tickIntervalMs, () => this.#beat(machine));
  }

  #hostOf(machine: ControlMachine): DutyHost {
    const known = this.#hosts.get(machine);
    if (known?.life === machine.life) return known.host;
    const { life } = machine;
    const host: DutyHost = new DutyHost(machine, {
      bounds: this.bounds,
      platform: this.platform,
      inquire: ({ ticket, command }: DutyCommandOutput) => {
        machine.inquire(command, (told) => {
          if (machine.life === life) host.inquired(ticket, told ?? { kind: "unknown" });
        });
        if (command.kind === "claim-act") this.asked?.(machine);
      },
      sent: noted,
      isCut: () => this.cutFromPlatform.has(machine),
      time: () => machine.core.agreedTime.at(machine.now) ?? Number.NaN,
    });
    this.#hosts.set(machine, { life, host });
    return host;
  }

  /** The machine whose report was taken last. */
  get holder(): ControlMachine {
    const name = this.#reports.at(-1)?.holder;
    return this.deployment.controls.find((machine) => machine.name === name)!;
  }

  get #reports(): SeenCall[] {
    const usage = keys.dutyKey({ duty: "usage", subject: "" });
    return this.platform.seen.filter((call) => call.isAccepted && call.subject.startsWith(usage));
  }

  /** Machines whose reports were taken. */
  get holders(): ReadonlySet<string> {
    return new Set(this.#reports.map(({ holder }) => holder));
  }

  get broken(): string[] {
    return brokenDutyRules(this.platform.seen, this.bounds.lease);
  }

  /** ms after their windows' ends at which reports were taken first, by window; undefined where none was. */
  get delays(): Map<number, number | undefined> {
    const { world } = this.deployment;
    const epoch = world.wall - world.now;
    const delays = new Map<number, number | undefined>();
    const reports = this.#reports;
    const first = Math.min(...reports.map(({ number }) => number));
    for (let window = first; this.#isDue(window); window += 1) {
      const report = reports.find(({ number }) => number === window);
      const end = (window + 1) * this.bounds.window;
      delays.set(window, report === undefined ? undefined : epoch + report.at - end);
    }
    return delays;
  }

  #isDue(window: number): boolean {
    const end = (window + 1) * this.bounds.window;
    return end + this.bounds.reportWithin <= this.deployment.world.wall;
  }
}

function noted(_call: DutyCall): void {
  // The platform sees it.
}
