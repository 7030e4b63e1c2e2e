/** The queues of lots of passages that a node knows. */
import type { ChainView } from "@chutewick/parts";
import { configuration, keys } from "@chutewick/control";
import type { Membership } from "./membership.js";

/** Queues that hold items of passages, by the views that this node has received. */
export function knownPoolQueues({ follower }: Pick<Membership, "follower">): string[] {
  const queues: string[] = [];
  for (const [key] of follower.under<ChainView>(keys.queue)) {
    const queue = key.slice(keys.queue.length);
    if (configuration.isPoolQueue(queue)) queues.push(queue);
  }
  return queues;
}
