import { constants, echoStamp, type RunnerRegistry, type ClockStamp } from "@chutewick/parts";
import type { RegistryMessage } from "./control-messages.js";

/** Timestamp received from another control machine. */
interface ReceivedStamp {
  readonly stamp: ClockStamp;
  /** Monotonic time in ms at which it was received. */
  readonly at: number;
}

/** Heartbeats between control machines; each echoes the peer's newest timestamp and may carry the registry (docs/design.md §7.5). */
export class PeerHeartbeats {
  readonly #incarnation: string;
  readonly #zone: string | undefined;
  /** Newest timestamp of each peer, by the peer's address. */
  readonly #stamps = new Map<string, ReceivedStamp>();
  /** Monotonic time in ms at which the last heartbeats were sent. */
  #sentAt = 0;
  /** Monotonic time in ms at which heartbeats last carried the registry. */
  #registrySentAt = Number.NEGATIVE_INFINITY;

  constructor(incarnation: string, zone: string | undefined) {
    this.#incarnation = incarnation;
    this.#zone = zone;
  }

  /** Records a peer's timestamp so that the next heartbeat echoes it; it is undefined from releases that send none. */
  recordStamp(from: string, stamp: ClockStamp | undefined, now: number): void {
    if (stamp !== undefined) this.#stamps.set(from, { stamp, at: now });
  }

  /** Whether heartbeats are due; if so, records them as sent now. */
  begin(now: number): boolean {
    if (now - this.#sentAt < constants.controlHeartbeatIntervalMs) return false;
    this.#sentAt = now;
    return true;
  }

  /**
   * Whether the heartbeats sent now carry the registry; if so, records it as sent. The size of the registry and the cost of reading
   * it grow with the fleet, so large fleets send it less often. Changes of a runner's state are broadcast separately at once.
   */
  beginRegistry(nodes: number, now: number): boolean {
    const stretched = (constants.controlHeartbeatIntervalMs * nodes) / constants.heartbeatFleetSize;
    const interval = Math.min(stretched, constants.maxPeerRegistryIntervalMs);
    if (now - this.#registrySentAt < interval) return false;
    this.#registrySentAt = now;
    return true;
  }

  /** Creates the heartbeat to a peer; `wall` is the wall-clock time of this machine in ms. */
  to(address: string, roll: RunnerRegistry, wall: number, now: number): RegistryMessage {
    const back = echoStamp(this.#stamps.get(address), now);
    const zone = this.#zone === undefined ? {} : { zone: this.#zone };
    const stamp = { life: this.#incarnation, at: now };
    return { kind: "roll", roll, ...zone, stamp, back, decidesDuties: true, wall };
  }
}
