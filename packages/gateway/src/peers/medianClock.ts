/**
 * A clock whose wall time agrees among the nodes, so that a host whose own clock is stepped assigns usage to the same
 * windows as the others.
 *
 * @packageDocumentation
 */
import type { WaitingClock } from "@pimentocleat/types";

/** Time of a peer's clock as its last message showed it. */
interface PeerTime {
    /** The peer's wall time minus this host's monotonic time on receipt, in milliseconds. */
    readonly offsetMs: number;
    readonly receivedMs: number;
}

/**
 * Time for which a peer's clock reading is used after receipt, in milliseconds; a live node sends several messages in
 * it. The monotonic clock of a suspended host stops, so after a suspension the median may lag for this long.
 */
const peerTimeLifetimeMs = 3_000;
/** Minimum number of peers; with fewer, a single wrong clock cannot be outvoted. */
const minimumPeers = 2;
/** Time for which a computed median is reused, in milliseconds; far shorter than a usage window. */
const medianLifetimeMs = 50;

/**
 * Provides a wall time that is the median of this host's and its peers' clocks. Peers send the time of their own
 * clocks, not the median, so that one wrong clock does not affect the others. A host that receives messages of fewer
 * than two peers uses its own clock.
 */
export class MedianClock implements WaitingClock {
    private readonly peerTimes = new Map<string, PeerTime>();
    private computed: { readonly offsetMs: number | undefined; readonly atMs: number } | undefined;

    /** @param clock - The host's clock. */
    constructor(private readonly clock: WaitingClock) {}

    /**
     * Records the time of a peer's clock. The transit time of the message, a few milliseconds, is not subtracted.
     *
     * @param peer - Name of the peer.
     * @param wallMs - Wall time of the peer, in milliseconds since the Unix epoch.
     */
    recordPeerTime(peer: string, wallMs: number): void {
        const receivedMs = this.clock.monotonicMs();
        this.peerTimes.set(peer, { offsetMs: wallMs - receivedMs, receivedMs });
    }

    monotonicMs(): number {
        return this.clock.monotonicMs();
    }

    wallMs(): number {
        const nowMs = this.clock.monotonicMs();
        if (this.computed === undefined || nowMs - this.computed.atMs >= medianLifetimeMs) {
            this.computed = { offsetMs: this.computeOffsetMs(nowMs), atMs: nowMs };
        }
        const { offsetMs } = this.computed;
        return offsetMs === undefined ? this.clock.wallMs() : nowMs + offsetMs;
    }

    wait(durationMs: number, signal?: AbortSignal): Promise<void> {
        return this.clock.wait(durationMs, signal);
    }

    private computeOffsetMs(nowMs: number): number | undefined {
        for (const [peer, { receivedMs }] of this.peerTimes) {
            if (nowMs - receivedMs > peerTimeLifetimeMs) {
                this.peerTimes.delete(peer);
            }
        }
        if (this.peerTimes.size < minimumPeers) {
            return undefined;
        }
        const ownOffsetMs = this.clock.wallMs() - nowMs;
        const offsets = [...this.peerTimes.values()].map(({ offsetMs }) => offsetMs);
        const sorted = [...offsets, ownOffsetMs].sort((left, right) => left - right);
        return sorted[Math.floor((sorted.length - 1) / 2)];
    }
}
