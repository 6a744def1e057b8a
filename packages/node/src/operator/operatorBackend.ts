/**
 * What the operator interface needs from the rest of the node.
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
    /** `ready`, or why the node takes no requests. */
    readonly state: string;
    /** The revision in force; 0 for none. */
    readonly revision: number;
    readonly callerAddress: string;
    readonly operatorAddress: string;
}

/** A pool with the state that this node sees. */
export interface PoolReport {
    readonly pool: Pool;
    readonly status: PoolStatus | undefined;
}

/** A key without its digest. */
export interface KeyReport {
    readonly key: Key;
    readonly isWithdrawn: boolean;
}

/** Reads and steers one node. */
export interface OperatorBackend {
    readonly configurationStore: ConfigurationStore;
    /** Called after an apply; brings the new revision into force here without waiting for the next poll. */
    pollStore(): Promise<void>;
    withdrawKey(keyId: string, author: string): Promise<WithdrawResult>;
    listKeys(): readonly KeyReport[];
    /** Whether a key identifier was ever withdrawn. */
    isWithdrawn(keyId: string): boolean;
    readStatus(): NodeStatus;
    countRequests(): number;
    countUnrecordedWithdrawals(): number;
    /** This node and the others that it knows of. */
    listNodes(): readonly NodeStatus[];
    listPools(): readonly PoolReport[];
    findTrace(requestId: string): RequestTrace | undefined;
}
