export * from "./crew.js";
export * from "./registry.js";
export { Site } from "./site.js";
export { judge as judgeWorld } from "./judge.js";
export type { History as WorldHistory, OrderRecord as WorldOrder } from "./history.js";
