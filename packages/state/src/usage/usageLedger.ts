/**
 * The usage that a node records.
 *
 * @packageDocumentation
 */
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
    /** This node's incarnation; never used by another process. */
    readonly incarnation: string;
    /** Length of a window, in milliseconds; the same on all nodes. */
    readonly windowMs: number;
    readonly logger: Logger;
    /** Keeps copies between writes; without it, usage since the last write is lost with the host. */
    readonly copySink?: UsageCopySink;
}

/** Usage of a window that is not known to be stored. */
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
    /** Version of the stored row; undefined when it has to be read. */
    version: number | undefined;
    /** The usage of which it is certain that it is stored. */
    stored: UsageByCustomer;
    /** The usage of which it is certain that the copy has it. */
    copied: UsageByCustomer;
}

/**
 * Keeps cumulative counters for each window and overwrites one row a window, so that a lost answer or a
 * repeat does no harm. What a sealed window does not contain moves to the current one.
 */
export class UsageLedger implements UsageRecorder {
    private readonly windows = new Map<number, UsageWindow>();
    private earliestOpenStartMs = 0;

    /** @param options - Where usage is written and copied. */
    constructor(private readonly options: UsageLedgerOptions) {}

    recordUsage(amount: UsageAmount): void {
        const { customer, requests, promptTokens, completionTokens } = amount;
        this.addToCurrentWindow({ [customer]: { requests, promptTokens, completionTokens } });
    }

    /**
     * Writes what is not stored yet.
     *
     * @returns Whether everything recorded before the call is stored.
     */
    async flushOnce(): Promise<boolean> {
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
     * Lists what is not known to be stored, for another node to write.
     *
     * @returns The usage by window; undefined when a row has to be read first.
     */
    listUnstored(): readonly UnstoredUsage[] | undefined {
        this.windows.forEach((window) => this.removeStoredPastWindow(window));
        const unstored = [...this.windows.values()].filter(({ stored, customers }) => stored !== customers);
        const known = unstored.flatMap(({ startMs: windowStartMs, version, customers }) =>
            version === undefined ? [] : [{ windowStartMs, version, customers }],
        );
        return known.length === unstored.length ? known : undefined;
    }

    /**
     * Notes that another node wrote usage; without effect when this node wrote the row itself meanwhile.
     *
     * @param usage - What was listed as not stored.
     * @param version - The row's new version.
     */
    recordStored(usage: UnstoredUsage, version: number): void {
        const window = this.windows.get(usage.windowStartMs);
        if (window?.version === usage.version) {
            window.version = version;
            window.stored = usage.customers;
            this.removeStoredPastWindow(window);
        }
    }

    /**
     * Copies to another node what neither the table service nor the copy has.
     *
     * @returns Whether the copy is complete.
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

    /** The window stays known until its remainder is moved, by this node or by one that has a copy. */
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
        }
    }

    /** A window is never reopened, also when the wall clock goes back. */
    private advanceToCurrentWindow(): number {
        const { clock, windowMs } = this.options;
        this.closeWindowsBefore(computeWindowStartMs(clock.wallMs(), windowMs));
        return this.earliestOpenStartMs;
    }

    private closeWindowsBefore(startMs: number): void {
        this.earliestOpenStartMs = Math.max(this.earliestOpenStartMs, startMs);
    }
}
