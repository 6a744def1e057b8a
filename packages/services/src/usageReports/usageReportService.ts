/**
 * The platform's interface that accepts usage reports.
 *
 * @packageDocumentation
 */

/** Usage of one customer in one window. */
export interface CustomerUsage {
    readonly customer: string;
    readonly requests: number;
    readonly promptTokens: number;
    readonly completionTokens: number;
}

/** Usage of all customers in one window; a repeated report of a window must contain the same usage. */
export interface UsageReport {
    /** Start of the window, in milliseconds since the Unix epoch. */
    readonly windowStartMs: number;
    readonly windowMs: number;
    readonly customers: readonly CustomerUsage[];
    readonly fencingNumber: number;
    readonly sender: string;
}

/** Client of the usage report interface; throws a `PlatformError` on failure. */
export interface UsageReportService {
    /** Whether the platform rejects a report with an outdated fencing number; defaults to false. */
    readonly checksFencing?: boolean;
    /**
     * Reports the usage of one window.
     *
     * @param report - The usage of a sealed window.
     * @param timeoutMs - Maximum time that the call may be in flight, in milliseconds.
     * @param isSendAllowed - Called in the tick in which the first byte would be sent; if it returns false, nothing
     * is sent and the call fails as `Unavailable`. When absent, sending is allowed.
     */
    reportUsage(report: UsageReport, timeoutMs: number, isSendAllowed?: () => boolean): Promise<void>;
}
