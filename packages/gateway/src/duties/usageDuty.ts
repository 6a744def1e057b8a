/**
 * Counts the requests that run, keeps the counts in the store and reports each window once.
 *
 * @packageDocumentation
 */
import type { TableService, UsageReportService } from "@pimentocleat/services";
import { computeWindowStartMs } from "@pimentocleat/policy";
import {
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
import type { WaitingClock } from "@pimentocleat/types";
import type { UsageCounter } from "../dispatch/requestRunner.js";
import type { StoredUsage } from "../peers/usageMessages.js";
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
    /** How long after its end a window's report is due, in milliseconds. */
    readonly usageDueMs: number;
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
    readonly sendCopy: (copy: UsageCopy) => boolean;
    /** Finds the node that writes counts for others; this node's own name when it does so itself. */
    readonly findCollector: () => string | undefined;
    /**
     * Sends counts to the node that writes them for others.
     *
     * @param usage - The counts.
     * @param collector - Name of that node.
     * @returns Whether that node is known.
     */
    readonly forwardUsage: (usage: ForwardedUsage, collector: string) => boolean;
}

/** Pause before counts are written again after a failure, in milliseconds. */
const failedWriteRetryMs = 400;
/** Up to so many nodes, counts are written as often as the settings say; with more, less often. */
const fullRateNodes = 10;
/** How long counts of several nodes are collected for one write, in milliseconds; well within the grace. */
const collectMs = 250;
/**
 * How long a node waits until its counts are written by another one, before it writes itself, in milliseconds: the
 * collection, a slow answer of the store and two messages, with time left for a write of its own.
 */
const forwardTimeoutMs = 600;
/** Time between two looks whether the counts are written, in milliseconds; a fraction of the collection. */
const forwardPollMs = 50;
/** Mean time after the end of a window at which its last counts are written, in milliseconds. */
const finalWriteDelayMs = 350;
/** Time before its report is due at which a window is sealed at the latest, in milliseconds: a step and slow calls. */
const sealMarginMs = 1_800;
/** Most windows that are reported in one step, after a time without a reporter. */
const windowsPerStep = 20;
/** How long the rows of reported windows are kept, in windows. */
const retainedWindows = 6;

/** The usage side of a node. */
export class UsageDuty implements UsageCounter {
    private readonly ledger: UsageLedger;
    private readonly copyStore: UsageCopyStore;
    private readonly collector: UsageCollector;
    /** What another node was asked to write. */
    private forwarded: readonly UnstoredUsage[] = [];
    /** The last window after whose end all due reports were sent. */
    private reportedWindow: number | undefined;
    private reporter: { readonly lease: LeaseHandle; readonly reporter: UsageReporter } | undefined;

    /** @param options - The services and the durations. */
    constructor(private readonly options: UsageDutyOptions) {
        const {
            tableService,
            clock,
            logger,
            incarnation,
            windowMs,
            settings,
            sendCopy: spreadCopy,
        } = options;
        const writer = new UsageRowWriter({ tableService, clock, callTimeoutMs: settings.callTimeoutMs });
        this.collector = new UsageCollector({ writer, clock, logger, collectionDelayMs: collectMs });
        this.copyStore = new UsageCopyStore({
            writer,
            clock,
            logger,
            windowMs,
            retentionMs: retainedWindows * windowMs,
            // A node sends copies only when it cannot write; completing its row does no harm.
            isIncarnationDead: () => true,
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
        void this.copyStore.storeCopy(copy);
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
            const isStored = (await this.forwardOnce()) || (await this.writeOnce());
            await this.copyStore.recoverOnce();
            await clock.wait(isStored ? this.computePauseMs() : failedWriteRetryMs, signal);
        }
    }

    /** @returns Whether all counts are stored; otherwise other nodes got copies. */
    async writeOnce(): Promise<boolean> {
        const isStored = await this.ledger.flushOnce();
        if (!isStored) {
            await this.ledger.copyOnce();
        }
        return isStored;
    }

    /**
     * Takes counts of another node, or of this one, to write them together.
     *
     * @param usage - The counts.
     * @param reply - Called with the row's new version once it is written.
     */
    addForwardedUsage(usage: ForwardedUsage, reply: (version: number) => void): void {
        this.collector.addUsage(usage, reply);
    }

    /**
     * Notes that another node wrote counts of this one.
     *
     * @param stored - The window, and its row's version before and after.
     */
    recordStored({ incarnation, windowStartMs, version, newVersion }: StoredUsage): void {
        const usage = this.forwarded.find((window) => window.windowStartMs === windowStartMs);
        if (incarnation === this.options.incarnation && usage?.version === version) {
            this.forwarded = this.forwarded.filter((window) => window !== usage);
            this.ledger.recordStored(usage, newVersion);
        }
    }

    /** Returns whether another node wrote all counts in time. */
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
            const named = { ...usage, incarnation };
            if (collector === node) {
                this.addForwardedUsage(named, (newVersion) => this.recordStored({ ...named, newVersion }));
            } else if (!forwardUsage(named, collector)) {
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
        const nodes = Math.max(1, this.options.countNodes() / fullRateNodes);
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
                maximumSealDelayMs: this.options.usageDueMs - sealMarginMs,
                maximumWindowsPerStep: windowsPerStep,
                retentionMs: retainedWindows * windowMs,
                callTimeoutMs: settings.callTimeoutMs,
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
