import type { Configuration } from "@chutewick/control";

/** Host of all passages of the simulated worlds. */
export const HOST = "a.example";
export const POOL = "readers";

/** ms. The longest that one live call is held. */
export const CALL_GUARD = 3_000;

export type CallKind = "once" | "safe" | "stream";
export const callKinds: readonly CallKind[] = ["once", "safe", "stream"];

const passages = {
  slips: { ...common("/slips/"), kind: "lot", goesMost: 3 },
  once: { ...common("/once/"), kind: "once", goesMost: 3 },
  safe: { ...common("/safe/"), kind: "safe", goesMost: 3 },
  stream: { ...common("/stream/"), kind: "stream", goesMost: 3, resumable: true },
};

/** Of a way that nobody calls; its label names the order that wrote the configuration. */
const ORDER_WAY = "order";
const ORDER_LABEL = "order";

/** What an order writes: one pool with lots and live calls of each kind, and the order's own name. */
export function configurationOf(order: string): unknown {
  return {
    pools: { [POOL]: { models: ["m1"] } },
    passages,
    ways: { [ORDER_WAY]: { kind: "fetch", labels: { [ORDER_LABEL]: order } } },
  };
}

/** The order that wrote a configuration; undefined for the one before any order. */
export function orderIn({ ways }: Configuration): string | undefined {
  return ways[ORDER_WAY]?.labels[ORDER_LABEL];
}

function common(prefix: string) {
  return { host: HOST, prefix, pools: [{ pool: POOL, weight: 1 }], guard: CALL_GUARD };
}
