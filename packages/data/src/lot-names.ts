/** Names of lots (batch jobs). A name contains the name of the queue, so that the owner of the lot can be found by it. */
import { createHash } from "node:crypto";

/** Between the name of the queue and the digest. */
const SEPARATOR = "~";
const DIGEST_LENGTH = 22;

/** The name is derived from the caller's key, so that a caller who got no reply can still look the lot up. */
export function lotName(queue: string, routeName: string, key: string): string {
  const digest = createHash("sha256").update(`${routeName}\u0000${key}`).digest("base64url");
  return `${queue}${SEPARATOR}${digest.slice(0, DIGEST_LENGTH)}`;
}

/** The queue in the name of a lot; undefined if the text is not the name of a lot. */
export function queueOfLot(lot: string): string | undefined {
  const separatorIndex = lot.indexOf(SEPARATOR);
  return separatorIndex <= 0 ? undefined : lot.slice(0, separatorIndex);
}
