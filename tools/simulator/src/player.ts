import { register } from "node:module";
import { parentPort, workerData } from "node:worker_threads";
import type { Cut } from "./without.js";
import type { Play } from "./crew.js";

/** One of the crew's threads: plays what it is told, on the product whole or with a guard taken out. */
const { cuts } = workerData as { cuts: readonly Cut[] };
if (cuts.length > 0) register("./without.js", import.meta.url, { data: { cuts } });
const { play } = await import("./play.js");

async function told(one: Play): Promise<void> {
  parentPort!.postMessage(await play(one));
}
parentPort!.on("message", (one: Play) => void told(one));
parentPort!.postMessage("ready");
