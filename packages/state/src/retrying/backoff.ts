/**
 * Waiting times between retries.
 *
 * @packageDocumentation
 */

/** Bounds of the waiting time. */
export interface BackoffOptions {
    readonly firstMs: number;
    readonly longestMs: number;
}

/**
 * Computes the wait before a retry: exponential with full jitter, so that nodes that failed together
 * do not retry together.
 *
 * @param options - The bounds, in milliseconds.
 * @param attempt - 1 for the first retry.
 * @param random - Uniform in [0, 1).
 * @returns The wait in milliseconds, at least half of the first step.
 */
export function computeBackoffMs(options: BackoffOptions, attempt: number, random: () => number): number {
    const ceilingMs = Math.min(options.longestMs, options.firstMs * 2 ** Math.min(attempt - 1, 30));
    return Math.max(options.firstMs / 2, ceilingMs * random());
}
