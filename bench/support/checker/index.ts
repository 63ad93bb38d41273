export * from "./evidence.js";
export * from "./judges.js";
export { countSpoiltAnswers } from "./requests.js";
