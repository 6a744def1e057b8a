export { ColdServers, sameEventMs } from "./coldServers.js";
export type { ColdReport, ColdServer, ServerRow } from "./coldServers.js";
export { computeGrantRate } from "./grantRate.js";
export type { ColdBounds } from "./grantRate.js";
