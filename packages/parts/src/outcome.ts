/** Outcomes are values; only a broken invariant stops the process (docs/design.md §11). */
export type Outcome<Value> =
  { readonly ok: true; readonly value: Value } | { readonly ok: false; readonly reason: string };

/** Success with its value. */
function good<Value>(value: Value): Outcome<Value> {
  return { ok: true, value };
}

/** Expected failure with a reason for people to read. */
function bad<Value>(reason: string): Outcome<Value> {
  return { ok: false, reason };
}

/** Numbers a name the same way on every machine: FNV-1a, then a final mix. */
function spread(text: string): number {
  let state = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    state ^= text.charCodeAt(index);
    state = Math.imul(state, 0x01000193);
  }
  state ^= state >>> 16;
  state = Math.imul(state, 0x85ebca6b);
  state ^= state >>> 13;
  return state >>> 0;
}

/** Ranks the live holders of a key: each key prefers its own order, so a loss moves only what it held (§8). */
function rank(key: string, holders: readonly string[]): string[] {
  const weighed: [number, string][] = [];
  for (const holder of holders) weighed.push([spread(`${key}\u0000${holder}`), holder]);
  weighed.sort(heavier);
  const ranked: string[] = [];
  for (const [, holder] of weighed) ranked.push(holder);
  return ranked;
}

function heavier(left: [number, string], right: [number, string]): number {
  return right[0] - left[0] || (left[1] < right[1] ? -1 : 1);
}

export const outcome = { good, bad };
export const duty = { spread, rank };
