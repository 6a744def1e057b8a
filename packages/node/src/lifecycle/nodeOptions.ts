/**
 * Options of a node and the interface that controls it.
 *
 * @packageDocumentation
 */
import type { LimitSummary, PoolStatus, PoolSummary } from "@pimentocleat/policy";
import type { HostList } from "@pimentocleat/services";
import type { ClaimStore, ConfigurationSource, KeyRegistry, UsageRecorder } from "@pimentocleat/state";
import type { Logger, Metrics } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import type { SchedulerFactory } from "../dispatch/poolTasks.js";
import type { RequestTrace } from "../explain/traceBuffer.js";
import type { NodeLimits } from "../limits/nodeLimits.js";

/** An IP address and port to listen on; with port 0 the operating system assigns a free port. */
export interface ListenAddress {
    readonly host: string;
    readonly port: number;
}

/** Options of a node. */
export interface NodeOptions {
    /** Name of the node, unique among the running nodes. */
    readonly name: string;
    readonly dataCentre: string;
    /** Address on which the node listens for callers. */
    readonly callerAddress: ListenAddress;
    readonly configuration: ConfigurationSource;
    readonly keys: KeyRegistry;
    readonly claims: ClaimStore;
    readonly usage: UsageRecorder;
    /** The platform's host list, which announces leaving backend servers; optional in small deployments. */
    readonly hosts?: HostList;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly clock: WaitingClock;
    readonly createScheduler: SchedulerFactory;
    /** Overrides of default limits. */
    readonly limits?: Partial<NodeLimits>;
    /** Reads a pool's credential, given its variable's name; defaults to the process's environment. */
    readonly readCredential?: (variable: string) => string | undefined;
    /** Stores the usage that is still in memory; called as the last step of a stop. */
    readonly flushUsage?: () => Promise<void>;
}

/** A running node. */
export interface NodeHandle {
    /** IP address and port on which the node listens for callers. */
    readonly callerAddress: string;
    readonly name: string;
    readonly dataCentre: string;
    /** Whether the node has a configuration and is not stopping. */
    isReady(): boolean;
    /** @returns Number of requests in flight. */
    countRequests(): number;
    /**
     * Finds the trace of a recent request.
     *
     * @param requestId - Identifier from the response's `x-request-id`.
     * @returns The trace, or undefined when the request is unknown or its trace was dropped.
     */
    findTrace(requestId: string): RequestTrace | undefined;
    /** @returns Status of each pool, by pool name. */
    listPoolStatuses(): ReadonlyMap<string, PoolStatus>;
    /**
     * Builds summaries of pools to send to the other nodes. The content of a returned summary counts as
     * announced.
     *
     * @param isSelected - Selects pools by name and by whether their summary must be sent without delay.
     * @returns The soft state of the selected pools.
     */
    takePoolSummaries(isSelected: (pool: string, isDue: boolean) => boolean): readonly PoolSummary[];
    /** @param summary - Soft state received from another node. */
    recordPeerSummary(summary: PoolSummary): void;
    /** @returns Usage of limited customers and keys, to send to the other nodes. */
    summarizeLimits(): LimitSummary;
    /** @param summary - Usage received from another node. */
    recordPeerLimits(summary: LimitSummary): void;
    /** @param node - Name of a node that was declared dead or has restarted. */
    removePeer(node: string): void;
    /** Stops gracefully: reports unready, keeps serving for `drainDelayMs`, then finishes every request. */
    stop(): Promise<void>;
    /** Stops immediately; running requests fail. For tests and a second stop signal. */
    abort(): Promise<void>;
}
