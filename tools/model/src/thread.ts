import { register } from "node:module";
import { parentPort, workerData } from "node:worker_threads";
import type { Cut } from "@chutewick/simulator/without";
import type { Job } from "./job.js";

/** A thread of the checker: first the loader, then everything that loads the product. */
const { job, cuts } = workerData as { job: Job; cuts: readonly Cut[] };
register("./loader.js", import.meta.url, { data: { cuts } });
const { explore } = await import("./explorer.js");
parentPort!.postMessage(explore(job));
