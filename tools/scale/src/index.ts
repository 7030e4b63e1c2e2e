export * from "./rows.js";
export * from "./run.js";
export * from "./size.js";
export * from "./slope.js";
