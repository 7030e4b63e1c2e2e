export * from "./crew.js";
export * from "./registry.js";
