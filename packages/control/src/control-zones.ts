import type { Member } from "@chutewick/parts";

/** Zones of the control machines, as reported in their heartbeats (docs/design.md §13.8.7). */
export class ControlZones {
  readonly #ownZone: string | undefined;
  readonly #ownAddress: string;
  readonly #zones = new Map<string, string>();

  constructor({ address }: Member, zone: string | undefined) {
    this.#ownAddress = address;
    this.#ownZone = zone;
  }

  /** Records the zone that a peer reported in its heartbeat. */
  setZone(from: string, zone: string | undefined): void {
    if (zone === undefined) this.#zones.delete(from);
    else this.#zones.set(from, zone);
  }

  /** Zone of the control machine at an address; undefined if unknown. */
  at(address: string): string | undefined {
    return address === this.#ownAddress ? this.#ownZone : this.#zones.get(address);
  }
}
