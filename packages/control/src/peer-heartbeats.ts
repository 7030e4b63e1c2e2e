import { constants, giveBack, type RunnerRegistry, type Stamp } from "@chutewick/parts";
import type { RegistryMessage } from "./control-messages.js";

/** A stamp of another control machine, and when it arrived here. */
interface HeardStamp {
  readonly stamp: Stamp;
  /** ms. */
  readonly at: number;
}

/** Heartbeats between control machines: each carries the registry and gives back the peer's newest stamp (docs/design.md §7.5). */
export class PeerHeartbeats {
  readonly #life: string;
  readonly #zone: string | undefined;
  /** The newest stamp of each peer, by its address. */
  readonly #stamps = new Map<string, HeardStamp>();
  /** ms. */
  #sentAt = 0;

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

  /** Heartbeat to a peer. */
  to(address: string, roll: RunnerRegistry, now: number): RegistryMessage {
    const back = giveBack(this.#stamps.get(address), now);
    const zone = this.#zone === undefined ? {} : { zone: this.#zone };
    return { kind: "roll", roll, ...zone, stamp: { life: this.#life, at: now }, back };
  }
}
