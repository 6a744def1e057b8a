/**
 * Predicts whether a server has a slot and memory for a request.
 *
 * @packageDocumentation
 */
import type { InFlightRequests } from "./inFlightRequests.js";
import type { MemoryUse } from "./memoryAccount.js";
import type { ServerEstimate } from "./serverEstimate.js";

/** What is free on a server. */
export interface FreeRoom {
    readonly slots: number;
    /** Free tokens of memory; infinite for plain services. */
    readonly tokens: number;
}

/** The room on the servers of a service. */
export interface RoomSummary {
    readonly freeSlots: number;
    /** Free tokens of memory; 0 for plain services. */
    readonly freeTokens: number;
    /** Requests on the server that has the most of them, as a multiple of the mean; 1 when all have the same. */
    readonly busiestFactor: number;
}

/** Predicts free slots and memory from the requests in flight and the counts that servers report. */
export class ServerRoom {
    /** @param inFlight - The requests of all nodes that are known to be in flight. */
    constructor(private readonly inFlight: InFlightRequests) {}

    /**
     * Counts the requests on a server. What the server reported corrects the known ones: it includes requests whose news
     * is still under way or was lost, and not those that ended without news.
     *
     * @param estimate - The server and what is known about it.
     * @param nowMs - The monotonic time, in milliseconds.
     * @returns The expected number of running and waiting requests.
     */
    countRequests(estimate: ServerEstimate, nowMs: number): number {
        const known = this.inFlight.countRequests(estimate.server.id);
        return Math.max(estimate.inFlight, known + estimate.readUnknownRequests(nowMs));
    }

    /**
     * Predicts what is free on a server.
     *
     * @param estimate - The server and what is known about it.
     * @param nowMs - The monotonic time, in milliseconds.
     * @returns The free slots and tokens; negative when it holds too much.
     */
    predictFreeRoom(estimate: ServerEstimate, nowMs: number): FreeRoom {
        const { server } = estimate;
        const requests = this.countRequests(estimate, nowMs);
        const slots = server.slots - requests;
        if (server.capacityTokens === undefined) {
            return { slots, tokens: Number.POSITIVE_INFINITY };
        }
        const unknown = requests - this.inFlight.countRequests(server.id);
        const held = this.inFlight.countHeldTokens(server.id) + unknown * this.inFlight.readMeanTokens();
        return { slots, tokens: server.capacityTokens - held };
    }

    /**
     * Predicts whether a server has a slot and memory for a request.
     *
     * @param estimate - The server and what is known about it.
     * @param use - What the request would hold in the server's memory.
     * @param nowMs - The monotonic time, in milliseconds.
     * @returns Whether both are free.
     */
    hasRoom(estimate: ServerEstimate, use: MemoryUse, nowMs: number): boolean {
        const free = this.predictFreeRoom(estimate, nowMs);
        if (free.slots < 1) {
            return false;
        }
        return free.tokens >= this.inFlight.computeAddedTokens(estimate.server.id, use);
    }

    /**
     * Summarizes the room on servers.
     *
     * @param estimates - The servers and what is known about them.
     * @param nowMs - The monotonic time, in milliseconds.
     * @returns The sums and the evenness.
     */
    summarizeRoom(estimates: readonly ServerEstimate[], nowMs: number): RoomSummary {
        let freeSlots = 0;
        let freeTokens = 0;
        let sum = 0;
        let most = 0;
        for (const estimate of estimates) {
            const free = this.predictFreeRoom(estimate, nowMs);
            const requests = Math.max(0, this.countRequests(estimate, nowMs));
            freeSlots += Math.max(0, free.slots);
            freeTokens += Number.isFinite(free.tokens) ? Math.max(0, free.tokens) : 0;
            sum += requests;
            most = Math.max(most, requests);
        }
        return { freeSlots, freeTokens, busiestFactor: sum === 0 ? 1 : (most * estimates.length) / sum };
    }
}
