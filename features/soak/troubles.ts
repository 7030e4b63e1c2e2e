import { handlesSignals, bounds, type Machine } from "../system/machine.js";
import type { AnswerChecks } from "./answer-checks.js";
import type { TroubleKind } from "./calm.js";
import type { Random } from "./random.js";
import type { SoakSystem } from "./system.js";
import { holdsWithin, now, pause } from "./time.js";
import type { Traffic } from "./traffic.js";
import type { Violations } from "./violations.js";

/** ms. A process that was started needs this long before its time in touch is counted. */
const startSlack = 1_500;
/** ms. After SIGTERM a process that is still there is killed, as the platform does. */
const killAfter = bounds.graceS * 1_000;
/** ms. A killed process is gone within this. */
const goneWithin = 5_000;
/** A machine is killed in so many starts in a row at most. */
const maxKilledStarts = 4;
/** ms. A start is killed within this. */
const latestStartKill = 600;
const accessCutLeast = 5_000;
const accessCutMost = 9_000;

/** What a run plays its troubles with. */
export interface TroubleParts {
  readonly system: SoakSystem;
  readonly traffic: Traffic;
  readonly checks: AnswerChecks;
  readonly violations: Violations;
  readonly random: Random;
}

/** One trouble on a machine, from its begin to its end. */
type Trouble = (machine: Machine) => Promise<void>;

/** Three series of troubles side by side: planned stops of access nodes, faults of access nodes, faults of disk machines. */
export class Troubles {
  /** How often each trouble was played. */
  readonly counts = new Map<string, number>();
  #parts: TroubleParts;
  #until = 0;

  constructor(parts: TroubleParts) {
    this.#parts = parts;
  }

  /** Plays for a span in ms, and until the last trouble has ended. */
  async run(span: number): Promise<void> {
    this.#until = now() + span;
    const random = this.#parts.random;
    const series = [
      this.#stopSeries(random.split()),
      this.#accessSeries(random.split()),
      this.#diskSeries(random.split()),
    ];
    await Promise.all(series);
  }

  get #isOver(): boolean {
    return now() > this.#until;
  }

  async #stopSeries(random: Random): Promise<void> {
    while (!this.#isOver) {
      await pause(random.between(500, 2_500));
      const machine = this.#drawFree(random);
      if (machine === undefined || this.#isOver) continue;
      await this.#play("stop", "planned-stop", machine, (each) => this.#stop(each));
    }
  }

  async #accessSeries(random: Random): Promise<void> {
    while (!this.#isOver) {
      await pause(random.between(200, 1_500));
      const machine = this.#drawFree(random);
      if (machine === undefined || this.#isOver) continue;
      const draw = random.next();
      if (draw < 0.55) await this.#accessCut(machine, random);
      else if (draw < 0.75) await this.#freeze(machine, random);
      else if (draw < 0.9) await this.#kill(machine, random);
      else this.#hangUpAll();
    }
  }

  /** One machine with a disk at a time, and it gets its time to come back before the next. */
  async #diskSeries(random: Random): Promise<void> {
    while (!this.#isOver) {
      await pause(random.between(1_000, 6_000));
      if (this.#isOver) return;
      const machine = random.pick(this.#parts.system.diskMachines());
      const draw = random.next();
      if (draw < 0.15) await this.#kill(machine, random);
      else if (draw < 0.3) await this.#killStarts(machine, random, false);
      else if (draw < 0.55) await this.#killStarts(machine, random, true);
      else if (draw < 0.65) await this.#freeze(machine, random);
      else if (draw < 0.85) await this.#diskCut(machine, random);
      else await this.#play("disk stop", "planned-stop", machine, (each) => this.#stop(each));
      await pause(bounds.syncS * 1_000);
    }
  }

  async #play(name: string, kind: TroubleKind, machine: Machine, trouble: Trouble): Promise<void> {
    const { system, violations } = this.#parts;
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
    violations.note(`${name} of ${machine.name} begins`);
    const end = system.calm.begin(machine.name, kind);
    await trouble(machine);
    end();
    violations.note(`${name} of ${machine.name} over`);
  }

  /** An access machine in no trouble; undefined where there is none. */
  #drawFree(random: Random): Machine | undefined {
    const { system } = this.#parts;
    const free = system.machines("access").filter(({ name }) => !system.calm.isInTrouble(name));
    return free.length === 0 ? undefined : random.pick(free);
  }

  async #stop(machine: Machine): Promise<void> {
    const { system, traffic, checks } = this.#parts;
    const isAccess = machine.kind === "access";
    if (isAccess) await traffic.prepareStop(machine);
    const begun = now();
    checks.stopping(machine, begun);
    system.end(machine, "SIGTERM");
    await holdsWithin(killAfter, () => machine.ended !== undefined);
    if (isAccess) checks.judgeEnd(machine, now() - begun);
    await this.#killAndWait(machine);
    await this.#restart(machine);
  }

  async #kill(machine: Machine, random: Random): Promise<void> {
    await this.#play("kill", "fault", machine, async (each) => {
      await this.#killAndWait(each);
      await pause(random.between(0, 3_000));
      await this.#restart(each);
    });
  }

  /** Kills a machine and then its next starts; after a lost disk half of the kills count as before the first transaction. */
  async #killStarts(machine: Machine, random: Random, isDiskLost: boolean): Promise<void> {
    const { system } = this.#parts;
    const name = isDiskLost ? "disk loss, starts killed" : "starts killed";
    const starts = 1 + Math.floor(random.between(0, maxKilledStarts));
    await this.#play(name, "fault", machine, async (each) => {
      await this.#killAndWait(each);
      if (isDiskLost) system.loseDisk(each.name);
      for (let start = 0; start < starts; start += 1) {
        system.restart(each.name);
        await pause(random.between(0, latestStartKill));
        await this.#killAndWait(system.machine(each.name));
        if (isDiskLost && random.next() < 0.5) system.leaveUncommittedDatabase(each.name);
      }
      await this.#restart(each);
    });
  }

  async #killAndWait(machine: Machine): Promise<void> {
    if (machine.ended !== undefined) return;
    this.#parts.system.end(machine, "SIGKILL");
    await holdsWithin(goneWithin, () => machine.ended !== undefined);
  }

  async #restart({ name }: Machine): Promise<void> {
    this.#parts.system.restart(name);
    await pause(startSlack);
  }

  async #freeze(machine: Machine, random: Random): Promise<void> {
    await this.#play("freeze", "fault", machine, async ({ child }) => {
      child.kill("SIGSTOP");
      await pause(random.between(1_000, 5_000));
      child.kill("SIGCONT");
    });
  }

  /** From all control machines, in both directions or in one of them. */
  async #accessCut(machine: Machine, random: Random): Promise<void> {
    const cores = this.#parts.system.machines("core");
    const draw = random.next();
    const span = random.between(accessCutLeast, accessCutMost);
    const name = draw < 0.7 ? "access cut" : draw < 0.85 ? "cut to control" : "cut from control";
    await this.#play(`${name}`, "fault", machine, async (each) => {
      this.#setCuts(true, name, each, cores);
      await pause(span);
      this.#setCuts(false, name, each, cores);
    });
  }

  /** From all other machines, in both directions or in one of them. */
  async #diskCut(machine: Machine, random: Random): Promise<void> {
    const { system } = this.#parts;
    const others = [...system.diskMachines(), ...system.machines("access")].filter(
      ({ name }) => name !== machine.name,
    );
    const draw = random.next();
    const span = random.between(2_000, 8_000);
    const name =
      draw < 0.7 ? "disk cut" : draw < 0.85 ? "disk cut to others" : "disk cut from others";
    await this.#play(name, "fault", machine, async (each) => {
      this.#setCuts(true, name, each, others);
      await pause(span);
      this.#setCuts(false, name, each, others);
    });
  }

  #setCuts(isCut: boolean, name: string, machine: Machine, others: readonly Machine[]): void {
    const { system } = this.#parts;
    for (const other of others) {
      if (name.includes(" to ")) system.setOneWayCut(isCut, machine, other);
      else if (name.includes(" from ")) system.setOneWayCut(isCut, other, machine);
      else system.setCut(isCut, machine, other);
    }
  }

  #hangUpAll(): void {
    const { system } = this.#parts;
    this.counts.set("hang-up of all", (this.counts.get("hang-up of all") ?? 0) + 1);
    for (const kind of ["core", "storage", "access"] as const)
      for (const machine of system.machines(kind))
        /** Before the program of a process runs, the signal ends it whatever the program is. */
        if (handlesSignals(machine)) machine.child.kill("SIGHUP");
  }
}
