/**
 * Records the usage reports that the platform stand-in receives.
 *
 * @packageDocumentation
 */
import type { UsageReport } from "@pimentocleat/services";
import type { Clock } from "@pimentocleat/types";

/** A usage report and its arrival. */
export interface ReceivedUsageReport {
    /** Sequence number of arrival, shared by orders and usage reports, starting at 1. */
    readonly arrival: number;
    /** Wall time of arrival, in milliseconds since the Unix epoch. */
    readonly receivedAtMs: number;
    readonly report: UsageReport;
    /** Whether its figures differ from those of the first report of the same window. */
    readonly differsFromEarlier: boolean;
}

/** Records every report and marks those that contradict the first report of the same window. */
export class UsageReportLog {
    private readonly received: ReceivedUsageReport[] = [];
    private readonly firstFigures = new Map<number, string>();

    /**
     * @param clock - Clock for arrival times.
     * @param takeArrivalNumber - Returns the next arrival number, shared with the orders.
     */
    constructor(
        private readonly clock: Clock,
        private readonly takeArrivalNumber: () => number,
    ) {}

    /**
     * Records a report.
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

    /** @returns All received reports, in the order of arrival. */
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
