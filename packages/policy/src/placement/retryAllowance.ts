/**
 * Bounds sends beyond the first of each request, in every sliding window, without asking other nodes.
 *
 * @packageDocumentation
 */

/** Bounds of a {@link RetryAllowance}. */
export interface RetryAllowanceSettings {
    /** Length of the window, in milliseconds. */
    readonly windowMs: number;
    /** Retries for each first try in the window, 0 to 1. */
    readonly share: number;
    /** Retries in a window beside that share: this node's part of the slack that all nodes have together. */
    readonly slack: number;
}

/** Counts first tries and retries of one service on one node. */
export class RetryAllowance {
    private firstAttempts: number[] = [];
    private retries: number[] = [];

    /** @param settings - The bounds. */
    constructor(private settings: RetryAllowanceSettings) {}

    /** @param settings - The bounds from now on. */
    updateSettings(settings: RetryAllowanceSettings): void {
        this.settings = settings;
    }

    /** @param nowMs - Monotonic time at which a request was sent for the first time. */
    recordFirstAttempt(nowMs: number): void {
        this.removeExpired(nowMs);
        this.firstAttempts.push(nowMs);
    }

    /**
     * Takes a retry from the allowance.
     *
     * @param nowMs - Monotonic time, in milliseconds.
     * @returns Whether the retry may be sent; if so, it is counted.
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
