/**
 * Counts a node's usage and writes it to the table service.
 *
 * @packageDocumentation
 */
import { noEras, readEra, type EraSource } from "@pimentocleat/services";
import { addUsage, computeWindowStartMs, type UsageByCustomer } from "@pimentocleat/policy";
import type { Logger } from "@pimentocleat/telemetry";
import type { Clock } from "@pimentocleat/types";
import type { UsageCopySink } from "./usageCopySink.js";
import type { UsageAmount, UsageRecorder } from "./usageRecorder.js";
import type { UsageRowWriter } from "./usageRowWriter.js";

/** Options of {@link UsageLedger}. */
export interface UsageLedgerOptions {
    readonly writer: UsageRowWriter;
    readonly clock: Clock;
    /** This node's incarnation; no other process ever has the same one. */
    readonly incarnation: string;
    /** Length of a window, in milliseconds; the same on all nodes. */
    readonly windowMs: number;
    readonly logger: Logger;
    /** Stores copies between writes; without it, usage since the last write is lost when the host fails. */
    readonly copySink?: UsageCopySink;
    /** The era of the table service; without it, the service never comes back from an older copy. */
    readonly eras?: EraSource;
    /** Time from the start of a window for which its counts are kept, to be written again in a new era; 0 when absent. */
    readonly retentionMs?: number;
}

/** Usage of a window that may not be stored yet. */
export interface UnstoredUsage {
    /** Start of the window, in milliseconds since the Unix epoch. */
    readonly windowStartMs: number;
    /** Version of the stored row; 0 when there is none. */
    readonly version: number;
    /** The cumulative usage. */
    readonly customers: UsageByCustomer;
}

interface UsageWindow {
    readonly startMs: number;
    customers: UsageByCustomer;
    /** Version of the stored row; 0 when there is none, undefined when it has to be read. */
    version: number | undefined;
    /** The usage that is certainly stored in the table service. */
    stored: UsageByCustomer;
    /** The usage that is certainly part of the copy on the other node. */
    copied: UsageByCustomer;
}

/**
 * Keeps cumulative counters for each window and overwrites one row per window, so that a lost response or a repeated
 * write causes no error in the counts. Usage that is missing from a sealed window is moved to the current one.
 */
export class UsageLedger implements UsageRecorder {
    private readonly windows = new Map<number, UsageWindow>();
    /** Past windows that are stored in the table service's current era. */
    private readonly storedWindows = new Map<number, UsageWindow>();
    private readonly eras: EraSource;
    private era = 0;
    private earliestOpenStartMs = 0;

    /** @param options - The writer, the clock, the node's incarnation and the receiver of copies. */
    constructor(private readonly options: UsageLedgerOptions) {
        this.eras = options.eras ?? noEras;
    }

    recordUsage(amount: UsageAmount): void {
        const { customer, requests, promptTokens, completionTokens } = amount;
        this.addToCurrentWindow({ [customer]: { requests, promptTokens, completionTokens } });
    }

    /**
     * Writes all usage that is not stored yet.
     *
     * @returns Whether all usage recorded before the call is stored.
     */
    async flushOnce(): Promise<boolean> {
        this.recordEra(this.eras.getEra());
        let succeeded = true;
        for (const window of [...this.windows.values()]) {
            const isStored = await this.flushWindow(window).catch((error: unknown) => {
                this.writeFailure("usageNotStored", window, error);
                window.version = undefined;
                return false;
            });
            succeeded = succeeded && isStored;
        }
        return succeeded;
    }

    /**
     * Lists the usage that may not be stored yet, so that another node can write it.
     *
     * @returns The usage by window; undefined if the version of a row has to be read first.
     */
    listUnstored(): readonly UnstoredUsage[] | undefined {
        this.recordEra(this.eras.getEra());
        this.windows.forEach((window) => this.removeStoredPastWindow(window));
        const unstored = [...this.windows.values()].filter(({ stored, customers }) => stored !== customers);
        const known = unstored.flatMap(({ startMs: windowStartMs, version, customers }) =>
            version === undefined ? [] : [{ windowStartMs, version, customers }],
        );
        return known.length === unstored.length ? known : undefined;
    }

    /**
     * Records that another node wrote usage; has no effect if this node wrote the row itself in the meantime.
     *
     * @param usage - The usage as {@link listUnstored} returned it.
     * @param version - The row's new version.
     */
    recordStored(usage: UnstoredUsage, version: number): void {
        this.recordEra(readEra(version));
        const window = this.windows.get(usage.windowStartMs);
        if (window?.version === usage.version) {
            window.version = version;
            window.stored = usage.customers;
            this.removeStoredPastWindow(window);
        }
    }

    /**
     * Copies usage to another node, unless the table service or the copy already has it.
     *
     * @returns Whether the copy is complete; always false without a copy sink.
     */
    async copyOnce(): Promise<boolean> {
        const { copySink, incarnation } = this.options;
        for (const window of [...this.windows.values()]) {
            const { customers, startMs: windowStartMs } = window;
            if (window.copied !== customers && window.stored !== customers) {
                try {
                    await copySink?.storeCopy({ incarnation, windowStartMs, customers });
                    window.copied = customers;
                } catch (error) {
                    this.writeFailure("usageNotCopied", window, error);
                    return false;
                }
            }
        }
        return copySink !== undefined;
    }

    /** In a new era, the table service may have lost what was written before. */
    private recordEra(era: number): void {
        if (era <= this.era) {
            return;
        }
        const isFirst = this.era === 0;
        this.era = era;
        if (isFirst) {
            return;
        }
        for (const window of [...this.storedWindows.values(), ...this.windows.values()]) {
            this.windows.set(window.startMs, { ...window, version: undefined, stored: {} });
        }
        this.storedWindows.clear();
    }

    private writeFailure(
        event: "usageNotStored" | "usageNotCopied",
        { startMs: windowStartMs }: UsageWindow,
        error: unknown,
    ): void {
        this.options.logger.writeEvent(event, { windowStartMs, reason: String(error) });
    }

    private addToCurrentWindow(usage: UsageByCustomer): void {
        const startMs = this.advanceToCurrentWindow();
        const window = this.windows.get(startMs) ?? {
            startMs,
            customers: {},
            version: 0,
            stored: {},
            copied: {},
        };
        this.windows.set(startMs, window);
        window.customers = addUsage(window.customers, usage);
    }

    private async flushWindow(window: UsageWindow): Promise<boolean> {
        const { writer, incarnation } = this.options;
        const rowId = { windowStartMs: window.startMs, incarnation };
        if (window.version === undefined) {
            window.version = (await writer.readUsage(rowId))?.version ?? 0;
        }
        const { customers } = window;
        if (customers === window.stored) {
            this.removeStoredPastWindow(window);
            return true;
        }
        const result = await writer.writeUsage(rowId, window.version, customers);
        if (result.type === "written") {
            window.version = result.version;
            window.stored = customers;
            return true;
        }
        window.version = undefined;
        if (result.type === "sealed") {
            await this.moveRemainder(window);
        }
        return false;
    }

    /** Moves missing usage of a sealed window; the window is kept until this node or one with a copy has moved it. */
    private async moveRemainder(window: UsageWindow): Promise<void> {
        const { writer, incarnation, windowMs, logger } = this.options;
        const { startMs: windowStartMs, customers } = window;
        this.closeWindowsBefore(windowStartMs + windowMs);
        const targetStartMs = this.advanceToCurrentWindow();
        const result = await writer.moveUsage({ windowStartMs, incarnation }, customers, targetStartMs);
        if (result === "sealed") {
            this.closeWindowsBefore(targetStartMs + windowMs);
        }
        if (result === "moved") {
            logger.writeEvent("usageMoved", { incarnation, windowStartMs, targetStartMs });
        }
        if (result === "moved" || result === "nothing") {
            this.windows.delete(windowStartMs);
        }
    }

    private removeStoredPastWindow(window: UsageWindow): void {
        const { clock, windowMs } = this.options;
        const isPast = window.startMs < computeWindowStartMs(clock.wallMs(), windowMs);
        if (isPast && window.stored === window.customers) {
            this.windows.delete(window.startMs);
            this.closeWindowsBefore(window.startMs + windowMs);
            this.addStoredWindow(window);
        }
    }

    private addStoredWindow(window: UsageWindow): void {
        const { clock, retentionMs = 0 } = this.options;
        const earliestMs = clock.wallMs() - retentionMs;
        this.storedWindows.set(window.startMs, window);
        [...this.storedWindows.keys()]
            .filter((startMs) => startMs < earliestMs)
            .forEach((startMs) => this.storedWindows.delete(startMs));
    }

    /** Returns the start of the current window. A closed window is not reopened, even if the wall clock steps back. */
    private advanceToCurrentWindow(): number {
        const { clock, windowMs } = this.options;
        this.closeWindowsBefore(computeWindowStartMs(clock.wallMs(), windowMs));
        return this.earliestOpenStartMs;
    }

    private closeWindowsBefore(startMs: number): void {
        this.earliestOpenStartMs = Math.max(this.earliestOpenStartMs, startMs);
    }
}
