import { constants, majority, votersOf, type Back, type ChainView } from "@chutewick/parts";

/**
 * Contact of a control machine with the others, measured by round trips of heartbeats on its own monotonic clock: a peer
 * counts from the moment at which the heartbeat was sent that it gave back. Neither a one-way cut nor messages that waited
 * while this process was frozen can pass for contact (docs/control-safety.md).
 */
export class QuorumContact {
  readonly #address: string;
  readonly #life: string;
  /** ms, by address of the peer. When the newest heartbeat that it gave back was sent from here. */
  readonly #sentAt = new Map<string, number>();

  constructor(address: string, life: string) {
    this.#address = address;
    this.#life = life;
  }

  /** A heartbeat of a peer; `back` is the newest one of ours that it had got, undefined from releases that give none back. */
  heard(address: string, back: Back | null | undefined, now: number): void {
    const sentAt = this.#sentAtOf(back, now);
    if (sentAt === undefined) return;
    this.#sentAt.set(address, Math.max(sentAt, this.#sentAt.get(address) ?? sentAt));
  }

  #sentAtOf(back: Back | null | undefined, now: number): number | undefined {
    if (back === undefined) return now;
    if (back === null || back.life !== this.#life) return undefined;
    return back.at;
  }

  /** Whether a majority of those who agree on views was reached, and answered, within `contactLasts`. */
  hasQuorum(view: ChainView | undefined, now: number): boolean {
    if (view === undefined) return false;
    let reached = 0;
    for (const { address } of votersOf(view)) if (this.#isReached(address, now)) reached += 1;
    return reached >= majority(view);
  }

  #isReached(address: string, now: number): boolean {
    if (address === this.#address) return true;
    return now - (this.#sentAt.get(address) ?? Number.NEGATIVE_INFINITY) <= constants.contactLasts;
  }
}
