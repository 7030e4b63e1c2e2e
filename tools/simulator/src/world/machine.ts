import { DiskHealth, constants, type DiskCondition } from "@chutewick/parts";
import { Folder } from "./folder.js";
import type { World } from "./world.js";

/** ms that a slow disk takes to sync. */
const SLOW_SYNC = [200, 1_500] as const;

/** A machine: alive or not, frozen or not, with or without a folder. */
export abstract class Machine {
  readonly name: string;
  readonly address: string;
  readonly world: World;
  folder: Folder | undefined;
  alive = false;
  frozen = false;
  /** Gone for good. */
  retired = false;
  /** Counts lives, so that what belongs to an old one is dropped. */
  life = 0;
  /** ms. Until when its disk is slow. */
  slowUntil = 0;
  /** Rate of this machine's monotonic clock against the world's. */
  clockRate = 1;
  #held: (() => void)[] = [];
  /** Until when the disk takes no writes, and until when it answers nothing. */
  diskFullUntil = 0;
  diskStalledUntil = 0;
  #health = new DiskHealth();
  #toldCondition: DiskCondition = "writable";
  #syncing = false;
  #unsynced: { apply: () => void; done: () => void }[] = [];

  constructor(world: World, name: string, address: string) {
    this.world = world;
    this.name = name;
    this.address = address;
    world.machines.set(address, this);
  }

  /** ms. This machine's monotonic clock. */
  get now(): number {
    return this.world.now * this.clockRate;
  }

  /** Makes the core anew from the folder. */
  protected abstract begin(): void;
  /** A beat of the core. */
  protected abstract strike(): void;
  /** Takes a message. */
  abstract arrived(message: unknown, from: string): void;
  /** The disk takes no writes any more, or takes them again. */
  protected diskChanged(_condition: DiskCondition): void {}
  /** Connections of this life are gone. */
  protected ended(): void {}

  /** Begins a new life, unless it is gone for good. */
  start(): void {
    if (this.retired) return;
    this.alive = true;
    this.frozen = false;
    this.#held = [];
    this.life += 1;
    this.#health = new DiskHealth();
    this.#toldCondition = "writable";
    this.begin();
    this.#beat();
  }

  #beat(): void {
    const self = this;
    function beat(): void {
      self.#health.tick(self.world.now);
      self.#tellCondition();
      self.strike();
      self.#beat();
    }
    this.world.after(constants.tickIntervalMs / this.clockRate, this.mine(beat));
  }

  /** Work of this life: held while frozen, dropped when dead. */
  mine(act: () => void): () => void {
    const { life } = this;
    const self = this;
    function run(): void {
      if (!self.alive || self.life !== life) return;
      if (self.frozen) self.#held.push(run);
      else act();
    }
    return run;
  }

  /** Ends this life: the process alone, or with lost power. */
  kill(isPowerLost: boolean): void {
    if (!this.alive) return;
    this.alive = false;
    this.frozen = false;
    const { chance } = this.world;
    /** A killed process may leave writes that the system still brings to disk; lost power leaves none. */
    const kept = isPowerLost ? 0 : chance.below(this.#unsynced.length + 1);
    for (const write of this.#unsynced.slice(0, kept)) write.apply();
    this.#unsynced = [];
    this.#syncing = false;
    this.ended();
  }

  /** Does nothing from now on, and keeps what comes for later. */
  freeze(): void {
    if (this.alive) this.frozen = true;
  }

  /** Does all that came while it was frozen, and goes on. */
  wake(): void {
    if (!this.alive || !this.frozen) return;
    this.frozen = false;
    const held = this.#held;
    this.#held = [];
    for (const act of held) act();
  }

  /** Writes that are not synced yet. */
  get unsynced(): number {
    return this.#unsynced.length;
  }

  /** Loses its disk. */
  wipe(): void {
    this.folder = undefined;
  }

  /** What came while one batch was being synced goes into the next as one, as the real folder does. */
  protected sync(apply: () => void, done: () => void): void {
    this.#unsynced.push({ apply, done: this.mine(done) });
    if (!this.#syncing) this.#syncBatch();
  }

  #tellCondition(): void {
    const { condition } = this.#health;
    if (condition === this.#toldCondition) return;
    this.#toldCondition = condition;
    this.diskChanged(condition);
  }

  #syncBatch(): void {
    const { world, life } = this;
    const self = this;
    const waiting = this.#unsynced.length;
    const count = Math.min(this.#health.maxBatchWrites, waiting);
    this.#syncing = count > 0;
    if (count === 0) return;
    const isFull = world.now < this.diskFullUntil;
    this.#health.commitStarted(world.now);
    function again(): void {
      if (self.life === life && self.alive) self.#syncBatch();
    }
    function judge(): void {
      const pause = self.#health.commitFailed(world.now);
      self.#tellCondition();
      world.after(pause, again);
    }
    function judgeDone(): void {
      self.#health.commitSucceeded(world.now, self.#unsynced.length === 0);
      self.#tellCondition();
    }
    function ended(): void {
      if (self.life !== life || !self.alive) return;
      if (isFull) return self.mine(judge)();
      world.syncs += 1;
      const durable = self.#unsynced.splice(0, count);
      self.mine(judgeDone)();
      for (const write of durable) {
        write.apply();
        write.done();
      }
      self.#syncBatch();
    }
    const takes =
      world.now < this.slowUntil
        ? world.chance.between(...SLOW_SYNC)
        : world.chance.between(...world.syncTakes);
    world.after(Math.max(0, this.diskStalledUntil - world.now) + takes, ended);
  }
}
