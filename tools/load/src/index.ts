export * from "./load.js";
