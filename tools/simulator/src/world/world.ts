import { policy, type Policy } from "@chutewick/parts";
import { Packr } from "msgpackr";
import { Agenda } from "./agenda.js";
import { Chance } from "./chance.js";

/** Share of messages that are held up, and how many times longer than the others at most. */
const SLOW_SHARE = 0.02;
const SLOW_FACTOR = 10;
/** ms that a message takes at least. */
const DELAY_LEAST = 0.3;
/** ms since the epoch of the wall clock at the start. */
const WALL_START = 1_800_000_000_000;

/** A machine as the network sees it. */
export interface Receiver {
  readonly alive: boolean;
  /** Work of its present life: held while it is frozen, dropped when it is dead. */
  mine(act: () => void): () => void;
  arrived(message: unknown, from: string): void;
}

/** Virtual time, one seed, a network, and what it does to messages (docs/testing.md §3). */
export class World {
  readonly chance: Chance;
  readonly machines = new Map<string, Receiver>();
  /** ms of virtual time since the start. */
  now = 0;
  /** Share of all messages between machines that is lost. */
  loss = 0;
  /** ms that most messages take at most. */
  delayMost = 3;
  /** ms by which the wall clock of all machines was stepped. */
  wallStep = 0;
  /** What every machine is told of its deployment. */
  policy: Policy = policy.defaults;
  /** ms that a disk takes to sync. */
  syncTakes: readonly [least: number, most: number] = [0.2, 2];
  /** What happened so far, counted. */
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

  /** ms since the epoch. */
  get wall(): number {
    return WALL_START + this.now + this.wallStep;
  }

  /** Acts at a moment, or now where that is over. */
  at(moment: number, act: () => void): void {
    this.#order += 1;
    this.#agenda.add({ at: Math.max(moment, this.now), order: this.#order, act });
  }

  /** Acts after so many ms. */
  after(milliseconds: number, act: () => void): void {
    this.at(this.now + milliseconds, act);
  }

  /** Lets all happen that is to come until a moment. */
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

  /** Neither hears the other from now on; what is on its way is lost. */
  cut(left: string, right: string): void {
    this.#cuts.add(`${left}|${right}`);
    this.#cuts.add(`${right}|${left}`);
  }

  /** Cuts an address from all machines. */
  isolate(address: string): void {
    for (const other of this.machines.keys()) if (other !== address) this.cut(address, other);
  }

  /** All cuts are over. */
  mend(): void {
    this.#cuts.clear();
  }

  /** Whether these two are cut from each other. */
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
    const isSlow = this.chance.happens(SLOW_SHARE);
    const delayMost = isSlow ? this.delayMost * SLOW_FACTOR : this.delayMost;
    const delay = this.chance.between(DELAY_LEAST, delayMost);
    this.after(held + delay, () => this.#deliver(from, to, bytes));
  }

  #deliver(from: string, to: string, bytes: Buffer): void {
    if (this.isCut(from, to)) return;
    const machine = this.machines.get(to);
    if (machine === undefined || !machine.alive) return;
    machine.mine(() => machine.arrived(this.#packer.unpack(bytes), from))();
  }
}
