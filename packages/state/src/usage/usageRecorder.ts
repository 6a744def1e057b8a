/**
 * Recording of usage on the request path.
 *
 * @packageDocumentation
 */

/** What a finished, or partly streamed, request used. */
export interface UsageAmount {
    readonly customer: string;
    readonly requests: number;
    readonly promptTokens: number;
    readonly completionTokens: number;
}

/** Adds usage to the current window; synchronous and without I/O. */
export interface UsageRecorder {
    recordUsage(amount: UsageAmount): void;
}
