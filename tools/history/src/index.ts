export * from "./history.js";
export * from "./specification.js";
export * from "./search.js";
export * from "./report.js";
export * from "./configuration-register.js";
export * from "./lot-log.js";
export * from "./replica-progress.js";
export * from "./configuration-history.js";
