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
    private filledAtMs: number;

    /**
     * @param perSecond - Calls a second; 0 sets no limit.
     * @param clock - Source of time.
     */
    constructor(
        private readonly perSecond: number,
        private readonly clock: Clock,
    ) {
        this.tokens = perSecond;
        this.filledAtMs = clock.monotonicMs();
    }

    /**
     * Takes a token when there is one.
     *
     * @returns 0 when a token was taken, else when to come back, in milliseconds from now.
     */
    takeWaitMs(): number {
        if (this.perSecond === 0) {
            return 0;
        }
        this.addTokens();
        if (this.tokens >= 1) {
            this.tokens -= 1;
            return 0;
        }
        return ((1 - this.tokens) / this.perSecond) * millisecondsPerSecond;
    }

    private addTokens(): void {
        const nowMs = this.clock.monotonicMs();
        const earned = ((nowMs - this.filledAtMs) / millisecondsPerSecond) * this.perSecond;
        this.tokens = Math.min(Math.max(1, this.perSecond), this.tokens + earned);
        this.filledAtMs = nowMs;
    }
}
