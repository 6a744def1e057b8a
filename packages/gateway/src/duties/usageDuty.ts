/**
 * Counts executed requests, writes the counts to the store and reports each usage window once.
 *
 * @packageDocumentation
 */
import type { EraSource, StoreClock, TableService, UsageReportService } from "@pimentocleat/services";
import { computeWindowStartMs } from "@pimentocleat/policy";
import {
    EraObservation,
    UsageCollector,
    UsageCopyStore,
    UsageLedger,
    UsageReporter,
    UsageRowWriter,
    type ForwardedUsage,
    type LeaseHandle,
    type UnstoredUsage,
    type UsageCopy,
} from "@pimentocleat/state";
import type { Logger } from "@pimentocleat/telemetry";
import type { Clock, WaitingClock } from "@pimentocleat/types";
import type { UsageCounter } from "../dispatch/attemptStarter.js";
import type { StoredUsage } from "../peers/usageMessages.js";
import type { DutySettings } from "./dutySettings.js";

/** Options of {@link UsageDuty}. */
export interface UsageDutyOptions {
    readonly tableService: TableService;
    /** Era of the table service. */
    readonly eras: EraSource;
    /** Clock of the table service. */
    readonly storeClock: StoreClock;
    readonly reportService: UsageReportService | undefined;
    /** Its wall time assigns usage to windows. */
    readonly clock: WaitingClock;
    /** Clock of this host alone. */
    readonly hostClock: Clock;
    readonly logger: Logger;
    readonly node: string;
    /** Identifier of this process; no other process ever uses it. */
    readonly incarnation: string;
    readonly windowMs: number;
    /** Time after the end of a window by which its report is due, in milliseconds. */
    readonly usageDueMs: number;
    readonly settings: DutySettings;
    readonly random: () => number;
    /** Returns the number of nodes; with many of them, the counts that one failed node loses are a small share. */
    readonly countNodes: () => number;
    /** Returns the time for which the store has responded to this node without a failure, in milliseconds. */
    readonly readStoreContactMs: () => number;
    /**
     * Sends other nodes a copy of counts that this node cannot write.
     *
     * @param copy - The counts.
     * @returns Whether there was a node to send them to.
     */
    readonly sendCopy: (copy: UsageCopy) => boolean;
    /** Finds the node that writes counts for others; this node's own name when it does so itself. */
    readonly findCollector: () => string | undefined;
    /**
     * Sends counts to the node that writes them for others.
     *
     * @param usage - The counts.
     * @param collector - Name of that node.
     * @returns Whether that node is registered.
     */
    readonly forwardUsage: (usage: ForwardedUsage, collector: string) => boolean;
}

/** Delay before counts are written again after a failure, in milliseconds. */
const failedWriteRetryMs = 400;
/** Number of nodes up to which counts are written at the configured interval; with more nodes the interval grows. */
const fullRateNodes = 10;
/**
 * Time during which counts of several nodes are collected for one write, in milliseconds; well within the grace period.
 */
const collectMs = 250;
/**
 * Time that a node waits for another one to write its counts before it writes them itself, in milliseconds. It covers
 * the collection, a slow response of the store and two messages, and leaves time for the node's own write.
 */
const forwardTimeoutMs = 600;
/**
 * Interval at which a node checks whether its counts were written, in milliseconds; a fraction of the collection time.
 */
const forwardPollMs = 50;
/** Mean delay from the end of a window until its last counts are written, in milliseconds. */
const finalWriteDelayMs = 350;
/** Time before the report is due by which a window is sealed, in milliseconds; it covers one step and slow calls. */
const sealMarginMs = 1_800;
/** Maximum number of windows that are reported in one step, after a period without a reporter. */
const windowsPerStep = 20;
/** Number of windows for which the rows of reported windows are retained. */
const retainedWindows = 6;

/** Number of windows whose counts a node writes again when the store has come back from an older copy. */
const rewrittenWindows = 4;

/** Counts and stores the usage of one node, and reports the usage of all nodes while it holds the lease. */
export class UsageDuty implements UsageCounter {
    private readonly ledger: UsageLedger;
    private readonly copyStore: UsageCopyStore;
    private readonly collector: UsageCollector;
    private readonly eraObservation: EraObservation;
    /** Counts that another node was asked to write. */
    private forwarded: readonly UnstoredUsage[] = [];
    /** Last window for which all due reports were sent. */
    private reportedWindow: number | undefined;
    private reporter: { readonly lease: LeaseHandle; readonly reporter: UsageReporter } | undefined;

    /** @param options - The services and the durations. */
    constructor(private readonly options: UsageDutyOptions) {
        const { tableService, clock, logger, incarnation, windowMs, settings, sendCopy } = options;
        const writer = new UsageRowWriter({ tableService, clock, callTimeoutMs: settings.callTimeoutMs });
        this.collector = new UsageCollector({ writer, clock, logger, collectionDelayMs: collectMs });
        this.eraObservation = new EraObservation(
            options.eras,
            [clock, options.hostClock],
            options.storeClock,
        );
        this.copyStore = new UsageCopyStore({
            writer,
            clock,
            logger,
            windowMs,
            retentionMs: retainedWindows * windowMs,
            // A node sends copies only when it cannot write, so completing its row at any time is harmless.
            isIncarnationDead: () => true,
        });
        this.ledger = new UsageLedger({
            writer,
            clock,
            eras: options.eras,
            retentionMs: rewrittenWindows * windowMs,
            incarnation,
            windowMs,
            logger,
            copySink: {
                storeCopy: (copy) =>
                    sendCopy(copy)
                        ? Promise.resolve()
                        : Promise.reject(new Error("usage copy not sent: no other node is registered")),
            },
        });
    }

    /**
     * Stores a copy of counts that another node could not write.
     *
     * @param copy - The counts.
     */
    storeCopy(copy: UsageCopy): void {
        void this.copyStore.storeCopy(copy);
    }

    recordRequest(customer: string): void {
        this.ledger.recordUsage({ customer, requests: 1, promptTokens: 0, completionTokens: 0 });
    }

    /**
     * Writes counts until the signal is aborted: often enough that a crashed process loses only a few, and right after
     * the end of each window, before it is sealed.
     *
     * @param signal - Ends the task.
     */
    async run(signal: AbortSignal): Promise<void> {
        const { clock } = this.options;
        while (!signal.aborted) {
            const isStored = (await this.forwardOnce()) || (await this.writeOnce());
            await this.copyStore.recoverOnce();
            await clock.wait(isStored ? this.computePauseMs() : failedWriteRetryMs, signal);
        }
    }

    /**
     * Writes the counts to the store, or sends copies to other nodes when that fails.
     *
     * @returns Whether all counts are stored.
     */
    async writeOnce(): Promise<boolean> {
        const isStored = await this.ledger.flushOnce();
        if (!isStored) {
            await this.ledger.copyOnce();
        }
        return isStored;
    }

    /**
     * Accepts counts of another node or of this one, which are written together.
     *
     * @param usage - The counts.
     * @param reply - Called with the new version of the row once it is written.
     */
    addForwardedUsage(usage: ForwardedUsage, reply: (version: number) => void): void {
        this.collector.addUsage(usage, reply);
    }

    /**
     * Records that another node wrote counts of this one.
     *
     * @param stored - The window, and the version of its row before and after the write.
     */
    recordStored({ incarnation, windowStartMs, version, newVersion }: StoredUsage): void {
        const usage = this.forwarded.find((window) => window.windowStartMs === windowStartMs);
        if (incarnation === this.options.incarnation && usage?.version === version) {
            this.forwarded = this.forwarded.filter((window) => window !== usage);
            this.ledger.recordStored(usage, newVersion);
        }
    }

    /** Forwards the counts to the collecting node and returns whether all of them were written in time. */
    private async forwardOnce(): Promise<boolean> {
        const { clock } = this.options;
        const unstored = this.ledger.listUnstored();
        if (unstored === undefined || !this.forwardAll(unstored)) {
            return false;
        }
        const endMs = clock.monotonicMs() + forwardTimeoutMs;
        while (this.forwarded.length > 0 && clock.monotonicMs() < endMs) {
            await clock.wait(forwardPollMs);
        }
        const isDone = this.forwarded.length === 0;
        this.forwarded = [];
        return isDone;
    }

    private forwardAll(unstored: readonly UnstoredUsage[]): boolean {
        const { incarnation, node, findCollector, forwardUsage } = this.options;
        const collector = findCollector();
        if (collector === undefined) {
            return false;
        }
        this.forwarded = unstored;
        for (const usage of unstored) {
            const identified = { ...usage, incarnation };
            if (collector === node) {
                this.addForwardedUsage(identified, (newVersion) =>
                    this.recordStored({ ...identified, newVersion }),
                );
            } else if (!forwardUsage(identified, collector)) {
                return false;
            }
        }
        return true;
    }

    private computePauseMs(): number {
        const { clock, windowMs, settings, random } = this.options;
        const nowMs = clock.wallMs();
        const sinceStartMs = nowMs - computeWindowStartMs(nowMs, windowMs);
        const afterEndMs = windowMs - sinceStartMs + finalWriteDelayMs * (0.5 + random());
        const intervalFactor = Math.max(1, this.options.countNodes() / fullRateNodes);
        return Math.min(afterEndMs, settings.usageFlushMs * intervalFactor * (0.75 + 0.5 * random()));
    }

    /**
     * Seals and reports the windows that are due.
     *
     * @param lease - The reporter's lease, or undefined when this node does not hold it.
     */
    async reportOnce(lease: LeaseHandle | undefined): Promise<void> {
        const { reportService, settings, windowMs } = this.options;
        this.eraObservation.update();
        if ((await this.reporter?.reporter.recordHandover()) === false) {
            return;
        }
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
                // After an outage of the store, nodes still have to write; without one, they have already written.
                firstSealDelayMs: Math.max(0, settings.usageGraceMs - this.options.readStoreContactMs()),
                maximumSealDelayMs: this.options.usageDueMs - sealMarginMs,
                maximumWindowsPerStep: windowsPerStep,
                retentionMs: retainedWindows * windowMs,
                callTimeoutMs: settings.callTimeoutMs,
                eraObservation: this.eraObservation,
            });
            this.reporter = { lease, reporter };
            this.reportedWindow = undefined;
        }
        const dueWindow = Math.floor((this.options.clock.wallMs() - settings.usageGraceMs) / windowMs);
        if (dueWindow !== this.reportedWindow && (await this.reporter.reporter.advanceOnce()) > 0) {
            this.reportedWindow = dueWindow;
        }
    }
}
