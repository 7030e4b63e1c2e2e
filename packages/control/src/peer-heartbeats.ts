import { constants, giveBack, type RunnerRegistry, type Stamp } from "@chutewick/parts";
import type { RegistryMessage } from "./control-messages.js";

/** A stamp of another control machine, and when it arrived here. */
interface HeardStamp {
  readonly stamp: Stamp;
  /** ms. */
  readonly at: number;
}

/** Heartbeats between control machines: they give back the peer's newest stamp and carry the registry (docs/design.md §7.5). */
export class PeerHeartbeats {
  readonly #life: string;
  readonly #zone: string | undefined;
  /** The newest stamp of each peer, by its address. */
  readonly #stamps = new Map<string, HeardStamp>();
  /** ms. */
  #sentAt = 0;
  /** ms. When a heartbeat carried the registry last. */
  #registrySentAt = Number.NEGATIVE_INFINITY;

  constructor(life: string, zone: string | undefined) {
    this.#life = life;
    this.#zone = zone;
  }

  /** Takes a peer's stamp, to be given back; releases that know none send none. */
  heard(from: string, stamp: Stamp | undefined, now: number): void {
    if (stamp !== undefined) this.#stamps.set(from, { stamp, at: now });
  }

  /** Whether heartbeats are due; if so, they count as sent now. */
  begin(now: number): boolean {
    if (now - this.#sentAt < constants.greetEvery) return false;
    this.#sentAt = now;
    return true;
  }

  /**
   * Whether the heartbeats that are sent now carry the registry, which counts as sent then. Its size and what it costs to read
   * grow with the fleet, so in large fleets not each of them does; what is news of a runner is told at once beside it.
   */
  beginRegistry(nodes: number, now: number): boolean {
    const stretched = (constants.greetEvery * nodes) / constants.sessionNodes;
    const every = Math.min(stretched, constants.peerRegistryEveryMost);
    if (now - this.#registrySentAt < every) return false;
    this.#registrySentAt = now;
    return true;
  }

  /** Heartbeat to a peer; wall in ms, by the clock of this machine. */
  to(address: string, roll: RunnerRegistry, wall: number, now: number): RegistryMessage {
    const back = giveBack(this.#stamps.get(address), now);
    const zone = this.#zone === undefined ? {} : { zone: this.#zone };
    const stamp = { life: this.#life, at: now };
    return { kind: "roll", roll, ...zone, stamp, back, decidesDuties: true, wall };
  }
}
