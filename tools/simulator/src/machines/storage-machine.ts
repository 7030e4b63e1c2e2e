import type { DiskCondition } from "@chutewick/parts";
import { StorageCore, type DataMessage, type StorageOutput } from "@chutewick/data";
import { Folder, Machine, type World } from "../world.js";
import { zoneNamed, type MachineShape, type Setting } from "./shape.js";

/** A storage machine: the product's core and its data folder. */
export class StorageMachine extends Machine {
  core!: StorageCore;
  readonly #seeds: readonly string[];
  readonly #setting: Setting;
  constructor(world: World, shape: MachineShape) {
    super(world, shape.name, shape.address ?? shape.name);
    this.#seeds = shape.seeds;
    this.#setting = shape.setting ?? {};
  }

  protected begin(): void {
    this.folder ??= new Folder(`${this.name}-${this.world.chance.below(1_000_000_000)}`);
    this.core = new StorageCore(
      {
        identity: this.folder.identity,
        address: this.address,
        kind: "storage",
        zone: this.#setting.zone ?? zoneNamed(this.name),
        name: this.name,
        http: this.address,
      },
      this.#seeds,
      this.folder.holdings(),
      this.now,
      this.#setting.policy ?? this.world.policy,
    );
  }

  protected override diskChanged(condition: DiskCondition): void {
    this.#perform(this.core.diskChanged(condition, this.world.now));
  }

  protected strike(): void {
    this.#perform(this.core.tick(this.now));
  }

  leave(): void {
    this.#perform(this.core.leave(this.now));
  }

  arrived(message: unknown, from: string): void {
    this.#perform(this.core.receive(message as DataMessage, from, this.now));
  }

  #perform(outputs: readonly StorageOutput[]): void {
    for (const output of outputs) {
      if (output.kind === "send") this.world.send(this.address, output.to, output.message);
      else if (output.kind === "write") this.#write(output);
    }
  }

  #write({ chain, ticket, write }: Extract<StorageOutput, { kind: "write" }>): void {
    const folder = this.folder!;
    const copy = folder.copy(write);
    this.sync(
      () => folder.write(chain, copy),
      () => this.#perform(this.core.written(chain, ticket, this.now)),
    );
  }
}
