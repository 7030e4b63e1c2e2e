/** How often a node sends its heartbeats to control (docs/design.md §4.2). */
import { constants } from "@chutewick/parts";

/**
 * ms between two heartbeats of a node in a fleet of so many nodes. What the heartbeats of all nodes cost a control machine grows
 * with their number, so large fleets send them more seldom; a lease still outlives three of them.
 */
export function heartbeatInterval(nodes: number): number {
  const stretched = (constants.sessionEvery * nodes) / constants.sessionNodes;
  return Math.min(Math.max(stretched, constants.sessionEvery), constants.sessionEveryMost);
}
