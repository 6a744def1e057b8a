/**
 * Predicts when a server would start a request, and what that does to running streams.
 *
 * @packageDocumentation
 */
import { MeanEstimator } from "../scheduling/estimators.js";
import { computeMemoryUse, type InFlightRequests } from "./inFlightRequests.js";
import type { MemoryUse } from "./memoryAccount.js";
import type { PlacementRequest, ServerCost } from "./serverCost.js";
import type { ServerEstimate } from "./serverEstimate.js";
import type { ServerRoom } from "./serverRoom.js";
import type { StartEstimate } from "./startEstimate.js";

/** Time for which a request is assumed to hold its slot until one has been measured, in milliseconds. */
const initialHoldMs = 1_000;
/** Weight of a new measurement in the mean of these times. */
const holdGain = 0.05;

/** Options of {@link StartPrediction}. */
export interface StartPredictionOptions {
    readonly inFlight: InFlightRequests;
    readonly cost: ServerCost;
    readonly room: ServerRoom;
}

/** Predicts starts by backlog, pace, queue and memory. */
export class StartPrediction {
    private readonly holdMs = new MeanEstimator(initialHoldMs, holdGain);

    /** @param options - What is known about the servers and the requests in flight. */
    constructor(private readonly options: StartPredictionOptions) {}

    /**
     * Records how long a request held its slot.
     *
     * @param elapsedMs - The time from dispatch to the end, in milliseconds.
     */
    recordHold(elapsedMs: number): void {
        this.holdMs.record(elapsedMs);
    }

    /**
     * Predicts the start of a request on a server.
     *
     * @param estimate - The server and what is known about it.
     * @param request - The request.
     * @param nowMs - The monotonic time, in milliseconds.
     * @returns The prediction.
     */
    predictStart(estimate: ServerEstimate, request: PlacementRequest, nowMs: number): StartEstimate {
        const { cost, room } = this.options;
        const { server } = estimate;
        const use = computeMemoryUse(request);
        const hasRoom = room.hasRoom(estimate, use, nowMs);
        if (server.capacityTokens === undefined) {
            const requests = room.countRequests(estimate, nowMs);
            const queued = Math.max(1, (requests + 1) / Math.max(1, server.slots));
            const startMs = estimate.serviceMs.readMean() * estimate.readPace(nowMs) * queued;
            return { serverId: server.id, startMs, hasRoom, delayedStreams: 0 };
        }
        const waitMs = hasRoom ? 0 : this.predictWaitMs(estimate, use, nowMs);
        return {
            serverId: server.id,
            startMs: waitMs + cost.predictFirstEventMs(estimate, request, nowMs),
            hasRoom,
            delayedStreams: cost.estimateDelayedStreams(estimate, request, nowMs),
        };
    }

    /** Predicts how long an engine takes to free the slots and the memory that a request and those ahead of it need. */
    private predictWaitMs(estimate: ServerEstimate, use: MemoryUse, nowMs: number): number {
        const { inFlight, room } = this.options;
        const { server } = estimate;
        const free = room.predictFreeRoom(estimate, nowMs);
        const missingSlots = Math.max(0, 1 - free.slots) / Math.max(1, server.slots);
        const neededTokens = inFlight.computeAddedTokens(server.id, use);
        const heldTokens = Math.max(1, (server.capacityTokens ?? 0) - free.tokens);
        const missingTokens = Math.max(0, neededTokens - free.tokens) / heldTokens;
        return this.holdMs.readMean() * Math.max(missingSlots, missingTokens);
    }
}
