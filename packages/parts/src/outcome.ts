/** Results of operations, and rendezvous hashing of keys to nodes. */

/** Result of an operation that can fail. Expected failures are values; only a violated invariant stops the process (docs/design.md §11). */
export type Outcome<Value> =
  { readonly ok: true; readonly value: Value } | { readonly ok: false; readonly reason: string };

/** Successful result. */
function success<Value>(value: Value): Outcome<Value> {
  return { ok: true, value };
}

/** Expected failure, with a human-readable reason. */
function failure<Value>(reason: string): Outcome<Value> {
  return { ok: false, reason };
}

/** 32-bit hash that is the same on every machine: FNV-1a with a final mixing step. */
function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    hash ^= text.charCodeAt(index);
    hash = Math.imul(hash, 0x01000193);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  return hash >>> 0;
}

/** Orders the live holders of a key by rendezvous hashing, so that the loss of a holder moves only its own keys (docs/design.md §8). */
function rankHolders(key: string, holders: readonly string[]): string[] {
  const weightedHolders: [number, string][] = [];
  for (const holder of holders) weightedHolders.push([hashText(`${key}\u0000${holder}`), holder]);
  weightedHolders.sort(byDescendingWeight);
  const ranked: string[] = [];
  for (const [, holder] of weightedHolders) ranked.push(holder);
  return ranked;
}

function byDescendingWeight(left: [number, string], right: [number, string]): number {
  return right[0] - left[0] || (left[1] < right[1] ? -1 : 1);
}

export const outcome = { success, failure };
export const rendezvous = { hash: hashText, rank: rankHolders };
