/**
 * Usage reports that the platform stand-in received.
 *
 * @packageDocumentation
 */
import type { UsageReport } from "@pimentocleat/services";
import type { Clock } from "@pimentocleat/types";

/** A usage report as it arrived. */
export interface ReceivedUsageReport {
    /** Order of arrival over all orders and usage reports, from 1. */
    readonly arrival: number;
    /** Wall time of arrival, in milliseconds since the Unix epoch. */
    readonly receivedAtMs: number;
    readonly report: UsageReport;
    /** Whether an earlier report of the same window had other figures. */
    readonly differsFromEarlier: boolean;
}

/** Keeps every report and notes repeats with other figures. */
export class UsageReportLog {
    private readonly received: ReceivedUsageReport[] = [];
    private readonly firstFigures = new Map<number, string>();

    /**
     * @param clock - Source of time.
     * @param takeArrivalNumber - Draws the next arrival number.
     */
    constructor(
        private readonly clock: Clock,
        private readonly takeArrivalNumber: () => number,
    ) {}

    /**
     * Receives a report.
     *
     * @param report - The report.
     */
    handleReport(report: UsageReport): void {
        const figures = formatFigures(report);
        const first = this.firstFigures.get(report.windowStartMs) ?? figures;
        this.firstFigures.set(report.windowStartMs, first);
        this.received.push({
            arrival: this.takeArrivalNumber(),
            receivedAtMs: this.clock.wallMs(),
            report,
            differsFromEarlier: first !== figures,
        });
    }

    /** @returns All reports, in the order of arrival. */
    listReceived(): readonly ReceivedUsageReport[] {
        return this.received;
    }
}

function formatFigures(report: UsageReport): string {
    const rows = report.customers.map((usage) => [
        usage.customer,
        usage.requests,
        usage.promptTokens,
        usage.completionTokens,
    ]);
    return JSON.stringify([report.windowMs, rows.map((row) => JSON.stringify(row)).sort()]);
}
