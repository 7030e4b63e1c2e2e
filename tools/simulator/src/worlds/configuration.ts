/** Host of all passages of the simulated worlds. */
export const HOST = "a.example";
export const POOL = "readers";

/** ms. The longest that one live call is held. */
export const CALL_GUARD = 3_000;

export type CallKind = "once" | "safe" | "stream";
export const callKinds: readonly CallKind[] = ["once", "safe", "stream"];

/** One pool with lots and live calls of each kind. */
export const worldConfiguration = {
  pools: { [POOL]: { models: ["m1"] } },
  passages: {
    slips: { ...common("/slips/"), kind: "lot", goesMost: 3 },
    once: { ...common("/once/"), kind: "once", goesMost: 3 },
    safe: { ...common("/safe/"), kind: "safe", goesMost: 3 },
    stream: { ...common("/stream/"), kind: "stream", goesMost: 3, resumable: true },
  },
};

function common(prefix: string) {
  return { host: HOST, prefix, pools: [{ pool: POOL, weight: 1 }], guard: CALL_GUARD };
}
