export * from "./server.js";
