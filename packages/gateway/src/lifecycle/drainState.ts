/**
 * Tracks a stopping node from the stop signal until its requests have ended.
 *
 * @packageDocumentation
 */
import type { WaitingClock } from "@pimentocleat/types";

/** Options of {@link DrainState}. */
export interface DrainStateOptions {
    readonly clock: WaitingClock;
    /** Time after the stop signal at which the process must have ended, in milliseconds. */
    readonly stopGraceMs: number;
    /** Time reserved at the end of the grace period for closing, in milliseconds. */
    readonly closingTimeMs: number;
}

/** Time within which the load balancer detects that a node is not ready, in milliseconds. */
const balancerReactionMs = 2_600;
/**
 * Fraction of the stop grace period in which a stopping node still accepts requests. By its end the load balancer has
 * detected that the node is not ready, and accepted requests still have time to finish.
 */
const acceptingGraceShare = 0.36;
/** Interval between two checks whether a stopping node has finished its requests, in milliseconds. */
const checkIntervalMs = 50;

/** Counts the running requests, and decides when a stopping node refuses requests and when it may end. */
export class DrainState {
    private startMs: number | undefined;
    private refusalStartMs = Number.POSITIVE_INFINITY;
    private activeRequests = 0;

    /** @param options - The clock and the times of a stop. */
    constructor(private readonly options: DrainStateOptions) {}

    /** @param change - 1 when a request starts, -1 when it ends. */
    recordActive(change: 1 | -1): void {
        this.activeRequests += change;
    }

    /** @returns The number of running requests. */
    countActive(): number {
        return this.activeRequests;
    }

    /** @returns Whether the node was told to stop. */
    isDraining(): boolean {
        return this.startMs !== undefined;
    }

    /** @returns Whether new requests are refused. */
    isRefusing(): boolean {
        return this.options.clock.monotonicMs() >= this.refusalStartMs;
    }

    /** Records the stop signal. */
    start(): void {
        this.startMs = this.options.clock.monotonicMs();
        this.refusalStartMs = this.startMs + this.options.stopGraceMs * acceptingGraceShare;
    }

    /**
     * Waits until the requests have ended or the time for that is over; afterwards all new requests are refused.
     *
     * @param onRefusing - Called at each check while requests are refused, and at the end.
     */
    async waitUntilDrained(onRefusing: () => void): Promise<void> {
        const { clock, stopGraceMs, closingTimeMs } = this.options;
        const startMs = this.startMs ?? clock.monotonicMs();
        const endMs = startMs + stopGraceMs - closingTimeMs;
        while (!this.isDrained(startMs) && clock.monotonicMs() < endMs) {
            await clock.wait(checkIntervalMs);
            if (this.isRefusing()) {
                onRefusing();
            }
        }
        // In the same turn as the last check, so that no request is accepted that the next steps would cut.
        this.refusalStartMs = clock.monotonicMs();
        onRefusing();
    }

    private isDrained(startMs: number): boolean {
        return this.activeRequests === 0 && this.options.clock.monotonicMs() - startMs >= balancerReactionMs;
    }
}
