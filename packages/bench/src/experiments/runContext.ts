/**
 * The options of a run, and the state that its faults and messages can access.
 *
 * @packageDocumentation
 */
import type { ManualClock } from "@pimentocleat/types";
import type { DelayedActionQueue } from "./delayedActionQueue.js";
import type { Deployment } from "./deployments.js";
import type { EngineModel } from "./engineModel.js";
import type { NodeState } from "./nodeState.js";
import type { PolicyVariant } from "./policyVariants.js";
import type { RequestRecord, RunRecorder } from "./runRecorder.js";
import type { Arrival } from "./workload.js";

/** A fault that is injected at a given time. */
export interface Fault {
    readonly atMs: number;
    readonly apply: (run: RunContext) => void;
}

/** Options of a run: one policy under one workload. */
export interface RunOptions {
    readonly deployment: Deployment;
    readonly variant: PolicyVariant;
    readonly arrivals: readonly Arrival[];
    readonly durationMs: number;
    readonly seed: number;
    readonly faults?: readonly Fault[];
    /** Number of nodes; the deployment's number when absent. */
    readonly nodes?: number;
    /** Age of load reports when they arrive, in milliseconds; 300 ms when absent. */
    readonly reportLagMs?: number;
    /** Share of cache events that are lost, 0 to 1; 0 when absent. */
    readonly cacheEventLossShare?: number;
    /** Size of each engine's prefix cache in blocks; 0 when absent. */
    readonly cacheBlocks?: number;
    /**
     * Time in the run, in milliseconds, from which `strandedMs` counts until the slots are in full use
     * again; shortly after a fault. `strandedMs` isn't measured when absent.
     */
    readonly recoveryStartMs?: number;
}

/** The state of a run in progress. */
export interface RunContext {
    readonly options: RunOptions;
    readonly clock: ManualClock;
    readonly delayedActions: DelayedActionQueue;
    readonly nodes: readonly NodeState[];
    readonly engines: ReadonlyMap<string, EngineModel>;
    readonly records: ReadonlyMap<string, RequestRecord>;
    readonly recorder: RunRecorder;
    /**
     * Returns the node that received a request.
     *
     * @param record - The request.
     * @returns Its node.
     * @throws Error when the request was assigned to no node.
     */
    getNode(record: RequestRecord): NodeState;
}
