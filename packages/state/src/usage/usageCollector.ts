/**
 * Writes the usage of several nodes in one transaction, so that a deployment with many nodes makes few calls.
 *
 * @packageDocumentation
 */
import { maximumTransactionEntries, PlatformError } from "@pimentocleat/services";
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import type { UnstoredUsage } from "./usageLedger.js";
import type { UsageRowWriter } from "./usageRowWriter.js";

/** Usage of one node that another one writes. */
export interface ForwardedUsage extends UnstoredUsage {
    readonly incarnation: string;
}

/** Options of {@link UsageCollector}. */
export interface UsageCollectorOptions {
    readonly writer: UsageRowWriter;
    readonly clock: WaitingClock;
    readonly logger: Logger;
    /** How long usage is collected before it is written, in milliseconds. */
    readonly collectionDelayMs: number;
}

interface PendingUsage {
    readonly usage: ForwardedUsage;
    readonly reply: (version: number) => void;
}

/** Each row needs a condition and a write, and each of the few windows a condition more. */
const maximumRowsPerWrite = Math.floor(maximumTransactionEntries / 2) - 2;

/**
 * Collects and writes. It promises nothing: a node that gets no reply in time writes itself, and conditions on the
 * rows' versions keep the two apart.
 */
export class UsageCollector {
    private collected: PendingUsage[] = [];
    private isWriteScheduled = false;

    /** @param options - Where usage is written. */
    constructor(private readonly options: UsageCollectorOptions) {}

    /**
     * Takes usage to write.
     *
     * @param usage - The cumulative usage of a window.
     * @param reply - Called with the row's new version once it is written.
     */
    addUsage(usage: ForwardedUsage, reply: (version: number) => void): void {
        this.collected.push({ usage, reply });
        if (!this.isWriteScheduled) {
            this.isWriteScheduled = true;
            void this.writePendingAfterDelay();
        }
    }

    private async writePendingAfterDelay(): Promise<void> {
        await this.options.clock.wait(this.options.collectionDelayMs);
        this.isWriteScheduled = false;
        const pending = this.collected.splice(0);
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
        // Rows that changed meanwhile are left to their nodes; one more try writes the others.
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
