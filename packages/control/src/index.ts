export * from "./configuration.js";
export * from "./machine.js";
export * from "./core.js";
export * from "./pace.js";
export * from "./calendar.js";
export * from "./explain.js";
export * from "./service.js";
export * from "./control-desk.js";
