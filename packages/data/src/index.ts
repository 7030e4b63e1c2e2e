export * from "./access-core.js";
export * from "./access-service.js";
export * from "./link.js";
export * from "./membership.js";
export * from "./storage-core.js";
export * from "./storage-service.js";
