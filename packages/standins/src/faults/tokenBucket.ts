/**
 * A token bucket for the rate limits of the stand-ins.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

const millisecondsPerSecond = 1_000;

/** Lets a number of calls a second pass, with a burst of one second. */
export class TokenBucket {
    private tokens: number;
    private refilledAtMs: number;

    /**
     * @param callsPerSecond - Calls a second; 0 sets no limit.
     * @param clock - Source of time.
     */
    constructor(
        private readonly callsPerSecond: number,
        private readonly clock: Clock,
    ) {
        this.tokens = callsPerSecond;
        this.refilledAtMs = clock.monotonicMs();
    }

    /**
     * Takes a token when there is one.
     *
     * @returns 0 when a token was taken, else when to come back, in milliseconds from now.
     */
    takeToken(): number {
        if (this.callsPerSecond === 0) {
            return 0;
        }
        this.addTokens();
        if (this.tokens >= 1) {
            this.tokens -= 1;
            return 0;
        }
        return ((1 - this.tokens) / this.callsPerSecond) * millisecondsPerSecond;
    }

    private addTokens(): void {
        const nowMs = this.clock.monotonicMs();
        const earned = ((nowMs - this.refilledAtMs) / millisecondsPerSecond) * this.callsPerSecond;
        this.tokens = Math.min(Math.max(1, this.callsPerSecond), this.tokens + earned);
        this.refilledAtMs = nowMs;
    }
}
