/**
 * Writes the usage of several nodes in one transaction, to limit the number of calls in a deployment with many nodes.
 *
 * @packageDocumentation
 */
import { maximumTransactionEntries, PlatformError } from "@pimentocleat/services";
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import type { UnstoredUsage } from "./usageLedger.js";
import type { UsageRowWriter } from "./usageRowWriter.js";

/** Usage of one node that is forwarded to another node, which writes it. */
export interface ForwardedUsage extends UnstoredUsage {
    /** Incarnation of the node that recorded the usage. */
    readonly incarnation: string;
}

/** Options of {@link UsageCollector}. */
export interface UsageCollectorOptions {
    readonly writer: UsageRowWriter;
    readonly clock: WaitingClock;
    readonly logger: Logger;
    /** Time during which usage is collected before it is written, in milliseconds. */
    readonly collectionDelayMs: number;
}

interface PendingUsage {
    readonly usage: ForwardedUsage;
    readonly reply: (version: number) => void;
}

/** Each row takes a condition and a write; the rest is left for the seal conditions, one for each of a few windows. */
const maximumRowsPerWrite = Math.floor(maximumTransactionEntries / 2) - 2;

/**
 * Collects forwarded usage and writes it. Delivery is not guaranteed: a node that receives no reply in time writes
 * its usage itself, and the conditions on the row versions let only one of the two writes take effect.
 */
export class UsageCollector {
    private pending: PendingUsage[] = [];
    private isWriteScheduled = false;

    /** @param options - The writer, the clock, the logger and the collection time. */
    constructor(private readonly options: UsageCollectorOptions) {}

    /**
     * Adds usage to the next write.
     *
     * @param usage - The cumulative usage of a node in a window.
     * @param reply - Called with the row's new version after the write; not called if the usage was not written.
     */
    addUsage(usage: ForwardedUsage, reply: (version: number) => void): void {
        this.pending.push({ usage, reply });
        if (!this.isWriteScheduled) {
            this.isWriteScheduled = true;
            void this.writePendingAfterDelay();
        }
    }

    private async writePendingAfterDelay(): Promise<void> {
        await this.options.clock.wait(this.options.collectionDelayMs);
        this.isWriteScheduled = false;
        const pending = this.pending.splice(0);
        for (let start = 0; start < pending.length; start += maximumRowsPerWrite) {
            await this.writeRows(pending.slice(start, start + maximumRowsPerWrite)).catch(
                (error: unknown) => {
                    const kind = error instanceof PlatformError ? error.kind : "unexpected";
                    this.options.logger.writeEvent("usageNotForwarded", { kind, reason: String(error) });
                },
            );
        }
    }

    private async writeRows(pending: readonly PendingUsage[]): Promise<void> {
        const { writer } = this.options;
        const result = await writer.writeRows(pending.map(({ usage }) => usage));
        if (result.type === "written") {
            pending.forEach(({ reply }) => reply(result.version));
            return;
        }
        // Refused rows, which changed or are in sealed windows, are left to their nodes; the others are retried once.
        const refused = new Set([...result.refused.keys()].map((index) => pending[index]));
        const rest = pending.filter((item) => !refused.has(item));
        if (rest.length > 0 && rest.length < pending.length) {
            const retryResult = await writer.writeRows(rest.map(({ usage }) => usage));
            if (retryResult.type === "written") {
                rest.forEach(({ reply }) => reply(retryResult.version));
            }
        }
    }
}
