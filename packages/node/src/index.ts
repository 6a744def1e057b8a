export * from "./peers/index.js";
