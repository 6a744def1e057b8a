/**
 * Retries of idempotent calls to the table service, with backoff and a deadline.
 *
 * @packageDocumentation
 */
import { PlatformError, PlatformErrorKind } from "@pimentocleat/services";
import type { WaitingClock } from "@pimentocleat/types";
import { computeBackoffMs } from "../retrying/backoff.js";

/** Options of {@link CallRetrier}. */
export interface CallRetrierOptions {
    readonly clock: WaitingClock;
    /** Returns a uniformly distributed number in [0, 1). */
    readonly random: () => number;
    /** Upper limit of the delay before the first retry, in milliseconds; doubles with each further retry. */
    readonly initialRetryDelayMs: number;
    /** Upper limit of the delay before any retry, in milliseconds, unless the service requests a longer one. */
    readonly maximumRetryDelayMs: number;
}

/** Default retry delays of {@link CallRetrier}. */
export const defaultRetryDelays = { initialRetryDelayMs: 50, maximumRetryDelayMs: 1_000 };

/** Default timeout of one call to the table service, in milliseconds. */
export const defaultCallTimeoutMs = 2_000;

/** Retries idempotent operations until a deadline. */
export class CallRetrier {
    /** @param options - The clock, the random source and the retry delays. */
    constructor(private readonly options: CallRetrierOptions) {}

    /**
     * Reads the clock with which deadlines are compared.
     *
     * @returns The monotonic time, in milliseconds.
     */
    readNowMs(): number {
        return this.options.clock.monotonicMs();
    }

    /**
     * Runs an idempotent operation and retries it after transient errors, until it succeeds or the next retry
     * would start after the deadline.
     *
     * @param deadlineMs - Monotonic time after which no retry starts.
     * @param call - Starts the operation.
     * @returns The operation's result; throws the error of the last attempt.
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
     * Waits before a retry, unless the retry would start after the deadline.
     *
     * @param attempt - Number of the retry, starting at 1.
     * @param deadlineMs - Monotonic time after which no retry starts.
     * @param error - The error of the failed attempt; its `retryAfterMs` is the shortest delay.
     * @returns True after the wait; false, without a wait, when the deadline leaves no time for a retry.
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
 * Checks whether a call that failed with an error may succeed when it is repeated.
 *
 * @param error - The error that the call threw.
 * @returns False for calls that the service rejected as invalid and for errors of this process.
 */
export function isTransientError(error: unknown): boolean {
    return error instanceof PlatformError && error.kind !== PlatformErrorKind.Rejected;
}
