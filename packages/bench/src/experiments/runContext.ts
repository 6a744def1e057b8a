/**
 * What a run is given, and what its faults and messages may touch.
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

/** Something that happens to the run at a time. */
export interface Fault {
    readonly atMs: number;
    readonly apply: (run: RunContext) => void;
}

/** Options of a run. */
export interface RunOptions {
    readonly deployment: Deployment;
    readonly variant: PolicyVariant;
    readonly arrivals: readonly Arrival[];
    readonly durationMs: number;
    readonly seed: number;
    readonly faults?: readonly Fault[];
    readonly nodes?: number;
    /** Age of load reports when they arrive. */
    readonly reportLagMs?: number;
    /** Share of cache events that get lost. */
    readonly cacheEventLossShare?: number;
    readonly cacheBlocks?: number;
    /** Time from which full use of the slots is awaited, for `strandedMs`. */
    readonly recoveryStartMs?: number;
}

/** A run in progress. */
export interface RunContext {
    readonly options: RunOptions;
    readonly clock: ManualClock;
    readonly delayedActions: DelayedActionQueue;
    readonly nodes: readonly NodeState[];
    readonly engines: ReadonlyMap<string, EngineModel>;
    readonly records: ReadonlyMap<string, RequestRecord>;
    readonly recorder: RunRecorder;
    /**
     * @param record - A request.
     * @returns The node that received it.
     */
    getNode(record: RequestRecord): NodeState;
}
