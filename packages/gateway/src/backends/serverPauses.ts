/**
 * The pauses that servers asked this node for.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

/** Longest pause that is granted, in milliseconds, so that a wrong figure does not end the use of a server. */
const maximumPauseMs = 3_600_000;

/** Tracks which servers get nothing from this node for now. */
export class ServerPauses {
    private readonly endsMs = new Map<string, number>();

    /** @param clock - The node's clock. */
    constructor(private readonly clock: Clock) {}

    /**
     * Records that a server asked for a pause; of several ones the latest end counts.
     *
     * @param serverId - The server.
     * @param durationMs - Length of the pause from now, in milliseconds.
     * @returns Whether the pause was granted in full.
     */
    recordPause(serverId: string, durationMs: number): boolean {
        const nowMs = this.clock.monotonicMs();
        for (const [id, endMs] of this.endsMs) {
            if (endMs <= nowMs) {
                this.endsMs.delete(id);
            }
        }
        const endMs = nowMs + Math.min(durationMs, maximumPauseMs);
        this.endsMs.set(serverId, Math.max(endMs, this.endsMs.get(serverId) ?? endMs));
        return durationMs <= maximumPauseMs;
    }

    /** @param serverId - A server that has started anew, and has asked for nothing since. */
    clearPause(serverId: string): void {
        this.endsMs.delete(serverId);
    }

    /**
     * Computes how long a server still gets nothing from this node.
     *
     * @param serverId - The server.
     * @returns The time, in milliseconds; 0 without a pause.
     */
    computeRemainingMs(serverId: string): number {
        const endMs = this.endsMs.get(serverId);
        return endMs === undefined ? 0 : Math.max(0, endMs - this.clock.monotonicMs());
    }
}
