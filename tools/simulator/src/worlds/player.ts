import { register } from "node:module";
import { parentPort, workerData } from "node:worker_threads";
import type { Cut } from "../without.js";
import type { WorldPlay } from "./registry.js";

/** A thread that plays seeds of worlds, on the product whole or with a guard taken out. */
const { cuts } = workerData as { cuts: readonly Cut[] };
if (cuts.length > 0) register("../without.js", import.meta.url, { data: { cuts } });
const { playWorld } = await import("./registry.js");

parentPort!.on("message", (play: WorldPlay) => parentPort!.postMessage(playWorld(play)));
parentPort!.postMessage("ready");
