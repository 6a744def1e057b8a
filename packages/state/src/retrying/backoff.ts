/**
 * Waiting times between retries.
 *
 * @packageDocumentation
 */

/** Bounds of the waiting time. */
export interface BackoffOptions {
    readonly initialMs: number;
    readonly maximumMs: number;
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
    const ceilingMs = Math.min(options.maximumMs, options.initialMs * 2 ** Math.min(attempt - 1, 30));
    return Math.max(options.initialMs / 2, ceilingMs * random());
}
