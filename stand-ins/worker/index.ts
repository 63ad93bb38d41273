export * from "./answer.js";
export * from "./record.js";
export * from "./server.js";
export * from "./settings.js";
