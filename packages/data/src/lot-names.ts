/** Names of lots: each holds the name of its queue, so that the lot's owner can be found by it. */
import { createHash } from "node:crypto";

const SEPARATOR = "~";
const DIGEST_CHARACTERS = 22;

/** Made of the caller's key, so that a lot can be looked up even when no answer was heard. */
export function lotName(queue: string, routeName: string, key: string): string {
  const digest = createHash("sha256").update(`${routeName}\u0000${key}`).digest("base64url");
  return `${queue}${SEPARATOR}${digest.slice(0, DIGEST_CHARACTERS)}`;
}

/** The queue that a lot's name tells; undefined where it is no name of a lot. */
export function queueOfLot(lot: string): string | undefined {
  const end = lot.indexOf(SEPARATOR);
  return end <= 0 ? undefined : lot.slice(0, end);
}
