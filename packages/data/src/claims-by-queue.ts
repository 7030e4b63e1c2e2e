/** Groups claims by their queues, for the signs of life that their owners are sent (docs/design.md §5.4). */
import type { Claim } from "@chutewick/parts";

/** A claim with the queue that it was drawn from. */
export type QueueClaim = readonly [queue: string, claim: Claim];

/** Queues and claims stay in the order in which they first come. */
export function groupByQueue(claims: Iterable<QueueClaim>): Map<string, Claim[]> {
  const groups = new Map<string, Claim[]>();
  for (const [queue, claim] of claims) {
    const group = groups.get(queue);
    if (group === undefined) groups.set(queue, [claim]);
    else group.push(claim);
  }
  return groups;
}
