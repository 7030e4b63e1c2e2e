/** Usage and agreed time at a control machine (docs/design.md §14.1, §14.2). */
import { AgreedTime, lateness, type Member } from "@chutewick/parts";
import type {
  ControlOutput,
  RegistryMessage,
  UsageMessage,
  UsageTakenMessage,
} from "../control-messages.js";
import { UsageLedger } from "./usage-ledger.js";

/** Takes what access nodes and peers tell of usage and of their clocks, and answers them. */
export class ControlUsage {
  readonly time = new AgreedTime();
  readonly ledger: UsageLedger;
  readonly #self: Member;
  /** Of this process. */
  readonly #life: string;
  /** Life of each peer by its address. */
  readonly #peerLives = new Map<string, string>();
  /** ms. The wall clock of this machine at a monotonic moment. */
  #wall = 0;
  #wallReadAt = 0;

  /** The length of windows in ms; undefined where no usage is reported. */
  constructor(self: Member, life: string, window: number | undefined) {
    this.#self = self;
    this.#life = life;
    this.ledger = new UsageLedger(this.time, window);
  }

  /** The wall clock of this machine, as it is told to others. */
  wallAt(now: number): number {
    return Math.round(this.#wall + now - this.#wallReadAt);
  }

  beat(now: number, wall: number): void {
    this.#wall = wall;
    this.#wallReadAt = now;
    this.time.heard({ source: this.#self.address, wall, late: 0 }, now);
  }

  /** Takes the clock of a peer. One that has just started lacks the counts of nodes that are gone: those are told to it. */
  heardPeer(
    from: string,
    { stamp, back, wall }: RegistryMessage,
    isOver: (life: string) => boolean,
    now: number,
  ): ControlOutput[] {
    if (wall !== undefined)
      this.time.heard({ source: from, wall, late: lateness(back, this.#life, now) }, now);
    if (stamp === undefined || this.#peerLives.get(from) === stamp.life) return [];
    this.#peerLives.set(from, stamp.life);
    return this.ledger.told(isOver).map((message) => ({ kind: "send", to: from, message }));
  }

  /** Takes counts of an access node, or of one that is gone from a peer, whose messages are numbered 0 and not acknowledged. */
  take(message: UsageMessage, from: string, now: number): ControlOutput[] {
    /** Without the time no window can be kept, and what is acknowledged is never told again. */
    if (this.ledger.windowAt(now) === undefined) return [];
    this.ledger.take(message, now);
    const { since, upTo } = message;
    if (upTo === 0) return [];
    const taken: UsageTakenMessage = { kind: "usage-taken", life: this.#life, since, upTo };
    return [{ kind: "send", to: from, message: taken }];
  }
}
