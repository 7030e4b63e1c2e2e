export * from "./duty-platform.js";
export * from "./duty-rounds.js";
export * from "./duty-rules.js";
export * from "./duty-plays.js";
export * from "./duty-deployment.js";
