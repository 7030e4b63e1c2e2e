import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

let collect: (() => void) | undefined;

function collected(): number {
  if (collect === undefined) {
    setFlagsFromString("--expose-gc");
    collect = runInNewContext("gc") as () => void;
  }
  collect();
  collect();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/** Bytes that stay held by what is built. */
export function heldBy(build: () => unknown): number {
  const before = collected();
  const kept: unknown[] = [build()];
  const after = collected();
  kept.length = 0;
  return Math.max(0, after - before);
}
