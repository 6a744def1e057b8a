/**
 * Counts the requests that run, keeps the counts in the store and reports each window once.
 *
 * @packageDocumentation
 */
import type { TableService, UsageReportService } from "@pimentocleat/services";
import { computeWindowStartMs } from "@pimentocleat/policy";
import {
    UsageCopyKeeper,
    UsageLedger,
    UsageReporter,
    UsageRowWriter,
    type LeaseHandle,
    type UsageCopy,
} from "@pimentocleat/state";
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
    readonly random: () => number;
    /** Counts the nodes; with many of them, the counts of one that dies are a small share. */
    readonly countNodes: () => number;
    /** Tells for how long the store has answered this node without a failure, in milliseconds. */
    readonly readStoreContactMs: () => number;
    /**
     * Sends a copy of counts to other nodes, because this one cannot write them.
     *
     * @param copy - The copy.
     * @returns Whether there was a node to send it to.
     */
    readonly spreadCopy: (copy: UsageCopy) => boolean;
}

/** Pause before counts are written again after a failure, in milliseconds. */
const failedWriteRetryMs = 400;
/** Up to so many nodes, counts are written as often as the settings say; with more, less often. */
const fewNodes = 10;
/** Mean time after the end of a window at which its last counts are written, in milliseconds. */
const afterWindowMs = 350;
/** Most windows that are reported in one step, after a time without a reporter. */
const windowsPerStep = 20;
/** How long the rows of reported windows are kept, in windows. */
const retainedWindows = 6;

/** The usage side of a node. */
export class UsageDuty implements UsageCounter {
    private readonly ledger: UsageLedger;
    private readonly keeper: UsageCopyKeeper;
    /** The last window after whose end all due reports were sent. */
    private finishedWindow: number | undefined;
    private reporter: { readonly lease: LeaseHandle; readonly reporter: UsageReporter } | undefined;

    /** @param options - The services and the durations. */
    constructor(private readonly options: UsageDutyOptions) {
        const { tableService, clock, logger, incarnation, windowMs, settings, spreadCopy } = options;
        const writer = new UsageRowWriter({ tableService, clock, callTimeoutMs: settings.callTimeoutMs });
        this.keeper = new UsageCopyKeeper({
            writer,
            clock,
            logger,
            windowMs,
            retentionMs: retainedWindows * windowMs,
            // A node sends copies only when it cannot write; completing its row does no harm.
            isGone: () => true,
        });
        this.ledger = new UsageLedger({
            writer,
            clock,
            incarnation,
            windowMs,
            logger,
            copySink: {
                storeCopy: (copy) =>
                    spreadCopy(copy)
                        ? Promise.resolve()
                        : Promise.reject(new Error("no other node is known")),
            },
        });
    }

    /**
     * Keeps counts of a node that could not write them.
     *
     * @param copy - The copy.
     */
    storeCopy(copy: UsageCopy): void {
        void this.keeper.storeCopy(copy);
    }

    recordRequest(customer: string): void {
        this.ledger.recordUsage({ customer, requests: 1, promptTokens: 0, completionTokens: 0 });
    }

    /**
     * Writes counts until the signal is aborted: often enough that a lost process loses few, and right after the
     * end of each window, before it is sealed.
     *
     * @param signal - Ends the task.
     */
    async run(signal: AbortSignal): Promise<void> {
        const { clock } = this.options;
        while (!signal.aborted) {
            const isStored = await this.writeOnce();
            await clock.wait(isStored ? this.computePauseMs() : failedWriteRetryMs, signal);
        }
    }

    /** @returns Whether all counts are stored; otherwise other nodes got copies. */
    async writeOnce(): Promise<boolean> {
        const isStored = await this.ledger.flushOnce();
        if (!isStored) {
            await this.ledger.copyOnce();
        }
        await this.keeper.recoverOnce();
        return isStored;
    }

    private computePauseMs(): number {
        const { clock, windowMs, settings, random } = this.options;
        const nowMs = clock.wallMs();
        const sinceStartMs = nowMs - computeWindowStartMs(nowMs, windowMs);
        const afterEndMs = windowMs - sinceStartMs + afterWindowMs * (0.5 + random());
        const nodes = Math.max(1, this.options.countNodes() / fewNodes);
        return Math.min(afterEndMs, settings.usageFlushMs * nodes * (0.75 + 0.5 * random()));
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
                // After an outage nodes still have to write; when there was none, they have written.
                firstSealDelayMs: Math.max(0, settings.usageGraceMs - this.options.readStoreContactMs()),
                windowsPerStep,
                retentionMs: retainedWindows * windowMs,
                callTimeoutMs: settings.callTimeoutMs,
            });
            this.reporter = { lease, reporter };
            this.finishedWindow = undefined;
        }
        const dueWindow = Math.floor((this.options.clock.wallMs() - settings.usageGraceMs) / windowMs);
        if (dueWindow !== this.finishedWindow && (await this.reporter.reporter.advanceOnce()) > 0) {
            this.finishedWindow = dueWindow;
        }
    }
}
