/**
 * Calls of the table service that are retried for a while.
 *
 * @packageDocumentation
 */
import { PlatformError, PlatformErrorKind } from "@pimentocleat/services";
import type { WaitingClock } from "@pimentocleat/types";
import { computeBackoffMs } from "../retrying/backoff.js";

/** Options of {@link CallRetrier}; durations in milliseconds. */
export interface CallRetrierOptions {
    readonly clock: WaitingClock;
    /** Uniform in [0, 1). */
    readonly random: () => number;
    readonly initialRetryDelayMs: number;
    readonly maximumRetryDelayMs: number;
}

/** Bounds that hold unless overridden. */
export const defaultRetryDelays = { initialRetryDelayMs: 50, maximumRetryDelayMs: 1_000 };

/** Bound on one call to the table service unless overridden, in milliseconds. */
export const defaultCallTimeoutMs = 2_000;

/** Retries idempotent operations until a deadline. */
export class CallRetrier {
    /** @param options - Clock, random source and bounds. */
    constructor(private readonly options: CallRetrierOptions) {}

    /** @returns The monotonic time, in milliseconds. */
    readNowMs(): number {
        return this.options.clock.monotonicMs();
    }

    /**
     * Runs an idempotent operation until it succeeds or the deadline has passed.
     *
     * @param deadlineMs - Monotonic time after which no retry starts.
     * @param call - Starts the operation.
     * @returns The operation's result; throws the last failure.
     */
    async runWithRetries<Result>(deadlineMs: number, call: () => Promise<Result>): Promise<Result> {
        for (let attempt = 1; ; attempt += 1) {
            try {
                return await call();
            } catch (error) {
                if (!isTransientError(error) || !(await this.waitForRetry(attempt, deadlineMs, error))) {
                    throw error;
                }
            }
        }
    }

    /**
     * Waits before a retry.
     *
     * @param attempt - 1 for the first retry.
     * @param deadlineMs - Monotonic time after which no retry starts.
     * @param error - The failure, which may say when to come back.
     * @returns Whether there is time for a retry.
     */
    async waitForRetry(attempt: number, deadlineMs: number, error?: unknown): Promise<boolean> {
        const backoffMs = computeBackoffMs(
            { initialMs: this.options.initialRetryDelayMs, maximumMs: this.options.maximumRetryDelayMs },
            attempt,
            this.options.random,
        );
        const requestedDelayMs = error instanceof PlatformError ? (error.retryAfterMs ?? 0) : 0;
        const delayMs = Math.max(backoffMs, requestedDelayMs);
        if (this.readNowMs() + delayMs > deadlineMs) {
            return false;
        }
        await this.options.clock.wait(delayMs);
        return true;
    }
}

/**
 * Tells whether a failure may pass by itself.
 *
 * @param error - What a call threw.
 * @returns False for calls that the service found invalid and for errors of this process.
 */
export function isTransientError(error: unknown): boolean {
    return error instanceof PlatformError && error.kind !== PlatformErrorKind.Rejected;
}
