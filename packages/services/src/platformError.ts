/**
 * Failures of the platform's services.
 *
 * @packageDocumentation
 */

/** What is known about the effect of a failed call to a platform service. */
export enum PlatformErrorKind {
    /** The service refused the call or was not reached; the call had no effect. */
    Unavailable = "unavailable",
    /** The service limits the rate of calls; the call had no effect. */
    RateLimited = "rate_limited",
    /** No valid response was received; the call may have taken effect. */
    Ambiguous = "ambiguous",
    /** The service rejected the call as invalid; the call had no effect. */
    Rejected = "rejected",
}

/** A failed call to a platform service. */
export class PlatformError extends Error {
    /**
     * @param kind - What is known about the effect.
     * @param message - What failed.
     * @param retryAfterMs - Delay after which to retry, in milliseconds, if the service specified one.
     */
    constructor(
        readonly kind: PlatformErrorKind,
        message: string,
        readonly retryAfterMs?: number,
    ) {
        super(message);
        this.name = "PlatformError";
    }
}
