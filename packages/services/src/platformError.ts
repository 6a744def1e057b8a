/**
 * Failures of the platform's services.
 *
 * @packageDocumentation
 */

/** What a failed call to a platform service tells about its effect. */
export enum PlatformErrorKind {
    /** The service refused the call or was never reached; it had no effect. */
    Unavailable = "unavailable",
    /** The service asked to slow down; the call had no effect. */
    RateLimited = "rate_limited",
    /** The answer was lost; the call may have had its effect. */
    Ambiguous = "ambiguous",
    /** The service found the call invalid; it had no effect. */
    Rejected = "rejected",
}

/** A failed call to a platform service. */
export class PlatformError extends Error {
    /**
     * @param kind - What is known about the effect.
     * @param message - What failed.
     * @param retryAfterMs - When to come back, in milliseconds, if the service said so.
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
