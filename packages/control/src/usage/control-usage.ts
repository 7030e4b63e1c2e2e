/** Usage counts and the agreed clock on a control machine (docs/design.md §14.1, §14.2). */
import { AgreedTime, maxTransitMs, type Member } from "@chutewick/parts";
import type {
  ControlOutput,
  RegistryMessage,
  UsageMessage,
  UsageTakenMessage,
} from "../control-messages.js";
import { UsageLedger } from "./usage-ledger.js";

/** Processes the reports of access nodes and peers on usage and on their clocks, and acknowledges them. */
export class ControlUsage {
  readonly time = new AgreedTime();
  readonly ledger: UsageLedger;
  readonly #self: Member;
  /** Identifies this run of the process. */
  readonly #incarnation: string;
  /** The last known incarnation of each peer, by address. */
  readonly #peerIncarnations = new Map<string, string>();
  /** The last reading of the wall clock of this machine, in ms. */
  #wall = 0;
  /** The monotonic time in ms of that reading. */
  #wallReadAt = 0;

  /** @param window length of the windows in ms; undefined if no usage is reported */
  constructor(self: Member, incarnation: string, window: number | undefined) {
    this.#self = self;
    this.#incarnation = incarnation;
    this.ledger = new UsageLedger(this.time, window);
  }

  /** The wall-clock time of this machine, as sent to other machines. */
  wallAt(now: number): number {
    return Math.round(this.#wall + now - this.#wallReadAt);
  }

  tick(now: number, wall: number): void {
    this.#wall = wall;
    this.#wallReadAt = now;
    this.time.recordReading({ source: this.#self.address, wall, late: 0 }, now);
  }

  /**
   * Records the clock of a peer. A peer that has just started lacks the counts of nodes that are gone, so these are sent to it.
   */
  recordPeerClock(
    from: string,
    { stamp, back, wall }: RegistryMessage,
    isClosed: (incarnation: string) => boolean,
    now: number,
  ): ControlOutput[] {
    if (wall !== undefined)
      this.time.recordReading(
        { source: from, wall, late: maxTransitMs(back, this.#incarnation, now) },
        now,
      );
    if (stamp === undefined || this.#peerIncarnations.get(from) === stamp.life) return [];
    this.#peerIncarnations.set(from, stamp.life);
    return this.ledger.told(isClosed).map((message) => ({ kind: "send", to: from, message }));
  }

  /**
   * Records counts of an access node. Counts of a node that is gone come from a peer; those messages have number 0 and are not
   * acknowledged.
   */
  recordUsage(message: UsageMessage, from: string, now: number): ControlOutput[] {
    // Without the agreed time the counts cannot be stored; they must not be acknowledged, or they would never be sent again.
    if (this.ledger.windowAt(now) === undefined) return [];
    this.ledger.merge(message, now);
    const { since, upTo } = message;
    if (upTo === 0) return [];
    const acknowledgement: UsageTakenMessage = {
      kind: "usage-taken",
      life: this.#incarnation,
      since,
      upTo,
    };
    return [{ kind: "send", to: from, message: acknowledgement }];
  }
}
