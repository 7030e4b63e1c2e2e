import { constants, majority, votersOf, type EchoedStamp, type ChainView } from "@chutewick/parts";

/**
 * Tracks whether a control machine can reach a majority of the group, by heartbeat round trips on its own monotonic clock. A peer
 * counts as reached as of the time at which the heartbeat that it echoed was sent. So neither a network failure in one direction
 * nor messages that were queued while this process was suspended are mistaken for contact (docs/control-safety.md).
 */
export class QuorumContact {
  readonly #address: string;
  readonly #incarnation: string;
  /** Monotonic time in ms at which the newest heartbeat that a peer echoed was sent, by the peer's address. */
  readonly #sentAt = new Map<string, number>();

  constructor(address: string, incarnation: string) {
    this.#address = address;
    this.#incarnation = incarnation;
  }

  /** Records a heartbeat of a peer; `back` echoes our newest heartbeat and is undefined from releases that echo none. */
  recordHeartbeat(address: string, back: EchoedStamp | null | undefined, now: number): void {
    const sentAt = this.#sentAtOf(back, now);
    if (sentAt === undefined) return;
    this.#sentAt.set(address, Math.max(sentAt, this.#sentAt.get(address) ?? sentAt));
  }

  #sentAtOf(back: EchoedStamp | null | undefined, now: number): number | undefined {
    if (back === undefined) return now;
    if (back === null || back.life !== this.#incarnation) return undefined;
    return back.at;
  }

  /** Whether a majority of the voters had a successful round trip within `controlContactTimeoutMs`. */
  hasQuorum(view: ChainView | undefined, now: number): boolean {
    if (view === undefined) return false;
    let reached = 0;
    for (const { address } of votersOf(view)) if (this.#isReached(address, now)) reached += 1;
    return reached >= majority(view);
  }

  #isReached(address: string, now: number): boolean {
    if (address === this.#address) return true;
    return (
      now - (this.#sentAt.get(address) ?? Number.NEGATIVE_INFINITY) <=
      constants.controlContactTimeoutMs
    );
  }
}
