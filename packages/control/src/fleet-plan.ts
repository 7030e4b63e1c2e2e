import { constants, type NodeDescriptor } from "@chutewick/parts";
import type { FleetRecord } from "./machine.js";

/** The fleet record that the head knows, and the log index of its feed. */
export interface CurrentFleet {
  readonly record: FleetRecord | undefined;
  readonly place: number;
}

/**
 * Computes the next fleet record for the head of the control group (docs/design.md §7.4). Nodes with a live session are added; nodes
 * that were absent for a long time or are stopping are removed. The previous addresses are dropped as soon as a majority of both the
 * previous and the new fleet has accepted the change.
 */
export class FleetPlan {
  /** Version of the newest record seen here, and the log index at which it was first seen. */
  #newest = { mark: 0, place: 0 };
  /** Monotonic time in ms at which a node that isn't stopping was last seen, by address. */
  readonly #lastSeenAt = new Map<string, number>();

  /** Next fleet record; undefined if nothing changes or the current record has not been accepted yet. */
  next(
    { record: current, place }: CurrentFleet,
    nodes: readonly NodeDescriptor[],
    isInForce: (place: number) => boolean,
    now: number,
  ): FleetRecord | undefined {
    if (current !== undefined && current.mark !== this.#newest.mark)
      this.#newest = { mark: current.mark, place };
    const next = this.#nextAddresses(current, nodes, now);
    const addresses = current?.addresses ?? [];
    const isSame = next.size === addresses.length && addresses.every(isIn, next);
    if (isSame && (current?.previous.length ?? 0) === 0) return undefined;
    if (current !== undefined && !isInForce(this.#newest.place)) return undefined;
    return {
      mark: (current?.mark ?? 0) + 1,
      addresses: [...next].sort(),
      previous: isSame ? [] : addresses,
    };
  }

  #nextAddresses(
    current: FleetRecord | undefined,
    nodes: readonly NodeDescriptor[],
    now: number,
  ): Set<string> {
    const next = new Set<string>();
    for (const { address, leaving } of nodes) if (!leaving) next.add(address);
    for (const { address } of nodes)
      this.#lastSeenAt.set(address, next.has(address) ? now : Number.NEGATIVE_INFINITY);
    for (const address of current?.addresses ?? []) {
      const seenAt = this.#lastSeenAt.get(address) ?? now;
      this.#lastSeenAt.set(address, seenAt);
      if (now - seenAt < constants.fleetAddressRetentionMs) next.add(address);
    }
    return next;
  }
}

function isIn(this: ReadonlySet<string>, address: string): boolean {
  return this.has(address);
}
