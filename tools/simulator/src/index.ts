export * from "./campaign.js";
export * from "./checker.js";
export * from "./world.js";
export * from "./measure.js";
export * from "./pass-play.js";
export * from "./crew.js";
export * from "./proof.js";
export { aims } from "./aims.js";
export { guards, rows } from "./guards.js";
