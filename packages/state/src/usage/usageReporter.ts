/**
 * Seals and reports usage windows, one after the other.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import {
    maximumTransactionEntries,
    type CommitResult,
    type Row,
    type RowCondition,
    type TableService,
    type UsageReportService,
} from "@pimentocleat/services";
import {
    addUsage,
    computeWindowStartMs,
    type ReceiverTraits,
    type UsageByCustomer,
} from "@pimentocleat/policy";
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import type { LeaseHandle } from "../leases/heldLease.js";
import { runWithTimeout } from "../retrying/callTimeout.js";
import {
    buildUnsealedCondition,
    formatWindowKey,
    parseUsage,
    parseWindowStartMs,
    usageMoveTable,
    usageSealTable,
    usageTable,
} from "./usageTables.js";

/** Options of {@link UsageReporter}. */
export interface UsageReporterOptions {
    readonly tableService: TableService;
    readonly reportService: UsageReportService;
    readonly clock: WaitingClock;
    readonly logger: Logger;
    /** The lease under which this reporter works; a new tenure needs a new reporter. */
    readonly lease: LeaseHandle;
    readonly node: string;
    readonly receiver: ReceiverTraits;
    readonly windowMs: number;
    /** How long after its end, and after the last failure of the store, a window is sealed; milliseconds. */
    readonly graceMs: number;
    /** Most windows handled in one step. */
    readonly maximumWindowsPerStep: number;
    /** How long rows of reported windows are kept, in milliseconds. */
    readonly retentionMs: number;
    readonly callTimeoutMs: number;
    /**
     * How long after the start of its tenure the reporter seals nothing, in milliseconds, so that nodes can write
     * what they could not while the store was out; none when absent.
     */
    readonly firstSealDelayMs?: number;
    /**
     * How long after its end a window is sealed at the latest, in milliseconds, whatever failed before; a report
     * that comes in time without the last counts is worth more than a late one. None when absent.
     */
    readonly maximumSealDelayMs?: number;
}

interface Progress {
    readonly version: number;
    /** First window that is not known to be reported; milliseconds since the Unix epoch. */
    readonly nextStartMs: number;
    /** The window with which the very first reporter began; milliseconds since the Unix epoch. */
    readonly firstStartMs: number;
}

const progressTable = "usageProgress";
const progressKey = "next";
const progressSchema = z.object({ nextStartMs: z.number(), firstStartMs: z.number().default(0) });
const pageSize = 500;
/** Each row needs a condition and a write, and the lease's fence one condition more. */
const maximumRowsPerRemoval = Math.floor((maximumTransactionEntries - 1) / 2);

/**
 * A window is sealed by one transaction under the lease's fence; from then on its rows cannot change, so
 * every reporter computes the same figures from them, now and in every repeat. Calls must not overlap.
 */
export class UsageReporter {
    private earliestSealMs: number;
    /** Windows before the first reporter's that this one reported. */
    private readonly reportedEarlierWindows = new Set<number>();

    /** @param options - The services, the lease and the durations. */
    constructor(private readonly options: UsageReporterOptions) {
        this.earliestSealMs = options.clock.monotonicMs() + (options.firstSealDelayMs ?? 0);
    }

    /**
     * Seals and reports the windows that are due, and removes old rows.
     *
     * @returns How many windows were finished.
     */
    async advanceOnce(): Promise<number> {
        let finished = 0;
        try {
            let progress = await this.loadProgress();
            while (
                progress !== undefined &&
                finished < this.options.maximumWindowsPerStep &&
                this.isDue(progress)
            ) {
                progress = await this.finishWindow(progress);
                finished += progress === undefined ? 0 : 1;
            }
            if (finished > 0 && progress !== undefined) {
                await this.removeExpiredRows(progress);
            }
        } catch (error) {
            this.options.logger.writeEvent("usageStepFailed", { reason: String(error) });
            this.earliestSealMs = this.options.clock.monotonicMs() + this.options.graceMs;
        }
        return finished;
    }

    private isDue({ nextStartMs }: Progress): boolean {
        const {
            clock,
            windowMs,
            graceMs,
            maximumSealDelayMs: maximumSealDelayMs = Number.POSITIVE_INFINITY,
        } = this.options;
        const sinceEndMs = clock.wallMs() - nextStartMs - windowMs;
        const isSealDelayOver =
            clock.monotonicMs() >= this.earliestSealMs || sinceEndMs >= maximumSealDelayMs;
        return sinceEndMs >= graceMs && isSealDelayOver && this.isLeaseReady();
    }

    private isLeaseReady(): boolean {
        return this.options.lease.isReadyFor(this.options.receiver);
    }

    /** Returns undefined when the lease turns out to be lost or a report was not sent. */
    private async finishWindow(progress: Progress): Promise<Progress | undefined> {
        const { version, nextStartMs, firstStartMs } = progress;
        if (!(await this.reportWindow(nextStartMs))) {
            return undefined;
        }
        return this.storeProgress(version, {
            nextStartMs: nextStartMs + this.options.windowMs,
            firstStartMs,
        });
    }

    /** Returns false when the lease turns out to be lost or the report was not sent. */
    private async reportWindow(windowStartMs: number): Promise<boolean> {
        if (!(await this.sealWindow(windowStartMs))) {
            return false;
        }
        const usage = await this.sumWindow(windowStartMs);
        return Object.keys(usage).length === 0 || this.sendReport(windowStartMs, usage);
    }

    private async removeExpiredRows({ nextStartMs, firstStartMs }: Progress): Promise<void> {
        const rows = await this.scanRows(usageTable);
        await this.reportEarlierWindows(rows, firstStartMs);
        const beforeMs = nextStartMs - this.options.retentionMs;
        // Seals go first: a row that is gone while its seal stands would look like one that lacks everything.
        await this.removeRows(usageSealTable, await this.scanRows(usageSealTable), beforeMs);
        await this.removeRows(usageTable, rows, beforeMs);
        await this.removeRows(usageMoveTable, await this.scanRows(usageMoveTable), beforeMs);
    }

    /** A node may have counted before the first reporter began, and have written only later. */
    private async reportEarlierWindows(rows: readonly Row[], firstStartMs: number): Promise<void> {
        const windows = new Set(rows.map((row) => parseWindowStartMs(row.key)));
        for (const windowStartMs of windows) {
            const isEarlier = windowStartMs < firstStartMs && !this.reportedEarlierWindows.has(windowStartMs);
            if (isEarlier && (await this.reportWindow(windowStartMs))) {
                this.reportedEarlierWindows.add(windowStartMs);
            }
        }
    }

    private async sealWindow(windowStartMs: number): Promise<boolean> {
        const seal = { table: usageSealTable, key: formatWindowKey(windowStartMs) };
        const { fencingNumber } = this.options.lease;
        const result = await this.commit(
            [buildUnsealedCondition(windowStartMs)],
            [{ ...seal, value: { fencingNumber } }],
        );
        // An earlier try or holder may have sealed it already.
        return result.outcome === "committed" || result.failed.every(({ table }) => table === usageSealTable);
    }

    private async sumWindow(windowStartMs: number): Promise<UsageByCustomer> {
        const prefix = `${formatWindowKey(windowStartMs)}/`;
        let usage: UsageByCustomer = {};
        let rows: readonly Row[] = [];
        do {
            const after = rows.at(-1)?.key;
            rows = await this.runCall("usage scan", () =>
                this.options.tableService.scanRows(usageTable, { prefix, after, limit: pageSize }),
            );
            usage = rows.reduce((sum, row) => addUsage(sum, parseUsage(row)), usage);
        } while (rows.length === pageSize);
        return usage;
    }

    private async sendReport(windowStartMs: number, usage: UsageByCustomer): Promise<boolean> {
        const { lease, windowMs, node: sender, receiver, reportService } = this.options;
        const customers = Object.entries(usage)
            .map(([customer, counters]) => ({ customer, ...counters }))
            .sort((left, right) => (left.customer < right.customer ? -1 : 1));
        const report = { windowStartMs, windowMs, customers, fencingNumber: lease.fencingNumber, sender };
        if (!this.isLeaseReady()) {
            return false;
        }
        await reportService.reportUsage(report, receiver.wireBoundMs, () => this.isLeaseReady());
        return true;
    }

    /** Starts with the earliest row, or with the current window when there is none. */
    private async loadProgress(): Promise<Progress | undefined> {
        const { tableService, clock, windowMs } = this.options;
        const row = await this.runCall("usage read", () => tableService.readRow(progressTable, progressKey));
        if (row !== undefined) {
            return { version: row.version, ...progressSchema.parse(row.value) };
        }
        const [first] = await this.runCall("usage scan", () =>
            tableService.scanRows(usageTable, { limit: 1 }),
        );
        const currentMs = computeWindowStartMs(clock.wallMs(), windowMs);
        const startMs = first === undefined ? currentMs : parseWindowStartMs(first.key);
        return this.storeProgress(0, { nextStartMs: startMs, firstStartMs: startMs });
    }

    private async storeProgress(
        version: number,
        value: { readonly nextStartMs: number; readonly firstStartMs: number },
    ): Promise<Progress | undefined> {
        const row = { table: progressTable, key: progressKey };
        const result = await this.commit([{ ...row, version }], [{ ...row, value }]);
        return result.outcome === "committed" ? { version: result.version, ...value } : undefined;
    }

    private scanRows(table: string): Promise<readonly Row[]> {
        return this.runCall("usage scan", () =>
            this.options.tableService.scanRows(table, { limit: pageSize }),
        );
    }

    private async removeRows(table: string, rows: readonly Row[], beforeMs: number): Promise<void> {
        const old = rows.filter((row) => parseWindowStartMs(row.key) < beforeMs);
        for (let start = 0; start < old.length; start += maximumRowsPerRemoval) {
            const batch = old.slice(start, start + maximumRowsPerRemoval);
            await this.commit(
                batch.map(({ key, version }) => ({ table, key, version })),
                batch.map(({ key }) => ({ table, key })),
            );
        }
    }

    /** Commits under the lease's fence. */
    private commit(
        conditions: readonly RowCondition[],
        writes: Parameters<TableService["commitTransaction"]>[0]["writes"],
    ): Promise<CommitResult> {
        const fencedConditions = [this.options.lease.buildCondition(), ...conditions];
        return this.runCall("usage commit", () =>
            this.options.tableService.commitTransaction({ conditions: fencedConditions, writes }),
        );
    }

    private runCall<Result>(callName: string, call: () => Promise<Result>): Promise<Result> {
        const { clock, callTimeoutMs: timeoutMs } = this.options;
        return runWithTimeout({ clock, timeoutMs, callName }, call);
    }
}
