/**
 * Timeouts of calls to the platform's services.
 *
 * @packageDocumentation
 */
import { PlatformError, PlatformErrorKind } from "@pimentocleat/services";
import type { WaitingClock } from "@pimentocleat/types";

/** Options of {@link runWithTimeout}. */
export interface CallTimeoutOptions {
    readonly clock: WaitingClock;
    readonly timeoutMs: number;
    /** Name of the call in the error message. */
    readonly callName: string;
}

/**
 * Runs a call with a timeout. A call that times out may still take effect later.
 *
 * @param options - The clock, the timeout and the name of the call.
 * @param call - Starts the call.
 * @returns The result of the call.
 * @throws PlatformError of kind `Ambiguous` when the call times out.
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
        const result = call();
        result.catch(() => {});
        return await Promise.race([result, timeout]);
    } finally {
        timeout.catch(() => {});
        controller.abort();
    }
}

/**
 * Checks whether a failed call may have taken effect.
 *
 * @param error - The error of the call.
 * @returns False only if the service proved that the call had no effect.
 */
export function isAmbiguous(error: unknown): boolean {
    return !(error instanceof PlatformError) || error.kind === PlatformErrorKind.Ambiguous;
}
