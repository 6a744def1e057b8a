export { ExplainBuffer } from "./explain/explainBuffer.js";
export type { RequestTrace, TraceStep } from "./explain/explainBuffer.js";
export { defaultNodeLimits } from "./limits/nodeLimits.js";
export type { NodeLimits } from "./limits/nodeLimits.js";
export { startNode } from "./lifecycle/startNode.js";
export type { ListenAddress, NodeHandle, NodeOptions } from "./lifecycle/nodeOptions.js";
export type { SchedulerFactory } from "./dispatch/poolTasks.js";
export * from "./peers/index.js";
export * from "./operator/index.js";
