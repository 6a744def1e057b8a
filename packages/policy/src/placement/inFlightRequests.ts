/**
 * The requests that this node and its peers have sent to servers: prompts still to be read, and streams that
 * run.
 *
 * @packageDocumentation
 */

/** One send. */
export interface InFlightRequest {
    /** Names the send among all nodes. */
    readonly id: string;
    readonly serverId: string;
    /** Prompt tokens that the server has to read before the first event. */
    readonly tokens: number;
    /** Longest pause between events with which its answer is on time, in milliseconds; undefined for whole answers. */
    readonly pauseTargetMs: number | undefined;
}

interface TrackedRequest extends InFlightRequest {
    readonly sentMs: number;
    /** Whether the end is heard of for certain; others are forgotten after a while. */
    readonly isLocal: boolean;
    isPrefilling: boolean;
}

/** A peer's send whose first event was not heard of, because a datagram was lost or its node died. */
const peerFirstEventTimeoutMs = 3_000;
/** A peer's stream whose end was not heard of. */
const peerEndTimeoutMs = 10_000;

/** Keeps the sends by server. */
export class InFlightRequests {
    private readonly requests = new Map<string, TrackedRequest>();
    private readonly byServer = new Map<string, Set<TrackedRequest>>();

    /**
     * Notes a send.
     *
     * @param send - The send.
     * @param nowMs - Monotonic time, in milliseconds.
     * @param isOwn - Whether it is this node's.
     */
    add(send: InFlightRequest, nowMs: number, isOwn: boolean): void {
        this.finish(send.id);
        const timed = { ...send, atMs: nowMs, isOwn, isReading: true };
        this.requests.set(send.id, timed);
        const ofServer = this.byServer.get(send.serverId) ?? new Set();
        this.byServer.set(send.serverId, ofServer.add(timed));
    }

    /** @param id - A send whose first event arrived. */
    recordFirstEvent(id: string): void {
        const send = this.requests.get(id);
        if (send !== undefined) {
            send.isPrefilling = false;
        }
    }

    /** @param id - A send that ended. */
    finish(id: string): void {
        const send = this.requests.get(id);
        if (send !== undefined) {
            this.requests.delete(id);
            this.byServer.get(send.serverId)?.delete(send);
        }
    }

    /** @param nowMs - Monotonic time; peers' sends that are too old are forgotten. */
    removeStale(nowMs: number): void {
        for (const send of this.requests.values()) {
            if (nowMs - send.sentMs <= peerFirstEventTimeoutMs) {
                return;
            }
            if (send.isLocal) {
                continue;
            }
            send.isPrefilling = false;
            if (nowMs - send.sentMs > peerEndTimeoutMs) {
                this.finish(send.id);
            }
        }
    }

    /**
     * Counts the prompt tokens that a server still has to read.
     *
     * @param serverId - The server.
     * @returns The tokens.
     */
    countPrefillTokens(serverId: string): number {
        let tokens = 0;
        for (const send of this.byServer.get(serverId) ?? []) {
            tokens += send.isPrefilling ? send.tokens : 0;
        }
        return tokens;
    }

    /**
     * Counts the requests on a server.
     *
     * @param serverId - The server.
     * @returns The requests.
     */
    countRequests(serverId: string): number {
        return this.byServer.get(serverId)?.size ?? 0;
    }

    /**
     * Counts the streams that a pause would make late.
     *
     * @param serverId - The server.
     * @param pauseMs - The pause, in milliseconds.
     * @returns The streams.
     */
    countDelayedStreams(serverId: string, pauseMs: number): number {
        let count = 0;
        for (const { pauseTargetMs } of this.byServer.get(serverId) ?? []) {
            count += pauseTargetMs !== undefined && pauseTargetMs < pauseMs ? 1 : 0;
        }
        return count;
    }
}
