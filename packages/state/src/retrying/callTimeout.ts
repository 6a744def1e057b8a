/**
 * A bound on the time that a call to a platform service may take.
 *
 * @packageDocumentation
 */
import { PlatformError, PlatformErrorKind } from "@pimentocleat/services";
import type { WaitingClock } from "@pimentocleat/types";

/** Options of {@link runWithTimeout}. */
export interface CallTimeoutOptions {
    readonly clock: WaitingClock;
    readonly timeoutMs: number;
    /** Names the call in the error. */
    readonly callName: string;
}

/**
 * Waits for a call, but no longer than a bound. A call that exceeds the bound may still take effect later.
 *
 * @param options - The clock and the bound.
 * @param call - Starts the call.
 * @returns The call's result.
 * @throws PlatformError of kind `Ambiguous` when the bound has passed.
 */
export async function runWithTimeout<Result>(
    options: CallTimeoutOptions,
    call: () => Promise<Result>,
): Promise<Result> {
    const controller = new AbortController();
    const timeout = options.clock.wait(options.timeoutMs, controller.signal).then((): Result => {
        const message = `${options.callName}: no answer within ${options.timeoutMs} ms`;
        throw new PlatformError(PlatformErrorKind.Ambiguous, message);
    });
    try {
        const answer = call();
        answer.catch(() => {});
        return await Promise.race([answer, timeout]);
    } finally {
        timeout.catch(() => {});
        controller.abort();
    }
}

/**
 * Tells whether a failed call may have taken effect.
 *
 * @param error - What the call threw.
 * @returns False only if the service proved that the call had no effect.
 */
export function isAmbiguous(error: unknown): boolean {
    return !(error instanceof PlatformError) || error.kind === PlatformErrorKind.Ambiguous;
}
