export { guardJob, runJob, usualJob, type Job } from "./job.js";
export { guardRows, type GuardRow } from "./guards.js";
export type { Report } from "./explorer.js";
