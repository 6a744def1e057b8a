export { LimitObservations } from "./limitObservations.js";
export type { LimitedServer, LimitReport } from "./limitObservations.js";
export { KeeperSuccession } from "./keeperSuccession.js";
export { PermitKeeper } from "./permitKeeper.js";
export type { KeptServer } from "./permitKeeper.js";
export type { EndedWait, PermitDecision, PermitRequest, RefusedPermit } from "./permitQueue.js";
