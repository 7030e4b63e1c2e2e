import { constants } from "@chutewick/parts";
import { Packr } from "msgpackr";
import { spent } from "./uses.js";

/** Real cores on one loop under virtual time: every message is packed as the wire packs it, and what each station does is timed. */
export interface Kept {
  count: number;
  bytes: number;
  /** ms of the processor, one by one. */
  readonly spans: number[];
}

/** part. Of the longest spans that are left out of a mean: they hold pauses of the machine and of memory collection. */
const leftOut = 0.05;

/** ms of the processor that one took. */
export function meanOf(kept: Kept | undefined): number {
  if (kept === undefined || kept.count === 0) return 0;
  const spans = [...kept.spans].sort(shorter);
  const count = Math.max(1, Math.floor(spans.length * (1 - leftOut)));
  let sum = 0;
  for (const span of spans.slice(0, count)) sum += span;
  return sum / count;
}

function shorter(left: number, right: number): number {
  return left - right;
}

export class Meter {
  sent = 0;
  sentBytes = 0;
  heard = 0;
  heardBytes = 0;
  /** ms of the processor, reading and packing included. */
  busy = 0;
  /** What was heard, by kind of message, and beats. */
  readonly kinds = new Map<string, Kept>();

  clear(): void {
    this.sent = 0;
    this.sentBytes = 0;
    this.heard = 0;
    this.heardBytes = 0;
    this.busy = 0;
    this.kinds.clear();
  }

  keep(kind: string, bytes: number, busy: number): void {
    const kept = this.kinds.get(kind) ?? { count: 0, bytes: 0, spans: [] };
    kept.count += 1;
    kept.bytes += bytes;
    kept.spans.push(busy);
    this.kinds.set(kind, kept);
    this.busy += busy;
  }
}

export abstract class Station {
  readonly bus: Bus;
  readonly address: string;
  readonly meter = new Meter();
  /** Hollow ones share their process with the rest: they read no bytes and are not timed. */
  readonly hollow: boolean;
  silent = false;

  constructor(bus: Bus, address: string, hollow: boolean) {
    this.bus = bus;
    this.address = address;
    this.hollow = hollow;
    bus.stations.set(address, this);
  }

  abstract receive(message: unknown, from: string): void;
  abstract strike(): void;
}

/** Bytes before each message on the wire: its length (packages/shell/src/wire.ts). */
const frameHead = 4;

export class Bus {
  now = 0;
  readonly stations = new Map<string, Station>();
  /** Bytes of the messages sent, by kind. */
  readonly sizes = new Map<string, { count: number; bytes: number }>();
  #packer = new Packr({ useRecords: false });
  #waiting: (() => void)[] = [];
  #agenda: { readonly at: number; readonly act: () => void }[] = [];

  get wall(): number {
    return 1_800_000_000_000 + this.now;
  }

  size(message: unknown): number {
    return this.#packer.pack(message).length + frameHead;
  }

  send(from: Station, to: string, message: unknown): void {
    const bytes = this.#packer.pack(message);
    const length = bytes.length + frameHead;
    from.meter.sent += 1;
    from.meter.sentBytes += length;
    const { kind } = message as { kind: string };
    const size = this.sizes.get(kind) ?? { count: 0, bytes: 0 };
    size.count += 1;
    size.bytes += length;
    this.sizes.set(kind, size);
    const station = this.stations.get(to);
    if (station === undefined || station.silent || from.silent) return;
    /** The packer's buffer is used again by the next message. */
    const held = station.hollow ? undefined : Buffer.from(bytes);
    const self = this;
    function deliver(): void {
      const start = spent();
      const told: unknown = held === undefined ? message : self.#packer.unpack(held);
      station!.receive(told, from.address);
      station!.meter.heard += 1;
      station!.meter.heardBytes += length;
      if (!station!.hollow) station!.meter.keep(kind, length, spent() - start);
    }
    this.#waiting.push(deliver);
  }

  /** Within this moment, after what is under way. */
  soon(act: () => void): void {
    this.#waiting.push(act);
  }

  after(milliseconds: number, act: () => void): void {
    this.#agenda.push({ at: this.now + milliseconds, act });
  }

  #drain(): void {
    for (let place = 0; place < this.#waiting.length; place += 1) this.#waiting[place]!();
    this.#waiting = [];
  }

  run(until: number): void {
    while (this.now < until) {
      this.now += constants.beatEvery;
      const due = this.#agenda.filter(isDue, { now: this.now });
      this.#agenda = this.#agenda.filter(isLater, { now: this.now });
      for (const { act } of due) {
        act();
        this.#drain();
      }
      for (const station of this.stations.values()) {
        const start = spent();
        station.strike();
        if (!station.hollow) station.meter.keep("beat", 0, spent() - start);
        this.#drain();
      }
    }
  }

  clear(): void {
    this.sizes.clear();
    for (const station of this.stations.values()) station.meter.clear();
  }
}

function isDue(this: { now: number }, each: { at: number }): boolean {
  return each.at <= this.now;
}

function isLater(this: { now: number }, each: { at: number }): boolean {
  return each.at > this.now;
}
