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

/**
 * Minimum number of nodes among which the slack is divided: a deployment may grow while each node still counts with the
 * former number, and a node that has just started does not know the others yet.
 */
const minimumSlackShares = 20;

/**
 * Computes a node's part of the slack of all nodes.
 *
 * @param slack - Retries that all nodes combined may make in a window beyond the share.
 * @param nodes - Number of nodes that this node knows of, including itself.
 * @returns The node's part, rounded down, so that the parts never exceed the slack.
 */
export function computeSlackPart(slack: number, nodes: number): number {
    return Math.floor(slack / Math.max(minimumSlackShares, nodes));
}

/** Limits the retries of one service on one node by counting its first attempts and retries. */
export class RetryAllowance {
    private firstAttempts: number[] = [];
    private retries: number[] = [];

    /** @param readSettings - Reads the limits, which change with the number of nodes. */
    constructor(private readonly readSettings: () => RetryAllowanceSettings) {}

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
        if (!this.isRetryAllowed(nowMs)) {
            return false;
        }
        this.retries.push(nowMs);
        return true;
    }

    /**
     * Checks whether a retry is allowed, without counting one.
     *
     * @param nowMs - The monotonic time, in milliseconds.
     * @returns Whether a retry could be sent.
     */
    isRetryAllowed(nowMs: number): boolean {
        this.removeExpired(nowMs);
        const { share, slack } = this.readSettings();
        return this.retries.length + 1 <= share * this.firstAttempts.length + slack;
    }

    private removeExpired(nowMs: number): void {
        const startMs = nowMs - this.readSettings().windowMs;
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
