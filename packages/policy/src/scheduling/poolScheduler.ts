/**
 * The interface between the dispatch task of a node and the scheduling policy of one pool. The caller passes in typed
 * events and then takes the resulting decisions; the policy never blocks.
 *
 * @packageDocumentation
 */
import type { BackendServer, Configuration, Customer, Pool, RequestClass } from "@pimentocleat/schema";
import type { ErrorKind } from "@pimentocleat/types";

/** A request for a slot of the pool. Times are monotonic milliseconds. */
export interface QueuedRequest {
    readonly requestId: string;
    readonly customer: string;
    readonly requestClass: string;
    readonly arrivedMs: number;
    /** Estimated prompt length, in tokens. */
    readonly promptTokens: number;
    /** Maximum length of the answer that the caller allows, in tokens. */
    readonly maximumTokens: number | undefined;
    /** Digests of the prompt's prefix blocks, in order; empty for plain services. */
    readonly prefixBlocks: readonly string[];
    readonly repeatable: boolean;
    /** Servers that already failed this request. */
    readonly excludedServers: readonly string[];
    /** Number of the attempt, starting at 1. */
    readonly attempt: number;
    /** Tokens already streamed to the caller; the request resumes after them. */
    readonly resumedTokens: number;
}

/** The immediate result of offering a request. */
export type OfferResult =
    | { readonly type: "queued" }
    | { readonly type: "refused"; readonly kind: ErrorKind; readonly retryAfterMs: number };

/**
 * An action that the dispatch task must carry out. `move` continues a running request on `server` because its current
 * server is leaving: the slot on `server` is occupied from the time of the decision, and the caller must still record
 * the outcome of the attempt on the previous server.
 */
export type Decision =
    | {
          readonly type: "start";
          readonly requestId: string;
          readonly server: string;
          readonly priority: number;
          /** Whether the class got the slot to meet its floor, ahead of a higher tier. */
          readonly byFloor?: boolean;
      }
    | {
          readonly type: "refuse";
          readonly requestId: string;
          readonly kind: ErrorKind;
          readonly retryAfterMs: number;
      }
    | {
          readonly type: "cancel";
          readonly requestId: string;
          readonly server: string;
          readonly reason: CancelReason;
      }
    | { readonly type: "move"; readonly requestId: string; readonly server: string };

/** The reason for cancelling a running request. */
export type CancelReason = "callerGone" | "keyWithdrawn" | "preempted" | "reclaimed";

/** The outcome of an attempt on a server. */
export type AttemptOutcome = "completed" | "failed" | "rejected" | "timedOut" | "cancelled" | "mismatched";

/** The load reported by a backend server. */
export interface LoadReport {
    readonly server: string;
    readonly runningRequests: number;
    readonly waitingRequests: number;
    readonly slots: number;
    /** Share of the KV cache in use, 0 to 1. */
    readonly cacheUsage: number;
    /** Age of the report on arrival, in milliseconds. */
    readonly ageMs: number;
}

/** Changes to a server's prefix cache. Events may arrive late and some may be missing. */
export interface CacheEvent {
    readonly server: string;
    readonly sequence: number;
    readonly stored: readonly string[];
    readonly removed: readonly string[];
    readonly cleared: boolean;
}

/** Notice that a server will leave at a monotonic time, in milliseconds. */
export interface LeavingNotice {
    readonly server: string;
    readonly leavesAtMs: number;
}

/** Soft state of one node for one pool, sent to the other nodes. */
export interface PoolSummary {
    readonly pool: string;
    readonly node: string;
    /** Increases with each summary of the node's incarnation. */
    readonly sequence: number;
    /** Waiting requests by class. */
    readonly waiting: Readonly<Record<string, number>>;
    /** Running requests by server. */
    readonly running: Readonly<Record<string, number>>;
    /** Recent demand by class, in requests per second. */
    readonly demand: Readonly<Record<string, number>>;
    /**
     * Tokens served since the node's start, by `class/customer`. Entries that haven't changed recently may be
     * omitted.
     */
    readonly servedTokens: Readonly<Record<string, number>>;
    /** Servers that this node considers stragglers. */
    readonly stragglers: readonly string[];
    /** The node's own slots that are lent to other nodes, by node and server; absent means none. */
    readonly lent?: Readonly<Record<string, Readonly<Record<string, number>>>>;
    /** Slots of other nodes that this node uses, by owner and server; absent means none. */
    readonly borrowed?: Readonly<Record<string, Readonly<Record<string, number>>>>;
    /** Slot starts since the node's start, by class. */
    readonly starts?: Readonly<Record<string, number>>;
    /** Time since the last start of each class with waiting requests, in milliseconds. */
    readonly sinceStartMs?: Readonly<Record<string, number>>;
    /** Lowest tier that may use the lent slots, by node. */
    readonly lentTiers?: Readonly<Record<string, number>>;
    /** Time left until the start deadline of the most urgent waiting request, in milliseconds. */
    readonly slackMs?: number;
    /** Class of the most urgent waiting request. */
    readonly urgentClass?: string;
    /** Tokens served to the customer of the most urgent waiting request, divided by the customer's weight. */
    readonly urgentServed?: number;
    /** Sequence of the last summary received from each node; allows owners to reuse withdrawn slots early. */
    readonly acknowledged?: Readonly<Record<string, number>>;
}

/** A snapshot of a pool for operators and reports. */
export interface PoolStatus {
    readonly waiting: number;
    readonly running: number;
    readonly servers: readonly ServerStatus[];
}

/** One server in a {@link PoolStatus}. */
export interface ServerStatus {
    readonly name: string;
    readonly running: number;
    readonly slots: number;
    readonly state: "normal" | "probation" | "leaving" | "down";
}

/** The part of the configuration that concerns one pool. */
export interface PoolConfiguration {
    readonly pool: Pool;
    readonly classes: readonly RequestClass[];
    readonly customers: readonly Customer[];
}

/** Schedules the requests of one pool on one node. */
export interface PoolScheduler {
    /** Replaces the configuration; running requests are unaffected. */
    updateConfiguration(configuration: PoolConfiguration): void;
    /** Queues or refuses a request. A refusal is immediate and final. */
    offerRequest(request: QueuedRequest): OfferResult;
    /** Removes a waiting request, or decides to cancel a running one. */
    cancelRequest(requestId: string, reason: CancelReason): void;
    /** Records the first token of a running request. */
    recordFirstToken(requestId: string): void;
    /** Records generated tokens of a running request. */
    recordTokens(requestId: string, tokens: number): void;
    /** Records the outcome of an attempt and frees its slot. */
    recordOutcome(requestId: string, server: string, outcome: AttemptOutcome): void;
    /** Records the load that a server reported. */
    recordLoadReport(report: LoadReport): void;
    /** Records changes to the prefix cache of a server. */
    recordCacheEvent(event: CacheEvent): void;
    /** Records that a server will leave; it gets no new requests. */
    recordLeaving(notice: LeavingNotice): void;
    /** Records the pool summary of another node. */
    recordPeerSummary(summary: PoolSummary): void;
    /** Removes a node that is no longer a member; its share of the slots becomes available. */
    removePeer(node: string): void;
    /** Returns the decisions to carry out now; each decision is returned once. */
    takeDecisions(): readonly Decision[];
    /**
     * Returns the time at which to call {@link PoolScheduler.takeDecisions} if no event comes first, in monotonic
     * milliseconds.
     */
    readNextWakeMs(): number | undefined;
    /** Builds the next summary for the other nodes. */
    summarizePool(): PoolSummary;
    /**
     * Checks whether a summary should be sent to the other nodes before the next period, because urgent requests
     * are waiting or a slot was lent or returned. Summaries are never due more often than every 20 ms.
     */
    isSummaryDue?(): boolean;
    /** Returns a snapshot for operators and reports. */
    readStatus(): PoolStatus;
}

/**
 * Selects the part of a configuration that concerns one pool.
 *
 * @param configuration - The complete configuration.
 * @param poolName - The name of the pool.
 * @returns The selected part, or undefined when the pool does not exist.
 */
export function selectPoolConfiguration(
    configuration: Configuration,
    poolName: string,
): PoolConfiguration | undefined {
    const pool = configuration.pools.find((candidate) => candidate.name === poolName);
    if (pool === undefined) {
        return undefined;
    }
    return { pool, classes: configuration.classes, customers: configuration.customers };
}

/**
 * Compares servers by name, to sort them deterministically.
 *
 * @param left - One server.
 * @param right - Another server.
 * @returns A negative number, zero or a positive number, as for `Array.sort`.
 */
export function compareServers(left: BackendServer, right: BackendServer): number {
    return left.name < right.name ? -1 : Number(left.name > right.name);
}
