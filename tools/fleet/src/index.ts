export * from "./fleet.js";
export * from "./relay.js";
export * from "./history-recorder.js";
export * from "./link-channel.js";
