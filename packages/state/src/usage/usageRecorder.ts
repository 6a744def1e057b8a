/**
 * The interface through which requests record their usage.
 *
 * @packageDocumentation
 */

/** The usage of a request that finished or was partly streamed. */
export interface UsageAmount {
    readonly customer: string;
    readonly requests: number;
    readonly promptTokens: number;
    readonly completionTokens: number;
}

/** Adds usage to the current window. Synchronous and without I/O, since it runs on the request path. */
export interface UsageRecorder {
    recordUsage(amount: UsageAmount): void;
}
