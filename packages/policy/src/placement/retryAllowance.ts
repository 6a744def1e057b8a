/**
 * A limit on retries in every sliding window, enforced on each node without contacting other nodes.
 *
 * @packageDocumentation
 */

/** Settings of a {@link RetryAllowance}. */
export interface RetryAllowanceSettings {
    /** Length of the sliding window, in milliseconds. */
    readonly windowMs: number;
    /** Retries allowed per first attempt in the window, 0 to 1. */
    readonly share: number;
    /** Retries allowed in a window in addition to that share: this node's part of the slack of all nodes. */
    readonly slack: number;
}

/** Limits the retries of one service on one node by counting its first attempts and retries. */
export class RetryAllowance {
    private firstAttempts: number[] = [];
    private retries: number[] = [];

    /** @param settings - The limits. */
    constructor(private settings: RetryAllowanceSettings) {}

    /**
     * Replaces the settings.
     *
     * @param settings - The new limits.
     */
    updateSettings(settings: RetryAllowanceSettings): void {
        this.settings = settings;
    }

    /**
     * Records the first attempt of a request.
     *
     * @param nowMs - The monotonic time, in milliseconds.
     */
    recordFirstAttempt(nowMs: number): void {
        this.removeExpired(nowMs);
        this.firstAttempts.push(nowMs);
    }

    /**
     * Checks whether a retry is allowed, and counts it if so.
     *
     * @param nowMs - The monotonic time, in milliseconds.
     * @returns Whether the retry may be sent.
     */
    takeRetry(nowMs: number): boolean {
        this.removeExpired(nowMs);
        const { share, slack } = this.settings;
        if (this.retries.length + 1 > share * this.firstAttempts.length + slack) {
            return false;
        }
        this.retries.push(nowMs);
        return true;
    }

    private removeExpired(nowMs: number): void {
        const startMs = nowMs - this.settings.windowMs;
        this.firstAttempts = removeBefore(this.firstAttempts, startMs);
        this.retries = removeBefore(this.retries, startMs);
    }
}

function removeBefore(times: number[], startMs: number): number[] {
    const first = times.findIndex((time) => time > startMs);
    if (first === 0) {
        return times;
    }
    return first < 0 ? [] : times.slice(first);
}
