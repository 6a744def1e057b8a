/**
 * Defines how the nodes of a pool share the slots of its servers.
 *
 * @packageDocumentation
 */
import type { LoadReport, PoolSummary } from "../scheduling/poolScheduler.js";

/** A server and how many requests it may run at the same time. */
export interface ServerSlots {
    readonly name: string;
    readonly slots: number;
}

/** Number of slots by server, by node. */
export type SlotsByNode = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** Slot state that a node sends to the others, as part of a {@link PoolSummary}. */
export interface SlotSummary {
    /** Own slots that other nodes may use, by node and server. */
    readonly lent: SlotsByNode;
    /** Slots of other nodes in use here, by owner and server. */
    readonly borrowed: SlotsByNode;
    /** Lowest tier that may use the lent slots, by node. */
    readonly lentTiers: Readonly<Record<string, number>>;
    /** Sequence of the last summary received from each node. */
    readonly acknowledged: Readonly<Record<string, number>>;
}

/** Describes the most urgent request that waits on a node. */
export interface WaitingDemand {
    readonly tier: number;
    /** Start deadline, in monotonic milliseconds. */
    readonly latestStartMs: number;
    readonly requestClass: string;
    /** Tokens served to the request's customer, divided by the customer's weight. */
    readonly served: number;
    /** Mean tokens per answer of the class. */
    readonly answerTokens: number;
}

/** Decides how many requests this node may start on a server. */
export interface SlotPolicy {
    /** Replaces the servers that can take work. */
    updateServers(servers: readonly ServerSlots[]): void;
    /**
     * Counts the free slots of a server that this node may use for a tier.
     *
     * @param server - A server.
     * @param tier - Tier of the request to start.
     * @returns Number of requests of the tier that this node may start now.
     */
    countFree(server: string, tier: number): number;
    /** @returns Slots of the pool, of all nodes together; admission predicts waits from it. */
    readCapacity(): number;
    /** @returns Number of nodes that share the pool, this one included. */
    countNodes(): number;
    recordStart(requestId: string, server: string, tier: number): void;
    recordEnd(requestId: string, server: string): void;
    recordLoadReport(report: LoadReport): void;
    recordPeerSummary(summary: PoolSummary): void;
    removePeer(node: string): void;
    /**
     * Reserves free slots for other nodes whose waiting requests are more urgent.
     *
     * @param demand - The most urgent request that waits here, undefined when nothing waits.
     * @param isFloorOwed - Whether this node needs the next free slot for the floor of a class.
     */
    updateDemand(demand: WaitingDemand | undefined, isFloorOwed: boolean): void;
    /**
     * Describes lent and borrowed slots for the other nodes.
     *
     * @param demand - The most urgent request that waits here, undefined when nothing waits.
     * @param isFloorOwed - Whether this node needs the next free slot for the floor of a class.
     * @param sequence - Sequence of the summary.
     */
    summarizeSlots(demand: WaitingDemand | undefined, isFloorOwed: boolean, sequence: number): SlotSummary;
    /** @returns Whether a summary should be sent to the other nodes immediately. */
    isSummaryDue(): boolean;
}
