/**
 * The platform's interface that accepts usage reports.
 *
 * @packageDocumentation
 */

/** Figures of one customer in one window. */
export interface CustomerUsage {
    readonly customer: string;
    readonly requests: number;
    readonly promptTokens: number;
    readonly completionTokens: number;
}

/** The report of one window; a repeat must carry the same figures. */
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
    /** Whether the platform refuses a report with an old fencing number; absent means that it does not. */
    readonly checksFencing?: boolean;
    /**
     * Reports a window.
     *
     * @param report - The sealed figures.
     * @param timeoutMs - Bound on the time on the wire, in milliseconds.
     * @param isSendAllowed - Asked in the tick in which the first byte would leave; on false nothing is
     * sent and the call fails as `Unavailable`. Absent means that the send is allowed.
     */
    reportUsage(report: UsageReport, timeoutMs: number, isSendAllowed?: () => boolean): Promise<void>;
}
