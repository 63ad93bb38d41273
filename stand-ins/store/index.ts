export * from "./server.js";
export * from "./settings.js";
