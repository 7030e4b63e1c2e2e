import { constants, holdersOf, type ChainView, type Feed, type Sessions } from "@chutewick/parts";
import { keys } from "./keys.js";
import type { FleetRecord } from "./machine.js";

/**
 * Tracks addresses of known nodes that send no heartbeats. A node that starts at such an address may have settings that name only
 * control machines that are gone, so it finds the group only if the group contacts it (docs/design.md §13.8.4).
 */
export class SilentNodes {
  /** Monotonic time in ms at which some control machine last had a session with a node, by the node's address. */
  #lastSeenAt = new Map<string, number>();

  /** Addresses to contact now, according to the sessions and the control records. */
  addressesToContact(sessions: Sessions, feed: Feed, now: number): string[] {
    const live = new Set<string>();
    for (const kind of ["access", "storage"] as const)
      for (const { address } of sessions.live(kind, now)) live.add(address);
    return this.silent(live, recordedAddresses(feed), now);
  }

  /**
   * Addresses of the silent nodes.
   * @param live addresses of nodes with a live session
   * @param recorded addresses in the control records
   */
  silent(live: ReadonlySet<string>, recorded: Iterable<string>, now: number): string[] {
    for (const address of live) this.#lastSeenAt.set(address, now);
    for (const [address, seenAt] of this.#lastSeenAt)
      if (now - seenAt > constants.silentNodeRetentionMs) this.#lastSeenAt.delete(address);
    const silent: string[] = [];
    for (const address of new Set([...recorded, ...this.#lastSeenAt.keys()]))
      if (!live.has(address)) silent.push(address);
    return silent;
  }
}

/** Addresses of nodes in the control records: the fleet and the storage machines of each queue's view. */
export function recordedAddresses(feed: Feed): Set<string> {
  const addresses = new Set<string>(feed.read<FleetRecord>(keys.fleet)?.addresses ?? []);
  for (const [, view] of feed.under<ChainView>(keys.queue)) {
    for (const { address } of [...view.members, ...holdersOf(view)]) addresses.add(address);
    if (view.joiner !== undefined) addresses.add(view.joiner.address);
  }
  return addresses;
}
