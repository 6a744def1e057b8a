/**
 * The requests of this node and its peers that are in flight: prompts that servers still have to prefill, and running
 * streams.
 *
 * @packageDocumentation
 */

import { MemoryAccount, type MemoryUse } from "./memoryAccount.js";
import type { PromptPart } from "./prefixCacheModel.js";
import { RequestSizes } from "./requestSizes.js";

/** A request that a node has sent to a server. */
export interface InFlightRequest {
    /** Identifies the in-flight request among those of all nodes. */
    readonly id: string;
    readonly serverId: string;
    /** Prompt tokens that the server has to prefill before the first event. */
    readonly tokens: number;
    /** Maximum pause between events that meets the target, in milliseconds; undefined if the answer isn't streamed. */
    readonly pauseTargetMs: number | undefined;
    /** Tokens of the prompt and the output that no other request shares; absent when the node didn't tell. */
    readonly ownTokens?: number | undefined;
    /** Shared parts of the prompt. */
    readonly shared?: readonly PromptPart[] | undefined;
}

/** The size of a prompt as a request states it. */
export interface PromptSize {
    readonly parts: readonly PromptPart[];
    readonly promptTokens: number;
    readonly expectedOutputTokens?: number | undefined;
}

/**
 * Computes what a request holds in the memory of an engine. All parts of a prompt but the last may be shared.
 *
 * @param size - The prompt, and the expected output.
 * @returns The shared parts, and the tokens of all else.
 */
export function computeMemoryUse({ parts, promptTokens, expectedOutputTokens }: PromptSize): MemoryUse {
    const shared = parts.slice(0, -1);
    const sharedTokens = shared.reduce((sum, { tokens }) => sum + tokens, 0);
    return { ownTokens: Math.max(0, promptTokens - sharedTokens) + (expectedOutputTokens ?? 0), shared };
}

interface TrackedRequest extends InFlightRequest {
    readonly memory: MemoryUse;
    readonly sentMs: number;
    /** Whether this node sent the request and so always sees its end; requests of peers expire after a timeout. */
    readonly isLocal: boolean;
    /** Whether the first event is still outstanding. */
    isPrefilling: boolean;
}

/** Time after which prefill of a peer's request counts as done: the datagram may be lost or the peer dead. */
const peerFirstEventTimeoutMs = 3_000;
/** Time after which a peer's request counts as ended if no message announced its end. */
const peerEndTimeoutMs = 10_000;

/** Share of a stream's pause target up to which a predicted pause is safe. */
const safePauseShare = 0.6;

/** Tracks the in-flight requests by server. */
export class InFlightRequests {
    private readonly requests = new Map<string, TrackedRequest>();
    private readonly byServer = new Map<string, Set<TrackedRequest>>();
    /** Number of streams in flight, by pause target in milliseconds. */
    private readonly streamCounts = new Map<number, number>();
    /** Prompt tokens that each server still has to prefill. */
    private readonly prefillTokens = new Map<string, number>();
    private readonly memory = new MemoryAccount();
    private readonly sizes = new RequestSizes();

    /**
     * Adds a request that was sent, replacing one with the same identifier.
     *
     * @param request - The request.
     * @param nowMs - The monotonic time, in milliseconds.
     * @param isLocal - Whether this node sent the request.
     */
    add(request: InFlightRequest, nowMs: number, isLocal: boolean): void {
        this.finish(request.id);
        const { ownTokens, pauseTargetMs, shared = [] } = request;
        if (ownTokens !== undefined) {
            this.sizes.record(pauseTargetMs, ownTokens);
        }
        // Without a size, the tokens to prefill are a lower bound of the memory that the request takes.
        const assumedTokens = ownTokens ?? Math.max(request.tokens, this.sizes.estimateTokens(pauseTargetMs));
        const memory = { ownTokens: assumedTokens, shared };
        const tracked = { ...request, memory, sentMs: nowMs, isLocal, isPrefilling: true };
        this.memory.add(request.serverId, memory);
        this.addPrefillTokens(request.serverId, request.tokens);
        this.requests.set(request.id, tracked);
        const serverRequests = this.byServer.get(request.serverId) ?? new Set();
        this.byServer.set(request.serverId, serverRequests.add(tracked));
        this.addToStreamCount(request.pauseTargetMs, 1);
    }

    /** Records the first event of a request, which ends its prefill. */
    recordFirstEvent(id: string): void {
        const request = this.requests.get(id);
        if (request !== undefined) {
            this.finishPrefill(request);
        }
    }

    /** Removes a request that ended. */
    finish(id: string): void {
        const request = this.requests.get(id);
        if (request !== undefined) {
            this.finishPrefill(request);
            this.requests.delete(id);
            this.byServer.get(request.serverId)?.delete(request);
            this.memory.remove(request.serverId, request.memory);
            this.addToStreamCount(request.pauseTargetMs, -1);
        }
    }

    /** Removes the requests of a server that restarted, which holds none of them any more. */
    removeServer(serverId: string): void {
        for (const { id } of [...(this.byServer.get(serverId) ?? [])]) {
            this.finish(id);
        }
    }

    /** Expires requests of peers for which no message came in time. */
    removeStale(nowMs: number): void {
        for (const request of this.requests.values()) {
            if (nowMs - request.sentMs <= peerFirstEventTimeoutMs) {
                return;
            }
            if (request.isLocal) {
                continue;
            }
            this.finishPrefill(request);
            if (nowMs - request.sentMs > peerEndTimeoutMs) {
                this.finish(request.id);
            }
        }
    }

    /** Counts the prompt tokens that a server still has to prefill. */
    countPrefillTokens(serverId: string): number {
        return this.prefillTokens.get(serverId) ?? 0;
    }

    /** Counts the requests in flight on a server. */
    countRequests(serverId: string): number {
        return this.byServer.get(serverId)?.size ?? 0;
    }

    /** Counts the tokens of memory that the requests in flight on a server hold. */
    countHeldTokens(serverId: string): number {
        return this.memory.countTokens(serverId);
    }

    /** @returns The mean tokens of a request that no other shares. */
    readMeanTokens(): number {
        return this.sizes.readMean();
    }

    /**
     * Computes the tokens of memory that one more request would hold on a server.
     *
     * @param serverId - The server.
     * @param use - What the request holds.
     * @returns The tokens.
     */
    computeAddedTokens(serverId: string, use: MemoryUse): number {
        return this.memory.computeAddedTokens(serverId, use);
    }

    /**
     * Counts the streams in flight on all servers.
     *
     * @param maximumPauseMs - Longest pause target of the streams to count, in milliseconds.
     * @returns The number of streams.
     */
    countStreams(maximumPauseMs: number): number {
        let count = 0;
        for (const [pauseTargetMs, streams] of this.streamCounts) {
            count += pauseTargetMs <= maximumPauseMs ? streams : 0;
        }
        return count;
    }

    /**
     * Estimates how many streams on a server miss their pause target because of a pause. A stream counts in part when
     * the pause comes near its target, since other prompts may arrive at the same time.
     *
     * @param serverId - The server.
     * @param pauseMs - The predicted pause, in milliseconds.
     * @returns The expected number of streams.
     */
    estimateDelayedStreams(serverId: string, pauseMs: number): number {
        let expected = 0;
        for (const { pauseTargetMs } of this.byServer.get(serverId) ?? []) {
            expected += estimateDelayChance(pauseMs, pauseTargetMs);
        }
        return expected;
    }

    private finishPrefill(request: TrackedRequest): void {
        if (request.isPrefilling) {
            request.isPrefilling = false;
            this.addPrefillTokens(request.serverId, -request.tokens);
        }
    }

    private addPrefillTokens(serverId: string, change: number): void {
        this.prefillTokens.set(serverId, (this.prefillTokens.get(serverId) ?? 0) + change);
    }

    private addToStreamCount(pauseTargetMs: number | undefined, change: number): void {
        if (pauseTargetMs === undefined) {
            return;
        }
        const count = (this.streamCounts.get(pauseTargetMs) ?? 0) + change;
        if (count > 0) {
            this.streamCounts.set(pauseTargetMs, count);
        } else {
            this.streamCounts.delete(pauseTargetMs);
        }
    }
}

/**
 * Estimates the chance that a predicted pause makes a stream miss its pause target.
 *
 * @param pauseMs - The predicted pause, in milliseconds.
 * @param pauseTargetMs - The stream's pause target, in milliseconds; undefined if the answer isn't streamed.
 * @returns The chance, 0 to 1.
 */
export function estimateDelayChance(pauseMs: number, pauseTargetMs: number | undefined): number {
    if (pauseTargetMs === undefined) {
        return 0;
    }
    const chance = (pauseMs / pauseTargetMs - safePauseShare) / (1 - safePauseShare);
    return Math.min(1, Math.max(0, chance));
}
