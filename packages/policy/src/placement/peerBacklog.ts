/**
 * Prompt tokens that other nodes have sent to servers and for which no event came back yet.
 *
 * @packageDocumentation
 */

/** One send of another node. */
export interface PeerSend {
    /** Names the send among all nodes. */
    readonly id: string;
    readonly serverId: string;
    readonly tokens: number;
}

interface KnownSend extends PeerSend {
    readonly atMs: number;
}

/** A send whose end was not heard of, because a datagram was lost or its node died, counts for this long. */
const forgottenAfterMs = 3_000;

/** Sums the sends by server. */
export class PeerBacklog {
    private readonly sends = new Map<string, KnownSend>();
    private readonly tokens = new Map<string, number>();

    /**
     * Notes a send.
     *
     * @param send - The send.
     * @param nowMs - Monotonic time, in milliseconds.
     */
    addSend(send: PeerSend, nowMs: number): void {
        this.removeSend(send.id);
        this.sends.set(send.id, { ...send, atMs: nowMs });
        this.tokens.set(send.serverId, (this.tokens.get(send.serverId) ?? 0) + send.tokens);
    }

    /** @param id - A send whose first event arrived, or that ended. */
    removeSend(id: string): void {
        const send = this.sends.get(id);
        if (send !== undefined) {
            this.sends.delete(id);
            const left = (this.tokens.get(send.serverId) ?? 0) - send.tokens;
            this.tokens.set(send.serverId, Math.max(0, left));
        }
    }

    /** @param nowMs - Monotonic time; sends that are too old are forgotten. */
    removePast(nowMs: number): void {
        for (const [id, send] of this.sends) {
            if (send.atMs > nowMs - forgottenAfterMs) {
                return;
            }
            this.removeSend(id);
        }
    }

    /**
     * Counts the tokens on a server.
     *
     * @param serverId - The server.
     * @returns The tokens.
     */
    countTokens(serverId: string): number {
        return this.tokens.get(serverId) ?? 0;
    }
}
