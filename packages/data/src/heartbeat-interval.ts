/** Interval of the heartbeats that a node sends to the control group (docs/design.md §4.2). */
import { constants } from "@chutewick/parts";

/**
 * Returns the heartbeat interval in ms for a fleet with the given number of nodes. The load of the heartbeats on a control
 * machine grows with the number of nodes, so nodes of a large fleet send them less often; a lease still lasts longer than
 * three intervals.
 */
export function heartbeatInterval(nodes: number): number {
  const scaledInterval = (constants.heartbeatIntervalMs * nodes) / constants.heartbeatFleetSize;
  return Math.min(
    Math.max(scaledInterval, constants.heartbeatIntervalMs),
    constants.maxHeartbeatIntervalMs,
  );
}
