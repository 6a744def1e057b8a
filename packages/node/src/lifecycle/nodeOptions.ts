/**
 * What a node is built from and how it is steered.
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

/** An IP address and port to listen on; port 0 lets the system pick one. */
export interface ListenAddress {
    readonly host: string;
    readonly port: number;
}

/** Everything that a node needs. */
export interface NodeOptions {
    /** Name of the node, unique among the nodes in service. */
    readonly name: string;
    readonly dataCentre: string;
    /** Where callers reach the node. */
    readonly callerAddress: ListenAddress;
    readonly configuration: ConfigurationSource;
    readonly keys: KeyRegistry;
    readonly claims: ClaimStore;
    readonly usage: UsageRecorder;
    /** Gives the leaving notices; absent in small set-ups. */
    readonly hosts?: HostList;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly clock: WaitingClock;
    readonly createScheduler: SchedulerFactory;
    /** Replaces single default limits. */
    readonly limits?: Partial<NodeLimits>;
    /** Reads a pool's credential; the process's environment when absent. */
    readonly readCredential?: (variable: string) => string | undefined;
    /** Writes out the usage that is still in memory; the last step of a stop. */
    readonly flushUsage?: () => Promise<void>;
}

/** A running node. */
export interface NodeHandle {
    /** IP address and port that callers reach. */
    readonly callerAddress: string;
    readonly name: string;
    readonly dataCentre: string;
    /** Whether the node takes traffic. */
    isReady(): boolean;
    /** @returns Requests in flight. */
    countRequests(): number;
    /**
     * Finds the decisions about a recent request.
     *
     * @param requestId - Identifier from the answer's `x-request-id`.
     * @returns The trace, or undefined when it is too old or unknown.
     */
    findTrace(requestId: string): RequestTrace | undefined;
    /** @returns Status of each pool by its name. */
    listPoolStatuses(): ReadonlyMap<string, PoolStatus>;
    /**
     * Takes new summaries of pools to spread to the other nodes. Taking one marks its content as told.
     *
     * @param isWanted - Chooses pools by name and by whether their summary must not wait.
     * @returns The soft state of the chosen pools.
     */
    takePoolSummaries(isWanted: (pool: string, isDue: boolean) => boolean): readonly PoolSummary[];
    /** @param summary - The soft state of another node. */
    recordPeerSummary(summary: PoolSummary): void;
    /** @returns Usage of limited customers and keys, to spread to the other nodes. */
    summarizeLimits(): LimitSummary;
    /** @param summary - Usage on another node. */
    recordPeerLimits(summary: LimitSummary): void;
    /** @param node - A node that is gone. */
    removePeer(node: string): void;
    /** Stops gracefully: reports unready, keeps serving, then finishes every request. */
    stop(): Promise<void>;
    /** Stops at once; running requests fail. For tests and a second stop signal. */
    abort(): Promise<void>;
}
