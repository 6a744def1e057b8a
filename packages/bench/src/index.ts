export { runSlopes } from "./slopes/runSlopes.js";
