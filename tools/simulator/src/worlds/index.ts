export * from "./crew.js";
export * from "./registry.js";
export { Site } from "./site.js";
