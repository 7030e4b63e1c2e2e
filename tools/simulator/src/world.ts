import {
  DiskHealth,
  constants,
  policy,
  type Policy,
  type ChainHolding,
  type ChainState,
  type ChainWrite,
  type Change,
  type DiskCondition,
  type Entry,
  type VoteState,
} from "@chutewick/parts";
import { Packr } from "msgpackr";

/** Virtual time, one seed, a network, disks and machines that fail (docs/testing.md). */
export class Chance {
  #state: number;

  constructor(seed: number) {
    this.#state = (Math.imul(seed + 1, 2_654_435_761) ^ 0x5bd1e995) >>> 0;
  }

  next(): number {
    this.#state = (this.#state + 0x6d2b79f5) >>> 0;
    let mixed = this.#state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  }

  below(bound: number): number {
    return Math.floor(this.next() * bound);
  }
  between(low: number, high: number): number {
    return low + this.next() * (high - low);
  }
  pick<Value>(from: readonly Value[]): Value {
    return from[this.below(from.length)]!;
  }
  happens(probability: number): boolean {
    return this.next() < probability;
  }
}

interface Event {
  readonly at: number;
  readonly order: number;
  readonly act: () => void;
}

/** A heap of what is to come. */
class Agenda {
  #events: Event[] = [];

  get next(): Event | undefined {
    return this.#events[0];
  }

  add(event: Event): void {
    const events = this.#events;
    let place = events.length;
    events.push(event);
    while (place > 0) {
      const above = (place - 1) >> 1;
      if (!sooner(event, events[above]!)) break;
      events[place] = events[above]!;
      place = above;
    }
    events[place] = event;
  }

  take(): Event {
    const events = this.#events;
    const first = events[0]!;
    const last = events.pop()!;
    if (events.length > 0) {
      let place = 0;
      for (;;) {
        let below = place * 2 + 1;
        if (below >= events.length) break;
        if (below + 1 < events.length && sooner(events[below + 1]!, events[below]!)) below += 1;
        if (!sooner(events[below]!, last)) break;
        events[place] = events[below]!;
        place = below;
      }
      events[place] = last;
    }
    return first;
  }
}

function sooner(left: Event, right: Event): boolean {
  return left.at < right.at || (left.at === right.at && left.order < right.order);
}

/** What survives: only synced writes, in order. */
export class Folder {
  identity: string;
  votes: VoteState | undefined;
  #chains = new Map<
    string,
    { state: ChainState; records: Map<string, unknown>; entries: Map<number, Entry> }
  >();
  #packer = new Packr({ useRecords: false });

  constructor(identity: string) {
    this.identity = identity;
  }

  copy<Value>(value: Value): Value {
    return this.#packer.unpack(this.#packer.pack(value)) as Value;
  }

  write(chain: string, write: ChainWrite): void {
    const held = this.#chains.get(chain) ?? {
      state: write.state,
      records: new Map<string, unknown>(),
      entries: new Map<number, Entry>(),
    };
    if (write.clear) {
      held.records.clear();
      held.entries.clear();
    }
    for (const [key, value] of write.changes) {
      if (value === undefined || value === null) held.records.delete(key);
      else held.records.set(key, value);
    }
    for (const entry of write.entries) held.entries.set(entry.place, entry);
    for (const place of write.drop) held.entries.delete(place);
    held.state = write.state;
    this.#chains.set(chain, held);
  }

  holdings(): Map<string, ChainHolding> {
    const found = new Map<string, ChainHolding>();
    for (const [chain, { state, records, entries }] of this.#chains) {
      const sorted = [...entries.values()].sort(byPlace);
      found.set(chain, this.copy({ state, records: [...records] as Change[], entries: sorted }));
    }
    return found;
  }
}

function byPlace(left: Entry, right: Entry): number {
  return left.place - right.place;
}

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
  protected abstract strike(): void;
  abstract arrived(message: unknown, from: string): void;
  /** The disk takes no writes any more, or takes them again. */
  protected diskChanged(_condition: DiskCondition): void {}
  /** Connections of this life are gone. */
  protected ended(): void {}

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
      self.#health.beat(self.world.now);
      self.#tellCondition();
      self.strike();
      self.#beat();
    }
    this.world.after(constants.beatEvery / this.clockRate, this.mine(beat));
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

  kill(power: boolean): void {
    if (!this.alive) return;
    this.alive = false;
    this.frozen = false;
    const { chance } = this.world;
    /** A killed process may leave writes that the system still brings to disk; lost power leaves none. */
    const kept = power ? 0 : chance.below(this.#unsynced.length + 1);
    for (const write of this.#unsynced.slice(0, kept)) write.apply();
    this.#unsynced = [];
    this.#syncing = false;
    this.ended();
  }

  freeze(): void {
    if (this.alive) this.frozen = true;
  }

  wake(): void {
    if (!this.alive || !this.frozen) return;
    this.frozen = false;
    const held = this.#held;
    this.#held = [];
    for (const act of held) act();
  }

  get unsynced(): number {
    return this.#unsynced.length;
  }

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
    const count = Math.min(this.#health.batchMost, waiting);
    this.#syncing = count > 0;
    if (count === 0) return;
    const isFull = world.now < this.diskFullUntil;
    this.#health.began(world.now);
    function again(): void {
      if (self.life === life && self.alive) self.#syncBatch();
    }
    function judge(): void {
      const pause = self.#health.failed(world.now);
      self.#tellCondition();
      world.after(pause, again);
    }
    function judgeDone(): void {
      self.#health.committed(world.now, self.#unsynced.length === 0);
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
        ? world.chance.between(200, 1_500)
        : world.chance.between(...world.syncTakes);
    world.after(Math.max(0, this.diskStalledUntil - world.now) + takes, ended);
  }
}

export class World {
  readonly chance: Chance;
  readonly machines = new Map<string, Machine>();
  now = 0;
  /** Of all messages between machines. */
  loss = 0;
  delayMost = 3;
  wallStep = 0;
  /** What every machine is told of its deployment. */
  policy: Policy = policy.usual;
  /** ms that a disk takes to sync. */
  syncTakes: readonly [least: number, most: number] = [0.2, 2];
  events = 0;
  messages = 0;
  syncs = 0;
  /** Looks at each message as it is sent; a number delays it by so many ms, and one that has no end loses it. */
  watch: ((from: string, to: string, message: unknown) => number | undefined) | undefined;
  /** Messages by kind. */
  readonly kinds = new Map<string, number>();
  #agenda = new Agenda();
  #order = 0;
  #cuts = new Set<string>();
  #packer = new Packr({ useRecords: false });

  constructor(seed: number) {
    this.chance = new Chance(seed);
  }

  /** The cut between these two is over, whatever else is cut. */
  join(left: string, right: string): void {
    this.#cuts.delete(`${left}|${right}`);
    this.#cuts.delete(`${right}|${left}`);
  }

  get wall(): number {
    return 1_800_000_000_000 + this.now + this.wallStep;
  }

  at(moment: number, act: () => void): void {
    this.#order += 1;
    this.#agenda.add({ at: Math.max(moment, this.now), order: this.#order, act });
  }

  after(milliseconds: number, act: () => void): void {
    this.at(this.now + milliseconds, act);
  }

  run(until: number): void {
    for (;;) {
      const next = this.#agenda.next;
      if (next === undefined || next.at > until) break;
      this.#agenda.take();
      this.now = next.at;
      this.events += 1;
      next.act();
    }
    this.now = until;
  }

  cut(left: string, right: string): void {
    this.#cuts.add(`${left}|${right}`);
    this.#cuts.add(`${right}|${left}`);
  }

  isolate(address: string): void {
    for (const other of this.machines.keys()) if (other !== address) this.cut(address, other);
  }

  mend(): void {
    this.#cuts.clear();
  }

  isCut(left: string, right: string): boolean {
    return this.#cuts.has(`${left}|${right}`);
  }

  /** Loss, delay and reordering; bytes are copied, so machines share nothing. */
  send(from: string, to: string, message: unknown): void {
    this.messages += 1;
    const { kind } = message as { kind: string };
    this.kinds.set(kind, (this.kinds.get(kind) ?? 0) + 1);
    const held = this.watch?.(from, to, message) ?? 0;
    if (held === Number.POSITIVE_INFINITY || this.isCut(from, to) || this.chance.happens(this.loss))
      return;
    const bytes = this.#packer.pack(message);
    const self = this;
    function deliver(): void {
      if (self.isCut(from, to)) return;
      const machine = self.machines.get(to);
      if (machine === undefined || !machine.alive) return;
      function take(): void {
        machine!.arrived(self.#packer.unpack(bytes), from);
      }
      machine.mine(take)();
    }
    this.after(
      held +
        this.chance.between(0.3, this.chance.happens(0.02) ? this.delayMost * 10 : this.delayMost),
      deliver,
    );
  }
}
