import { constants, type NodeCard } from "@chutewick/parts";
import type { FleetRecord } from "./machine.js";

/** What the head knows: the record in force, and its place in the feed. */
export interface KnownFleet {
  readonly record: FleetRecord | undefined;
  readonly place: number;
}

/**
 * Next fleet record, planned by the head of control (docs/design.md §7.4). Who is there is added and who was away for long, or stops
 * as planned, is left out; once a majority of the old and of the new has taken that, the old one is dropped.
 */
export class FleetPlan {
  /** The newest record seen here, and the place in the feed at which it was known. */
  #seen = { mark: 0, place: 0 };
  /** ms, by address. When a node was heard of that stays. */
  readonly #seenAt = new Map<string, number>();

  /** Undefined where nothing is to be changed, or the record in force is not taken yet. */
  next(
    { record: held, place }: KnownFleet,
    nodes: readonly NodeCard[],
    isInForce: (place: number) => boolean,
    now: number,
  ): FleetRecord | undefined {
    if (held !== undefined && held.mark !== this.#seen.mark)
      this.#seen = { mark: held.mark, place };
    const wanted = this.#wanted(held, nodes, now);
    const addresses = held?.addresses ?? [];
    const isSame = wanted.size === addresses.length && addresses.every(isWithin, wanted);
    if (isSame && (held?.previous.length ?? 0) === 0) return undefined;
    if (held !== undefined && !isInForce(this.#seen.place)) return undefined;
    return {
      mark: (held?.mark ?? 0) + 1,
      addresses: [...wanted].sort(),
      previous: isSame ? [] : addresses,
    };
  }

  #wanted(held: FleetRecord | undefined, nodes: readonly NodeCard[], now: number): Set<string> {
    const wanted = new Set<string>();
    for (const { address, leaving } of nodes) if (!leaving) wanted.add(address);
    for (const { address } of nodes)
      this.#seenAt.set(address, wanted.has(address) ? now : Number.NEGATIVE_INFINITY);
    for (const address of held?.addresses ?? []) {
      const seenAt = this.#seenAt.get(address) ?? now;
      this.#seenAt.set(address, seenAt);
      if (now - seenAt < constants.fleetForgets) wanted.add(address);
    }
    return wanted;
  }
}

function isWithin(this: ReadonlySet<string>, address: string): boolean {
  return this.has(address);
}
