/**
 * The requests of this node and its peers that are in flight: prompts that servers still have to prefill, and running
 * streams.
 *
 * @packageDocumentation
 */

/** A request that a node has sent to a server. */
export interface InFlightRequest {
    /** Identifies the in-flight request among those of all nodes. */
    readonly id: string;
    readonly serverId: string;
    /** Prompt tokens that the server has to prefill before the first event. */
    readonly tokens: number;
    /** Maximum pause between events that meets the target, in milliseconds; undefined if the answer isn't streamed. */
    readonly pauseTargetMs: number | undefined;
}

interface TrackedRequest extends InFlightRequest {
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

    /**
     * Adds a request that was sent, replacing one with the same identifier.
     *
     * @param request - The request.
     * @param nowMs - The monotonic time, in milliseconds.
     * @param isLocal - Whether this node sent the request.
     */
    add(request: InFlightRequest, nowMs: number, isLocal: boolean): void {
        this.finish(request.id);
        const tracked = { ...request, sentMs: nowMs, isLocal, isPrefilling: true };
        this.requests.set(request.id, tracked);
        const serverRequests = this.byServer.get(request.serverId) ?? new Set();
        this.byServer.set(request.serverId, serverRequests.add(tracked));
        this.addToStreamCount(request.pauseTargetMs, 1);
    }

    /** Records the first event of a request, which ends its prefill. */
    recordFirstEvent(id: string): void {
        const request = this.requests.get(id);
        if (request !== undefined) {
            request.isPrefilling = false;
        }
    }

    /** Removes a request that ended. */
    finish(id: string): void {
        const request = this.requests.get(id);
        if (request !== undefined) {
            this.requests.delete(id);
            this.byServer.get(request.serverId)?.delete(request);
            this.addToStreamCount(request.pauseTargetMs, -1);
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
            request.isPrefilling = false;
            if (nowMs - request.sentMs > peerEndTimeoutMs) {
                this.finish(request.id);
            }
        }
    }

    /** Counts the prompt tokens that a server still has to prefill. */
    countPrefillTokens(serverId: string): number {
        let tokens = 0;
        for (const request of this.byServer.get(serverId) ?? []) {
            tokens += request.isPrefilling ? request.tokens : 0;
        }
        return tokens;
    }

    /** Counts the requests in flight on a server. */
    countRequests(serverId: string): number {
        return this.byServer.get(serverId)?.size ?? 0;
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
