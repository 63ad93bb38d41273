export * from "./fleet.js";
export * from "./proxy.js";
export * from "./rules.js";
