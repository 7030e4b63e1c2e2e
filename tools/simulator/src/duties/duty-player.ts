import { register } from "node:module";
import { parentPort, workerData } from "node:worker_threads";
import type { Cut } from "../without.js";
import type { DutyPlay } from "./duty-rounds.js";

/** A thread that plays the model of duties, on the product whole or with a guard taken out. */
const { cuts } = workerData as { cuts: readonly Cut[] };
if (cuts.length > 0) register("../without.js", import.meta.url, { data: { cuts } });
const { playDuties } = await import("./duty-rounds.js");

function told(play: DutyPlay): void {
  parentPort!.postMessage(playDuties(play));
}
parentPort!.on("message", told);
parentPort!.postMessage("ready");
