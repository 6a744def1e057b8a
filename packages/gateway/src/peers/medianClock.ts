/**
 * A clock whose wall time the nodes agree on, so that a host whose own one is stepped counts usage as the others do.
 *
 * @packageDocumentation
 */
import type { WaitingClock } from "@pimentocleat/types";

interface PeerTime {
    /** The peer's wall time minus this host's monotonic time when it was heard, in milliseconds. */
    readonly offsetMs: number;
    readonly receivedMs: number;
}

/**
 * How long a peer's time is used after it was heard, in milliseconds: some messages of a node that lives. A host's
 * monotonic clock stands still while it is suspended; so long at the most it is behind afterwards.
 */
const peerTimeLifetimeMs = 3_000;
/** With fewer peers a majority cannot be told from a single wrong clock. */
const minimumPeers = 2;
/** How long a computed median is used, in milliseconds; far below the length of a usage window. */
const medianLifetimeMs = 50;

/**
 * Wall time is the median of this host's and its peers' clocks. Peers tell the time of their own clocks, not the
 * agreed one, so that one wrong clock does not spread. A host that hears fewer than two peers relies on its own.
 */
export class MedianClock implements WaitingClock {
    private readonly peerTimes = new Map<string, PeerTime>();
    private computed: { readonly offsetMs: number | undefined; readonly atMs: number } | undefined;

    /** @param clock - The host's clock. */
    constructor(private readonly clock: WaitingClock) {}

    /**
     * Notes what a peer's clock shows. The message's way, some milliseconds, is not taken off.
     *
     * @param peer - Name of the peer.
     * @param wallMs - Its wall time, in milliseconds since the Unix epoch.
     */
    recordPeerTime(peer: string, wallMs: number): void {
        const heardMs = this.clock.monotonicMs();
        this.peerTimes.set(peer, { offsetMs: wallMs - heardMs, receivedMs: heardMs });
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
        for (const [peer, { receivedMs: heardMs }] of this.peerTimes) {
            if (nowMs - heardMs > peerTimeLifetimeMs) {
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
