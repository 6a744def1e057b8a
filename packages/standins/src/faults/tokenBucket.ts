/**
 * A token bucket for the rate limits of the stand-ins.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

const millisecondsPerSecond = 1_000;

/** Limits the calls per second and allows a burst of as many calls as one second admits, at least one. */
export class TokenBucket {
    private tokens: number;
    private refilledAtMs: number;

    /**
     * @param callsPerSecond - Maximum number of calls per second; 0 disables the limit.
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
     * Takes a token if one is available.
     *
     * @returns 0 if a token was taken, otherwise the time until the next token is available, in milliseconds.
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
        const refill = ((nowMs - this.refilledAtMs) / millisecondsPerSecond) * this.callsPerSecond;
        this.tokens = Math.min(Math.max(1, this.callsPerSecond), this.tokens + refill);
        this.refilledAtMs = nowMs;
    }
}
