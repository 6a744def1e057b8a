/**
 * Copies of other nodes' usage, written to the table service when their node is gone.
 *
 * @packageDocumentation
 */
import { computeRemainder, computeWindowStartMs, isEmptyUsage, mergeUsage } from "@pimentocleat/policy";
import type { Logger } from "@pimentocleat/telemetry";
import type { Clock } from "@pimentocleat/types";
import type { UsageCopy, UsageCopySink } from "./usageCopySink.js";
import { formatUsageKey, parseUsage } from "./usageTables.js";
import type { UsageRowWriter } from "./usageRowWriter.js";

/** Options of {@link UsageCopyStore}. */
export interface UsageCopyStoreOptions {
    readonly writer: UsageRowWriter;
    readonly clock: Clock;
    /** Tells whether an incarnation of a node is known to be gone. */
    readonly isIncarnationDead: (incarnation: string) => boolean;
    /** Length of a window, in milliseconds. */
    readonly windowMs: number;
    /** How long copies of a live node are kept after their window began, in milliseconds. */
    readonly retentionMs: number;
    readonly logger: Logger;
}

/**
 * Keeps copies and completes the rows of nodes that are gone; what a sealed row lacks moves to a later window. A
 * node that was wrongly taken for gone is not harmed: its row is merged by maximum, it merges likewise, and usage
 * is moved once, whoever does it.
 */
export class UsageCopyStore implements UsageCopySink {
    private readonly copies = new Map<string, UsageCopy>();
    private earliestTargetStartMs = 0;

    /** @param options - Where rows are written and who is gone. */
    constructor(private readonly options: UsageCopyStoreOptions) {}

    storeCopy(copy: UsageCopy): Promise<void> {
        const key = formatUsageKey(copy.windowStartMs, copy.incarnation);
        const customers = mergeUsage(this.copies.get(key)?.customers ?? {}, copy.customers);
        this.copies.set(key, { ...copy, customers });
        return Promise.resolve();
    }

    /**
     * Writes the copies of nodes that are gone and forgets old copies.
     *
     * @returns Whether no copy of a node that is gone is left.
     */
    async recoverOnce(): Promise<boolean> {
        let succeeded = true;
        for (const [key, copy] of [...this.copies]) {
            if (this.options.isIncarnationDead(copy.incarnation)) {
                const isDone = await this.recoverCopy(copy).catch((error: unknown) => {
                    const { incarnation, windowStartMs } = copy;
                    const reason = String(error);
                    this.options.logger.writeEvent("usageNotRecovered", {
                        incarnation,
                        windowStartMs,
                        reason,
                    });
                    return false;
                });
                succeeded = succeeded && isDone;
                if (isDone) {
                    this.copies.delete(key);
                }
            } else if (copy.windowStartMs + this.options.retentionMs < this.options.clock.wallMs()) {
                this.copies.delete(key);
            }
        }
        return succeeded;
    }

    private async recoverCopy(copy: UsageCopy): Promise<boolean> {
        const { writer } = this.options;
        const row = await writer.readUsage(copy);
        const stored = parseUsage(row);
        const missing = computeRemainder(copy.customers, stored);
        if (isEmptyUsage(missing)) {
            return true;
        }
        const merged = mergeUsage(stored, copy.customers);
        const result = await writer.writeUsage(copy, row?.version ?? 0, merged);
        return result.type === "sealed" ? this.moveCopy(copy) : result.type === "written";
    }

    private async moveCopy({ incarnation, windowStartMs, customers }: UsageCopy): Promise<boolean> {
        const { writer, clock, windowMs, logger } = this.options;
        const laterMs = Math.max(computeWindowStartMs(clock.wallMs(), windowMs), windowStartMs + windowMs);
        const targetStartMs = Math.max(laterMs, this.earliestTargetStartMs);
        const result = await writer.moveUsage({ incarnation, windowStartMs }, customers, targetStartMs);
        if (result === "sealed") {
            this.earliestTargetStartMs = targetStartMs + windowMs;
        }
        if (result === "moved") {
            logger.writeEvent("usageMoved", { incarnation, windowStartMs, targetStartMs });
        }
        return result === "moved" || result === "nothing";
    }
}
