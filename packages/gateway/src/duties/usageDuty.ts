/**
 * Counts the requests that run, keeps the counts in the store and reports each window once.
 *
 * @packageDocumentation
 */
import type { TableService, UsageReportService } from "@pimentocleat/services";
import { UsageLedger, UsageReporter, UsageRowWriter, type LeaseHandle } from "@pimentocleat/state";
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import type { UsageCounter } from "../dispatch/requestRunner.js";
import type { DutySettings } from "./dutySettings.js";

/** Options of a {@link UsageDuty}. */
export interface UsageDutyOptions {
    readonly tableService: TableService;
    readonly reportService: UsageReportService | undefined;
    readonly clock: WaitingClock;
    readonly logger: Logger;
    readonly node: string;
    /** This process; never used by another one. */
    readonly incarnation: string;
    readonly windowMs: number;
    readonly settings: DutySettings;
}

/** Most windows that are reported in one step, after a time without a reporter. */
const windowsPerStep = 20;
/** How long the rows of reported windows are kept, in windows. */
const retainedWindows = 6;

/** The usage side of a node. */
export class UsageDuty implements UsageCounter {
    private readonly ledger: UsageLedger;
    private reporter: { readonly lease: LeaseHandle; readonly reporter: UsageReporter } | undefined;

    /** @param options - The services and the durations. */
    constructor(private readonly options: UsageDutyOptions) {
        const { tableService, clock, logger, incarnation, windowMs, settings } = options;
        const writer = new UsageRowWriter({ tableService, clock, callTimeoutMs: settings.callTimeoutMs });
        this.ledger = new UsageLedger({ writer, clock, incarnation, windowMs, logger });
    }

    recordRequest(customer: string): void {
        this.ledger.recordUsage({ customer, requests: 1, promptTokens: 0, completionTokens: 0 });
    }

    /** @returns Whether all counts are stored. */
    writeOnce(): Promise<boolean> {
        return this.ledger.flushOnce();
    }

    /**
     * Seals and reports the windows that are due.
     *
     * @param lease - The reporter's lease, if this node holds it.
     */
    async reportOnce(lease: LeaseHandle | undefined): Promise<void> {
        const { reportService, settings, windowMs } = this.options;
        if (lease === undefined || reportService === undefined) {
            this.reporter = undefined;
            return;
        }
        if (this.reporter?.lease !== lease) {
            const reporter = new UsageReporter({
                ...this.options,
                reportService,
                lease,
                receiver: { checksFencing: false, wireBoundMs: settings.wireBoundMs },
                graceMs: settings.usageGraceMs,
                windowsPerStep,
                retentionMs: retainedWindows * windowMs,
                callTimeoutMs: settings.callTimeoutMs,
            });
            this.reporter = { lease, reporter };
        }
        await this.reporter.reporter.advanceOnce();
    }
}
