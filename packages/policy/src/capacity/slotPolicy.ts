/**
 * How the nodes of a pool share the slots of its servers.
 *
 * @packageDocumentation
 */
import type { LoadReport, PoolSummary } from "../scheduling/poolScheduler.js";

/** A server and how many requests it may run at the same time. */
export interface ServerSlots {
    readonly name: string;
    readonly slots: number;
}

/** Slots by server, by node. */
export type SlotsByNode = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** What a node tells the others about slots; part of a {@link PoolSummary}. */
export interface SlotSummary {
    /** Own slots that other nodes may use, by node and server. */
    readonly lent: SlotsByNode;
    /** Slots of other nodes in use here, by owner and server. */
    readonly borrowed: SlotsByNode;
    /** Tier for which the slots are lent, by node. */
    readonly lentTiers: Readonly<Record<string, number>>;
    /** Sequence of the last summary received from each node. */
    readonly acknowledged: Readonly<Record<string, number>>;
}

/** The most urgent request that waits on a node. */
export interface WaitingDemand {
    readonly tier: number;
    /** Latest start, in monotonic milliseconds. */
    readonly latestStartMs: number;
    readonly requestClass: string;
    /** Tokens served to its customer, divided by the customer's weight. */
    readonly served: number;
    /** Mean tokens of an answer of the class. */
    readonly answerTokens: number;
}

/** Decides how many requests this node may start on a server. */
export interface SlotPolicy {
    /** Replaces the servers that can take work. */
    updateServers(servers: readonly ServerSlots[]): void;
    /**
     * @param server - A server.
     * @param tier - Tier of the request to start.
     * @returns Requests of the tier that this node may start there now.
     */
    countFree(server: string, tier: number): number;
    /** @returns Slots of the pool that all nodes use together; admission divides by it. */
    readCapacity(): number;
    /** @returns Nodes that share the pool, this one included. */
    countNodes(): number;
    recordStart(requestId: string, server: string, tier: number): void;
    recordEnd(requestId: string, server: string): void;
    recordLoadReport(report: LoadReport): void;
    recordPeerSummary(summary: PoolSummary): void;
    removePeer(node: string): void;
    /**
     * Sets free slots aside for other nodes whose waiting requests are more urgent.
     *
     * @param demand - The most urgent request that waits here, undefined when nothing waits.
     * @param isFloorOwed - Whether the next free slot is needed here for a class's floor.
     */
    updateDemand(demand: WaitingDemand | undefined, isFloorOwed: boolean): void;
    /**
     * Describes what is lent and borrowed, for the other nodes.
     *
     * @param demand - The most urgent request that waits here, undefined when nothing waits.
     * @param isFloorOwed - Whether the next free slot is needed here for a class's floor.
     * @param sequence - Sequence of the summary.
     */
    summarizeSlots(demand: WaitingDemand | undefined, isFloorOwed: boolean, sequence: number): SlotSummary;
    /** @returns Whether other nodes should get a summary at once. */
    isSummaryDue(): boolean;
}
