/**
 * Seals usage windows and reports them in the order of time.
 *
 * @packageDocumentation
 */
import {
    maximumTransactionEntries,
    noStoreClock,
    readCounter,
    readEra,
    type CommitResult,
    type Row,
    type RowCondition,
    type StoreClock,
    type TableService,
    type UsageReportService,
} from "@pimentocleat/services";
import {
    addUsage,
    computeLatestTimeMs,
    computeSealingTimeMs,
    computeUnreportedStartMs,
    computeWindowStartMs,
    updateWindowClock,
    type ClockReading,
    type ReceiverTraits,
    type UsageByCustomer,
    type WindowClock,
} from "@pimentocleat/policy";
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import type { LeaseHandle } from "../leases/heldLease.js";
import { runWithTimeout } from "../retrying/callTimeout.js";
import type { EraObservation } from "./eraObservation.js";
import {
    buildEraProgress,
    buildProgressWrites,
    formatProgressKey,
    parseProgress,
    progressTable,
    type Progress,
    type ProgressValue,
    type StoredProgress,
} from "./usageProgress.js";
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
    /** The lease that entitles this node to report; each acquisition of the lease needs a new reporter. */
    readonly lease: LeaseHandle;
    /** Name of this node, sent with each report. */
    readonly node: string;
    readonly receiver: ReceiverTraits;
    readonly windowMs: number;
    /**
     * Minimum time in milliseconds between the end of a window and its seal, and between the last failure of the store
     * and the next seal.
     */
    readonly graceMs: number;
    /** Maximum number of windows that one call of {@link UsageReporter.advanceOnce} handles. */
    readonly maximumWindowsPerStep: number;
    /** Time for which rows of reported windows are kept, in milliseconds. */
    readonly retentionMs: number;
    readonly callTimeoutMs: number;
    /**
     * Time after its creation during which the reporter seals no window, in milliseconds, so that nodes can write
     * the usage that they could not write while the store was unavailable; 0 when absent.
     */
    readonly firstSealDelayMs?: number;
    /**
     * Time after the end of a window at which it is sealed even if the store failed recently, in milliseconds: a
     * report in time is worth more than a late one that includes the last counts. Unlimited when absent.
     */
    readonly maximumSealDelayMs?: number;
    /** When this node first knew of the table service's era; required for a table service with eras. */
    readonly eraObservation?: EraObservation;
    /** Clock of the table service; without it, windows are sealed by `clock` alone. */
    readonly storeClock?: StoreClock;
}

/** The usage of a sealed window, and the rows from which it was summed. */
interface SealedUsage {
    readonly usage: UsageByCustomer;
    readonly rowCount: number;
    /** Highest version of the rows; 0 without rows. */
    readonly newestVersion: number;
}

/** Number of rows that one scan requests. */
const pageSize = 500;
/** Each row takes a condition and a write, and the lease's fence takes one more condition. */
const maximumRowsPerRemoval = Math.floor((maximumTransactionEntries - 1) / 2);

/**
 * Seals each window in one transaction under the lease's fence. The rows of a sealed window cannot change, so every
 * reporter computes the same figures from them, also in a repeated report. Calls must not overlap.
 */
export class UsageReporter {
    private readonly storeClock: StoreClock;
    private earliestSealMs: number;
    /**
     * Start of the first window that no node has reported; undefined until this reporter knows how far the last one
     * came, which may have reported a window without recording it.
     */
    private unreportedStartMs: number | undefined;
    /** The clock by which this reporter seals windows; undefined for stores without a clock. */
    private windowClock: WindowClock | undefined;

    /** @param options - The services, the lease, the receiver and the durations. */
    constructor(private readonly options: UsageReporterOptions) {
        this.storeClock = options.storeClock ?? noStoreClock;
        this.earliestSealMs = options.clock.monotonicMs() + (options.firstSealDelayMs ?? 0);
    }

    /**
     * Seals and reports the windows that are due, and removes expired rows. An error is logged and postpones the
     * next seal by the grace period.
     *
     * @returns The number of finished windows, including those without usage.
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

    /**
     * Records in a new era how far this reporter came in the former one, so that the next reporter leaves no window
     * out. Without that, it leaves out what may have been reported.
     *
     * @returns Whether nothing is left to record; false after a failure.
     */
    async recordHandover(): Promise<boolean> {
        const { lease, eraObservation, tableService, logger } = this.options;
        if (this.unreportedStartMs === undefined || eraObservation === undefined || !lease.isEraOver()) {
            return true;
        }
        const { era } = eraObservation.update();
        const nextStartMs = this.unreportedStartMs;
        const conditions = [{ table: progressTable, key: formatProgressKey(era), version: 0 }];
        const writes = buildProgressWrites(era, buildEraProgress(nextStartMs, this.windowClock));
        try {
            const { outcome } = await this.runCall("usage handover", () =>
                tableService.commitTransaction({ conditions, writes }),
            );
            if (outcome === "committed") {
                logger.writeEvent("usageHandedOver", { era, nextStartMs });
            }
        } catch (error) {
            logger.writeEvent("usageStepFailed", { reason: String(error) });
            return false;
        }
        this.unreportedStartMs = undefined;
        return true;
    }

    private isDue({ nextStartMs }: Progress): boolean {
        const { clock, windowMs, graceMs, maximumSealDelayMs = Number.POSITIVE_INFINITY } = this.options;
        const sinceEndMs = this.readSealingTimeMs() - nextStartMs - windowMs;
        const isSealDelayOver =
            clock.monotonicMs() >= this.earliestSealMs || sinceEndMs >= maximumSealDelayMs;
        return sinceEndMs >= graceMs && isSealDelayOver && this.isLeaseReady();
    }

    private readSealingTimeMs(): number {
        const reading = this.readClocks();
        return reading === undefined || this.windowClock === undefined
            ? this.options.clock.wallMs()
            : computeSealingTimeMs(this.windowClock, reading);
    }

    /** Returns undefined for a table service without a clock. */
    private readClocks(): ClockReading | undefined {
        const steadyMs = this.storeClock.readSteadyMs();
        return steadyMs === undefined ? undefined : { wallMs: this.options.clock.wallMs(), steadyMs };
    }

    private isLeaseReady(): boolean {
        return this.options.lease.isReadyFor(this.options.receiver);
    }

    /** Returns undefined if the lease was lost or the report was not sent. */
    private async finishWindow(progress: Progress): Promise<Progress | undefined> {
        const { version, ...value } = progress;
        if (!(await this.reportWindow(value.nextStartMs))) {
            return undefined;
        }
        return this.storeProgress(version, {
            ...value,
            nextStartMs: value.nextStartMs + this.options.windowMs,
        });
    }

    /** Returns false if the lease was lost or the report was not sent. */
    private async reportWindow(windowStartMs: number): Promise<boolean> {
        if (!(await this.sealWindow(windowStartMs))) {
            return false;
        }
        const sealed = await this.sumWindow(windowStartMs);
        const endMs = windowStartMs + this.options.windowMs;
        this.unreportedStartMs = Math.max(this.unreportedStartMs ?? endMs, endMs);
        return Object.keys(sealed.usage).length === 0 || this.sendReport(windowStartMs, sealed);
    }

    private async removeExpiredRows(progress: Progress): Promise<void> {
        const rows = await this.scanRows(usageTable);
        if (!(await this.reportEarlierWindows(rows, progress))) {
            return;
        }
        const beforeMs = progress.nextStartMs - this.options.retentionMs;
        // Seals are removed first: a row removed while its window is still sealed would look like a row from which
        // all usage is missing, and the usage would be moved.
        await this.removeRows(usageSealTable, await this.scanRows(usageSealTable), beforeMs);
        await this.removeRows(usageTable, rows, beforeMs);
        await this.removeRows(usageMoveTable, await this.scanRows(usageMoveTable), beforeMs);
    }

    /**
     * Reports windows before the first reporter's first one, whose usage a node may have written only later. They are
     * recorded before their rows are removed, since the sum of the rows that are left would be another figure.
     *
     * @returns Whether all of them are reported and recorded.
     */
    private async reportEarlierWindows(
        rows: readonly Row[],
        { version, ...value }: Progress,
    ): Promise<boolean> {
        const reported = new Set(value.earlierWindows);
        const windows = new Set(rows.map((row) => parseWindowStartMs(row.key)));
        const earlier = [...windows].filter((start) => start < value.firstStartMs && !reported.has(start));
        for (const windowStartMs of earlier) {
            if (!(await this.reportWindow(windowStartMs))) {
                return false;
            }
        }
        const earlierWindows = [...reported, ...earlier];
        return (
            earlier.length === 0 ||
            (await this.storeProgress(version, { ...value, earlierWindows })) !== undefined
        );
    }

    private async sealWindow(windowStartMs: number): Promise<boolean> {
        const seal = { table: usageSealTable, key: formatWindowKey(windowStartMs) };
        const { fencingNumber } = this.options.lease;
        const result = await this.commit(
            [buildUnsealedCondition(windowStartMs)],
            [{ ...seal, value: { fencingNumber } }],
        );
        if (result.outcome === "committed") {
            return true;
        }
        // An earlier attempt or an earlier lease holder may have sealed the window already.
        const { failed } = result;
        return failed.length > 0 && failed.every(({ table }) => table === usageSealTable);
    }

    private async sumWindow(windowStartMs: number): Promise<SealedUsage> {
        const prefix = `${formatWindowKey(windowStartMs)}/`;
        let usage: UsageByCustomer = {};
        let rowCount = 0;
        let newestVersion = 0;
        let rows: readonly Row[] = [];
        do {
            const after = rows.at(-1)?.key;
            rows = await this.runCall("usage scan", () =>
                this.options.tableService.scanRows(usageTable, { prefix, after, limit: pageSize }),
            );
            usage = rows.reduce((sum, row) => addUsage(sum, parseUsage(row)), usage);
            rowCount += rows.length;
            newestVersion = Math.max(newestVersion, ...rows.map(({ version }) => version));
        } while (rows.length === pageSize);
        return { usage, rowCount, newestVersion };
    }

    private async sendReport(windowStartMs: number, sealed: SealedUsage): Promise<boolean> {
        const { lease, windowMs, node: sender, receiver, reportService } = this.options;
        const customers = Object.entries(sealed.usage)
            .map(([customer, counters]) => ({ customer, ...counters }))
            .sort((left, right) => (left.customer < right.customer ? -1 : 1));
        const report = { windowStartMs, windowMs, customers, fencingNumber: lease.fencingNumber, sender };
        if (!this.isLeaseReady()) {
            return false;
        }
        this.recordReport(windowStartMs, sealed);
        await reportService.reportUsage(report, receiver.wireBoundMs, () => this.isLeaseReady());
        const { fencingNumber } = report;
        this.options.logger.writeEvent("usageReportAccepted", { windowStartMs, fencingNumber });
        return true;
    }

    private recordReport(windowStartMs: number, sealed: SealedUsage): void {
        const { usage, rowCount, newestVersion } = sealed;
        const { lease, logger, clock } = this.options;
        logger.writeEvent("usageReportSent", {
            windowStartMs,
            era: lease.era,
            fencingNumber: lease.fencingNumber,
            requests: Object.values(usage).reduce((sum, { requests }) => sum + requests, 0),
            rowCount,
            newestEra: readEra(newestVersion),
            newestCounter: readCounter(newestVersion),
            wallMs: clock.wallMs(),
            storeMs: this.storeClock.readSteadyMs(),
        });
    }

    private async loadProgress(): Promise<Progress | undefined> {
        const { era } = this.options.lease;
        const stored = parseProgress(await this.scanRows(progressTable), era);
        const progress =
            stored.current ?? (await (era === 0 ? this.startFirstProgress() : this.startEraProgress(stored)));
        const hasClock = this.readClocks() !== undefined;
        return progress !== undefined && hasClock ? this.updateClock(progress) : progress;
    }

    private async updateClock(progress: Progress): Promise<Progress | undefined> {
        const reading = this.readClocks();
        if (reading === undefined) {
            return progress;
        }
        const { version, ...value } = progress;
        const clock =
            value.clock === undefined ? this.buildFirstClock() : updateWindowClock(value.clock, reading);
        const updated =
            clock === value.clock ? progress : await this.storeProgress(version, { ...value, clock });
        this.windowClock = updated?.clock;
        return updated;
    }

    /** Builds the clock of a store that names none yet; undefined for a store without a clock. */
    private buildFirstClock(): WindowClock | undefined {
        const reading = this.readClocks();
        return reading && { offsetMs: reading.wallMs - reading.steadyMs };
    }

    /** The first reporter starts at the earliest row; without any row, at the current window. */
    private async startFirstProgress(): Promise<Progress | undefined> {
        const { tableService, clock, windowMs } = this.options;
        const [first] = await this.runCall("usage scan", () =>
            tableService.scanRows(usageTable, { limit: 1 }),
        );
        const currentMs = computeWindowStartMs(clock.wallMs(), windowMs);
        const startMs = first === undefined ? currentMs : parseWindowStartMs(first.key);
        return this.storeProgress(0, {
            nextStartMs: startMs,
            firstStartMs: startMs,
            earlierWindows: [],
            clock: this.buildFirstClock(),
        });
    }

    /**
     * The first reporter of an era leaves out what may have been reported before the era began: the copy does not tell,
     * and its counts differ from the reported ones.
     */
    private async startEraProgress(stored: StoredProgress): Promise<Progress | undefined> {
        const { clock, windowMs, graceMs, lease, logger, eraObservation } = this.options;
        const { seenWallMs = clock.wallMs(), seenSteadyMs = undefined } = eraObservation?.update() ?? {};
        const latestMs =
            seenSteadyMs === undefined
                ? seenWallMs
                : computeLatestTimeMs(stored.clocks, { wallMs: seenWallMs, steadyMs: seenSteadyMs });
        const unreportedStartMs = computeUnreportedStartMs(latestMs, windowMs, graceMs);
        const nextStartMs = Math.max(unreportedStartMs, stored.nextStartMs);
        logger.writeEvent("usageEraStarted", {
            era: lease.era,
            nextStartMs,
            seenWallMs,
            latestMs,
            storedNextStartMs: Number.isFinite(stored.nextStartMs) ? stored.nextStartMs : undefined,
        });
        const value = buildEraProgress(nextStartMs, stored.latestClock ?? this.buildFirstClock());
        return this.storeProgress(0, value, stored.outdatedKeys);
    }

    private async storeProgress(
        version: number,
        value: ProgressValue,
        outdatedKeys: readonly string[] = [],
    ): Promise<Progress | undefined> {
        const { era } = this.options.lease;
        const removals = outdatedKeys.map((key) => ({ table: progressTable, key }));
        const result = await this.commit(
            [{ table: progressTable, key: formatProgressKey(era), version }],
            [...buildProgressWrites(era, value), ...removals],
        );
        return result.outcome === "committed" ? { version: result.version, ...value } : undefined;
    }

    private scanRows(table: string): Promise<readonly Row[]> {
        return this.runCall("usage scan", () =>
            this.options.tableService.scanRows(table, { limit: pageSize }),
        );
    }

    private async removeRows(table: string, rows: readonly Row[], beforeMs: number): Promise<void> {
        const expired = rows.filter((row) => parseWindowStartMs(row.key) < beforeMs);
        for (let start = 0; start < expired.length; start += maximumRowsPerRemoval) {
            const batch = expired.slice(start, start + maximumRowsPerRemoval);
            const { outcome } = await this.commit(
                batch.map(({ key, version }) => ({ table, key, version })),
                batch.map(({ key }) => ({ table, key })),
            );
            if (outcome === "conflict") {
                this.options.logger.writeEvent("usageRowsNotRemoved", { table, count: batch.length });
            }
        }
    }

    /** Commits a transaction that fails if this node no longer holds the lease. */
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
