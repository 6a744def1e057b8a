/**
 * The interface between the dispatch task of a node and the policy of one pool: typed events in,
 * decisions out. The caller feeds events and then takes decisions; the policy never waits.
 *
 * @packageDocumentation
 */
import type { BackendServer, Configuration, Customer, Pool, RequestClass } from "@pimentocleat/schema";
import type { ErrorKind } from "@pimentocleat/types";

/** A request that wants a slot of the pool. Times are monotonic milliseconds. */
export interface QueuedRequest {
    readonly requestId: string;
    readonly customer: string;
    readonly requestClass: string;
    readonly arrivedMs: number;
    /** Estimated prompt length, in tokens. */
    readonly promptTokens: number;
    /** Longest answer that the caller allows, in tokens. */
    readonly maximumTokens: number | undefined;
    /** Digests of the prompt's prefix blocks, from the start; empty for plain services. */
    readonly prefixBlocks: readonly string[];
    readonly repeatable: boolean;
    /** Servers that already failed this request. */
    readonly excludedServers: readonly string[];
    /** 1 for the first try. */
    readonly attempt: number;
    /** Tokens already streamed to the caller; the rest is wanted. */
    readonly resumedTokens: number;
}

/** The immediate answer to an offered request. */
export type OfferResult =
    | { readonly type: "queued" }
    | { readonly type: "refused"; readonly kind: ErrorKind; readonly retryAfterMs: number };

/**
 * What the dispatch task must do. `move` asks to continue a running request on `server`, because its
 * present server leaves: the slot on `server` is taken from now on, and the outcome of the former
 * server's try is still to be recorded.
 */
export type Decision =
    | {
          readonly type: "start";
          readonly requestId: string;
          readonly server: string;
          readonly priority: number;
          /** Whether the class got the slot by its floor, ahead of a higher tier. */
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

/** Why a running request is cancelled on its server. */
export type CancelReason = "callerGone" | "keyWithdrawn" | "preempted" | "reclaimed";

/** How a try ended on a server. */
export type AttemptOutcome = "completed" | "failed" | "rejected" | "timedOut" | "cancelled" | "mismatched";

/** What a backend server said about its load. */
export interface LoadReport {
    readonly server: string;
    readonly runningRequests: number;
    readonly waitingRequests: number;
    readonly slots: number;
    /** Share of the KV cache in use, 0 to 1. */
    readonly cacheUsage: number;
    /** Age of the report when it arrived, in milliseconds. */
    readonly ageMs: number;
}

/** Changes of a server's prefix cache; events come late and with gaps. */
export interface CacheEvent {
    readonly server: string;
    readonly sequence: number;
    readonly stored: readonly string[];
    readonly removed: readonly string[];
    readonly cleared: boolean;
}

/** A server that goes, at a monotonic time in milliseconds. */
export interface LeavingNotice {
    readonly server: string;
    readonly leavesAtMs: number;
}

/** Soft state of one node about one pool, spread to the other nodes. */
export interface PoolSummary {
    readonly pool: string;
    readonly node: string;
    /** Grows with each summary of the node's incarnation. */
    readonly sequence: number;
    /** Waiting requests by class. */
    readonly waiting: Readonly<Record<string, number>>;
    /** Running requests by server. */
    readonly running: Readonly<Record<string, number>>;
    /** Recent demand by class, in requests a second. */
    readonly demand: Readonly<Record<string, number>>;
    /**
     * Tokens served since the node's start, by `class/customer`; entries that didn't change recently
     * may be left out.
     */
    readonly servedTokens: Readonly<Record<string, number>>;
    /** Servers that this node sees as stragglers. */
    readonly stragglers: readonly string[];
    /** The node's own slots that other nodes may use, by node and server; absent means none. */
    readonly lent?: Readonly<Record<string, Readonly<Record<string, number>>>>;
    /** Slots of other nodes that this node uses, by owner and server; absent means none. */
    readonly borrowed?: Readonly<Record<string, Readonly<Record<string, number>>>>;
    /** Slot starts since the node's start, by class. */
    readonly starts?: Readonly<Record<string, number>>;
    /** Time since the last start of each class with waiting requests, in milliseconds. */
    readonly sinceStartMs?: Readonly<Record<string, number>>;
    /** Tier for which the slots are lent, by node. */
    readonly lentTiers?: Readonly<Record<string, number>>;
    /** Time left until the latest start of the most urgent waiting request, in milliseconds. */
    readonly slackMs?: number;
    /** Class of the most urgent waiting request. */
    readonly urgentClass?: string;
    /** Tokens served to its customer, divided by the customer's weight. */
    readonly urgentServed?: number;
    /** Sequence of the last summary received from each node; lets owners reuse withdrawn slots early. */
    readonly acknowledged?: Readonly<Record<string, number>>;
}

/** A snapshot for operators and reports. */
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

/** The part of the configuration that a pool's policy needs. */
export interface PoolConfiguration {
    readonly pool: Pool;
    readonly classes: readonly RequestClass[];
    readonly customers: readonly Customer[];
}

/** Decides for one pool on one node. */
export interface PoolScheduler {
    /** Replaces the configuration; running requests are unaffected. */
    updateConfiguration(configuration: PoolConfiguration): void;
    /** Offers a request. A refusal is immediate and final. */
    offerRequest(request: QueuedRequest): OfferResult;
    /** Forgets a waiting request or notes that a running one is no longer wanted. */
    cancelRequest(requestId: string, reason: CancelReason): void;
    /** Notes the first token of a running request. */
    recordFirstToken(requestId: string): void;
    /** Notes generated tokens of a running request. */
    recordTokens(requestId: string, tokens: number): void;
    /** Notes that a try ended and frees its slot. */
    recordOutcome(requestId: string, server: string, outcome: AttemptOutcome): void;
    recordLoadReport(report: LoadReport): void;
    recordCacheEvent(event: CacheEvent): void;
    recordLeaving(notice: LeavingNotice): void;
    recordPeerSummary(summary: PoolSummary): void;
    /** Notes that a peer is gone; its share is free. */
    removePeer(node: string): void;
    /** Takes the decisions that are due now. */
    takeDecisions(): readonly Decision[];
    /** When to call {@link PoolScheduler.takeDecisions} again without an event; monotonic milliseconds. */
    readNextWakeMs(): number | undefined;
    summarizePool(): PoolSummary;
    /**
     * Whether a summary should go to the other nodes now instead of at the next period: urgent work
     * waits, or a slot was lent or returned. Never more often than every 20 ms.
     */
    isSummaryDue?(): boolean;
    readStatus(): PoolStatus;
}

/**
 * Selects the part of a configuration that a pool's policy needs.
 *
 * @param configuration - The whole configuration.
 * @param poolName - The pool.
 * @returns The pool's part, or undefined when the pool does not exist.
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
 * Compares servers by name, for deterministic iteration.
 *
 * @param left - One server.
 * @param right - Another server.
 * @returns Negative, zero or positive.
 */
export function compareServers(left: BackendServer, right: BackendServer): number {
    return left.name < right.name ? -1 : Number(left.name > right.name);
}
