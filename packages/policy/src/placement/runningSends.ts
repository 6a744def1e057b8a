/**
 * The requests that this node and its peers have sent to servers: prompts still to be read, and streams that
 * run.
 *
 * @packageDocumentation
 */

/** One send. */
export interface KnownSend {
    /** Names the send among all nodes. */
    readonly id: string;
    readonly serverId: string;
    /** Prompt tokens that the server has to read before the first event. */
    readonly tokens: number;
    /** Longest pause between events with which its answer is on time, in milliseconds; undefined for whole answers. */
    readonly pauseTargetMs: number | undefined;
}

interface TimedSend extends KnownSend {
    readonly atMs: number;
    /** Whether the end is heard of for certain; others are forgotten after a while. */
    readonly isOwn: boolean;
    isReading: boolean;
}

/** A peer's send whose first event was not heard of, because a datagram was lost or its node died. */
const unheardStartMs = 3_000;
/** A peer's stream whose end was not heard of. */
const unheardEndMs = 10_000;

/** Keeps the sends by server. */
export class RunningSends {
    private readonly sends = new Map<string, TimedSend>();
    private readonly byServer = new Map<string, Set<TimedSend>>();

    /**
     * Notes a send.
     *
     * @param send - The send.
     * @param nowMs - Monotonic time, in milliseconds.
     * @param isOwn - Whether it is this node's.
     */
    addSend(send: KnownSend, nowMs: number, isOwn: boolean): void {
        this.finishSend(send.id);
        const timed = { ...send, atMs: nowMs, isOwn, isReading: true };
        this.sends.set(send.id, timed);
        const ofServer = this.byServer.get(send.serverId) ?? new Set();
        this.byServer.set(send.serverId, ofServer.add(timed));
    }

    /** @param id - A send whose first event arrived. */
    startSend(id: string): void {
        const send = this.sends.get(id);
        if (send !== undefined) {
            send.isReading = false;
        }
    }

    /** @param id - A send that ended. */
    finishSend(id: string): void {
        const send = this.sends.get(id);
        if (send !== undefined) {
            this.sends.delete(id);
            this.byServer.get(send.serverId)?.delete(send);
        }
    }

    /** @param nowMs - Monotonic time; peers' sends that are too old are forgotten. */
    removePast(nowMs: number): void {
        for (const send of this.sends.values()) {
            if (nowMs - send.atMs <= unheardStartMs) {
                return;
            }
            if (send.isOwn) {
                continue;
            }
            send.isReading = false;
            if (nowMs - send.atMs > unheardEndMs) {
                this.finishSend(send.id);
            }
        }
    }

    /**
     * Counts the prompt tokens that a server still has to read.
     *
     * @param serverId - The server.
     * @returns The tokens.
     */
    countTokens(serverId: string): number {
        let tokens = 0;
        for (const send of this.byServer.get(serverId) ?? []) {
            tokens += send.isReading ? send.tokens : 0;
        }
        return tokens;
    }

    /**
     * Counts the requests on a server.
     *
     * @param serverId - The server.
     * @returns The requests.
     */
    countSends(serverId: string): number {
        return this.byServer.get(serverId)?.size ?? 0;
    }

    /**
     * Counts the streams that a pause would make late.
     *
     * @param serverId - The server.
     * @param pauseMs - The pause, in milliseconds.
     * @returns The streams.
     */
    countDisturbed(serverId: string, pauseMs: number): number {
        let count = 0;
        for (const { pauseTargetMs } of this.byServer.get(serverId) ?? []) {
            count += pauseTargetMs !== undefined && pauseTargetMs < pauseMs ? 1 : 0;
        }
        return count;
    }
}
