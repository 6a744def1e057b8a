/**
 * How one try on a backend server failed.
 *
 * @packageDocumentation
 */

/** Ways in which a try fails. */
export type AttemptFailureType =
    /** No connection; no byte was sent. */
    | "connectFailed"
    /** The connection ended before the answer was complete. */
    | "connectionLost"
    /** The backend server was silent for too long. */
    | "timedOut"
    /** The answer belongs to another request. */
    | "mismatched"
    /** The answer is not valid: wrong length, not JSON, too large or without its end. */
    | "invalidAnswer"
    /** The backend server said that it did not run the request. */
    | "rejected"
    /** The backend server answered with a server error. */
    | "failedStatus"
    /** This node cancelled the try. */
    | "cancelled";

/** A failed try. */
export interface AttemptFailure {
    readonly type: AttemptFailureType;
    /** Whether a byte of the request may have reached the backend server. */
    readonly sent: boolean;
    /** What happened, for traces and logs; no secrets. */
    readonly message: string;
    /** When to come back, in milliseconds, if the backend server said so. */
    readonly retryAfterMs?: number;
}
