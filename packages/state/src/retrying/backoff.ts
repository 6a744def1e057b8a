/**
 * Delays between retries.
 *
 * @packageDocumentation
 */

/** Limits of the delay before a retry, in milliseconds. */
export interface BackoffOptions {
    readonly initialMs: number;
    readonly maximumMs: number;
}

/**
 * Computes the delay before a retry: exponential backoff with full jitter, so that nodes that failed at the same
 * time do not retry at the same time.
 *
 * @param options - The limits of the delay.
 * @param attempt - 1 for the first retry.
 * @param random - Returns a uniform random number in [0, 1).
 * @returns The delay in milliseconds, at least half of the initial delay.
 */
export function computeBackoffMs(options: BackoffOptions, attempt: number, random: () => number): number {
    const ceilingMs = Math.min(options.maximumMs, options.initialMs * 2 ** Math.min(attempt - 1, 30));
    return Math.max(options.initialMs / 2, ceilingMs * random());
}
