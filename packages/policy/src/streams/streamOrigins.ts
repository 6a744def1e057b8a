/**
 * Records at which software version streams began, for as long as they may be resumed.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

/** Time for which the origin of a stream is kept, in milliseconds; longer than a caller waits for a stream. */
const retentionMs = 60_000;
/** Maximum number of streams whose origin is kept; beyond it the oldest are forgotten. */
const maximumOrigins = 20_000;

interface StreamOrigin {
    readonly softwareVersion: string;
    readonly atMs: number;
}

/** Keeps the origins of streams by the identifier of the request that began them. */
export class StreamOrigins {
    /** In the order in which they were recorded. */
    private readonly origins = new Map<string, StreamOrigin>();

    /** @param clock - The node's clock. */
    constructor(private readonly clock: Clock) {}

    /**
     * Records the origin of a stream. The first record of a stream holds.
     *
     * @param requestId - Identifier of the request whose response brought the first event.
     * @param softwareVersion - Version of the server that sent the event.
     */
    recordOrigin(requestId: string, softwareVersion: string): void {
        const nowMs = this.clock.monotonicMs();
        if (!this.origins.has(requestId)) {
            this.origins.set(requestId, { softwareVersion, atMs: nowMs });
        }
        for (const [id, { atMs }] of this.origins) {
            if (nowMs - atMs <= retentionMs && this.origins.size <= maximumOrigins) {
                break;
            }
            this.origins.delete(id);
        }
    }

    /**
     * Finds the software version at which a stream began.
     *
     * @param requestId - Identifier of the request whose response brought the first event.
     * @returns The version, or undefined when it is not recorded.
     */
    findVersion(requestId: string): string | undefined {
        const origin = this.origins.get(requestId);
        const isRecent = origin !== undefined && this.clock.monotonicMs() - origin.atMs <= retentionMs;
        return isRecent ? origin.softwareVersion : undefined;
    }
}
