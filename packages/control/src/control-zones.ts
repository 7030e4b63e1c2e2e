import type { Member } from "@chutewick/parts";

/** Zones of the control machines, as their heartbeats told (docs/design.md §13.8.7). */
export class ControlZones {
  readonly #own: string | undefined;
  readonly #ownAddress: string;
  readonly #zones = new Map<string, string>();

  constructor({ address }: Member, zone: string | undefined) {
    this.#ownAddress = address;
    this.#own = zone;
  }

  /** Takes the zone that a peer told of itself. */
  heard(from: string, zone: string | undefined): void {
    if (zone === undefined) this.#zones.delete(from);
    else this.#zones.set(from, zone);
  }

  /** Zone of the machine at an address; undefined where it is not known. */
  at(address: string): string | undefined {
    return address === this.#ownAddress ? this.#own : this.#zones.get(address);
  }
}
