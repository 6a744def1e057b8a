/**
 * Records where streams began, for as long as they may be resumed.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

/** Where a stream began; it goes on nowhere else. */
export interface StreamOrigin {
    readonly service: string;
    /** Software version of the server that sent the first event; undefined when its registration names none. */
    readonly softwareVersion?: string | undefined;
}

/** Time for which the origin of a stream is kept, in milliseconds; longer than a caller waits for a stream. */
const retentionMs = 60_000;
/** Maximum number of streams whose origin is kept; beyond it the oldest are forgotten. */
const maximumOrigins = 20_000;

/** Keeps the origins of streams by the identifier of the request that began them. */
export class StreamOrigins {
    /** In the order in which they were recorded. */
    private readonly origins = new Map<string, { readonly origin: StreamOrigin; readonly atMs: number }>();

    /** @param clock - The node's clock. */
    constructor(private readonly clock: Clock) {}

    /**
     * Records the origin of a stream, or that it was taken up. The first record of a stream holds; later ones keep it for
     * longer, so that a stream which callers go on resuming does not outlast its record.
     *
     * @param requestId - Identifier of the request whose response brought the first event.
     * @param origin - Where it began.
     */
    recordOrigin(requestId: string, origin: StreamOrigin): void {
        const nowMs = this.clock.monotonicMs();
        const known = this.origins.get(requestId);
        this.origins.delete(requestId);
        this.origins.set(requestId, { origin: known?.origin ?? origin, atMs: nowMs });
        for (const [id, { atMs }] of this.origins) {
            if (nowMs - atMs <= retentionMs && this.origins.size <= maximumOrigins) {
                break;
            }
            this.origins.delete(id);
        }
    }

    /**
     * Finds where a stream began.
     *
     * @param requestId - Identifier of the request whose response brought the first event.
     * @returns The origin, or undefined when it is not recorded.
     */
    findOrigin(requestId: string): StreamOrigin | undefined {
        const found = this.origins.get(requestId);
        const isRecent = found !== undefined && this.clock.monotonicMs() - found.atMs <= retentionMs;
        return isRecent ? found.origin : undefined;
    }
}
