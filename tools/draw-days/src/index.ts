export * from "./catalogue.js";
export * from "./coverage.js";
export * from "./draw.js";
export * from "./recovery.js";
export * from "./variants.js";
