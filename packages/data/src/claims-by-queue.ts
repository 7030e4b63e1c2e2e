/** Groups claims by queue, for the heartbeats that are sent to the owners of the queues (docs/design.md §5.4). */
import type { Claim } from "@chutewick/parts";

/** A claim with the queue that it was dequeued from. */
export type QueueClaim = readonly [queue: string, claim: Claim];

/** Queues and claims keep the order of their first occurrence. */
export function groupByQueue(claims: Iterable<QueueClaim>): Map<string, Claim[]> {
  const groups = new Map<string, Claim[]>();
  for (const [queue, claim] of claims) {
    const group = groups.get(queue);
    if (group === undefined) groups.set(queue, [claim]);
    else group.push(claim);
  }
  return groups;
}
