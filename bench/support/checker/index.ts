export * from "./evidence.js";
export * from "./judges.js";
