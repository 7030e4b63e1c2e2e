import { constants, holdersOf, type ChainView, type Feed, type Sessions } from "@chutewick/parts";
import { keys } from "./keys.js";
import type { FleetRecord } from "./machine.js";

/**
 * Addresses at which a node was known and none is heard now. A node that starts there may have settings that name only control
 * machines that are gone, so it can find the group only if the group calls it (docs/design.md §13.8.4).
 */
export class SilentNodes {
  /** ms. When a node at the address was last heard by some control machine. */
  #heardAt = new Map<string, number>();

  /** Addresses to call now, by the sessions and the control records. */
  toCall(sessions: Sessions, feed: Feed, now: number): string[] {
    const live = new Set<string>();
    for (const kind of ["access", "storage"] as const)
      for (const { address } of sessions.live(kind, now)) live.add(address);
    return this.silent(live, recordedNodes(feed), now);
  }

  /**
   * Whom to call now.
   * @param live addresses of nodes that have a session
   * @param recorded addresses that control state names
   */
  silent(live: ReadonlySet<string>, recorded: Iterable<string>, now: number): string[] {
    for (const address of live) this.#heardAt.set(address, now);
    for (const [address, heardAt] of this.#heardAt)
      if (now - heardAt > constants.silentNodeRemembered) this.#heardAt.delete(address);
    const silent: string[] = [];
    for (const address of new Set([...recorded, ...this.#heardAt.keys()]))
      if (!live.has(address)) silent.push(address);
    return silent;
  }
}

/** Addresses of nodes that control state names: the fleet, and the storage machines of each queue's view. */
export function recordedNodes(feed: Feed): Set<string> {
  const addresses = new Set<string>(feed.read<FleetRecord>(keys.fleet)?.addresses ?? []);
  for (const [, view] of feed.under<ChainView>(keys.queue)) {
    for (const { address } of [...view.members, ...holdersOf(view)]) addresses.add(address);
    if (view.joiner !== undefined) addresses.add(view.joiner.address);
  }
  return addresses;
}
