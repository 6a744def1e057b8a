/**
 * The functions of the node that the operator interface uses.
 *
 * @packageDocumentation
 */
import type { PoolStatus } from "@pimentocleat/policy";
import type { Key, Pool } from "@pimentocleat/schema";
import type { ConfigurationStore, WithdrawResult } from "@pimentocleat/state";
import type { RequestTrace } from "../explain/traceBuffer.js";

/** State of one node. */
export interface NodeStatus {
    readonly name: string;
    readonly dataCentre: string;
    /** `ready`, or the reason why the node serves no requests. */
    readonly state: string;
    /** Revision of the active configuration; 0 for none. */
    readonly revision: number;
    readonly callerAddress: string;
    readonly operatorAddress: string;
}

/** A pool with the state that this node sees. */
export interface PoolReport {
    readonly pool: Pool;
    readonly status: PoolStatus | undefined;
}

/** A configured key, and whether it was withdrawn. */
export interface KeyReport {
    readonly key: Key;
    readonly isWithdrawn: boolean;
}

/** Reads the state of one node and controls it. */
export interface OperatorBackend {
    readonly configurationStore: ConfigurationStore;
    /** Polls the store after an apply, so that the new revision is active here before the next regular poll. */
    pollStore(): Promise<void>;
    withdrawKey(keyId: string, author: string): Promise<WithdrawResult>;
    listKeys(): readonly KeyReport[];
    /** Returns whether a key identifier was ever withdrawn. */
    isWithdrawn(keyId: string): boolean;
    readStatus(): NodeStatus;
    countRequests(): number;
    countUnrecordedWithdrawals(): number;
    /** Lists this node and the other nodes that it knows. */
    listNodes(): readonly NodeStatus[];
    listPools(): readonly PoolReport[];
    findTrace(requestId: string): RequestTrace | undefined;
}
