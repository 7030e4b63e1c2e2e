export * from "./runner.js";
