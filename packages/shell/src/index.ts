export * from "./beat.js";
export * from "./disk.js";
export * from "./errors.js";
export * from "./gateway.js";
export * from "./log.js";
export * from "./settings.js";
export * from "./wire.js";
export * from "./program.js";
