import type { DiskCondition, RunnerDescriptor } from "@chutewick/parts";
import {
  ControlCore,
  type ReportAnswer,
  type ControlCommand,
  type ControlMessage,
  type ControlOutcome,
  type ControlOutput,
} from "@chutewick/control";
import { Folder, Machine, type World } from "../world.js";
import type { MachineShape, Setting } from "./shape.js";

/** A control machine: the product's core, its data folder, and its operators' requests. */
export class ControlMachine extends Machine {
  core!: ControlCore;
  wallStep = 0;
  readonly #seeds: readonly string[];
  readonly #setting: Setting;
  #waiting = new Map<string, (told: ControlOutcome | undefined) => void>();
  #ticketNumber = 0;

  constructor(world: World, shape: MachineShape) {
    super(world, shape.name, shape.address ?? shape.name);
    this.#seeds = shape.seeds;
    this.#setting = shape.setting ?? {};
  }

  protected begin(): void {
    this.folder ??= new Folder(`${this.name}-${this.world.chance.below(1_000_000_000)}`);
    const { folder } = this;
    this.core = new ControlCore(
      {
        policy: this.#setting.policy ?? this.world.policy,
        founding: this.#setting.founding,
        member: { identity: folder.identity, address: this.address },
        seeds: this.#seeds,
        life: `${folder.identity}/${this.life}`,
        votes: folder.votes === undefined ? undefined : folder.copy(folder.votes),
        holding: folder.holdings().get("control"),
      },
      this.now,
    );
    this.#perform(this.core.start(this.now));
  }

  protected override diskChanged(condition: DiskCondition): void {
    this.#perform(this.core.diskChanged(condition, this.world.now));
  }

  protected strike(): void {
    this.#perform(this.core.tick(this.now, this.world.wall + this.wallStep));
  }

  arrived(message: unknown, from: string): void {
    this.#perform(this.core.receive(message as ControlMessage, from, this.now));
  }

  /** A runner's own report, numbered as it numbers them. */
  announce(card: Omit<RunnerDescriptor, "age">, sequence: number): ReportAnswer["kind"] {
    const { told, outputs } = this.core.announce(card, sequence, this.now);
    this.#perform(outputs);
    return told.kind;
  }

  protected override ended(): void {
    for (const told of this.#waiting.values()) told(undefined);
    this.#waiting.clear();
  }

  leave(): void {
    this.#perform(this.core.leave(this.now));
  }

  /** An operator's request; undefined: the connection was torn. */
  inquire(command: ControlCommand, told: (outcome: ControlOutcome | undefined) => void): void {
    if (!this.alive) return told(undefined);
    this.#ticketNumber += 1;
    const ticket = `operator/${this.life}/${this.#ticketNumber}`;
    this.#waiting.set(ticket, told);
    this.mine(() => this.#perform(this.core.inquire(ticket, command, this.now)))();
  }

  #perform(outputs: readonly ControlOutput[]): void {
    for (const output of outputs) {
      if (output.kind === "send") this.world.send(this.address, output.to, output.message);
      else if (output.kind === "write") this.#write(output);
      else if (output.kind === "vote") this.#vote(output);
      else if (output.kind === "result") {
        const told = this.#waiting.get(output.ticket);
        this.#waiting.delete(output.ticket);
        told?.(output.result);
      }
    }
  }

  #write({ ticket, write }: Extract<ControlOutput, { kind: "write" }>): void {
    const folder = this.folder!;
    const copy = folder.copy(write);
    this.sync(
      () => folder.write("control", copy),
      () => this.#perform(this.core.chainWritten(ticket, this.now)),
    );
  }

  #vote({ ticket, state }: Extract<ControlOutput, { kind: "vote" }>): void {
    const folder = this.folder!;
    const copy = folder.copy(state);
    this.sync(
      () => {
        folder.votes = copy;
      },
      () => this.#perform(this.core.voteWritten(ticket, this.now)),
    );
  }
}

/** Whether a control machine serves as the head of its chain. */
export function isHeadOf(machine: ControlMachine): boolean {
  return machine.alive && machine.core.isHead;
}
