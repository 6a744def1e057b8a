export type { KeyReport, NodeStatus, OperatorBackend, PoolReport } from "./operatorBackend.js";
export { OperatorServer } from "./operatorServer.js";
export type { OperatorServerOptions } from "./operatorServer.js";
