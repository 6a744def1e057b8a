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
    readonly collectMs: number;
}

interface Collected {
    readonly usage: ForwardedUsage;
    readonly reply: (version: number) => void;
}

/** Each row needs a condition and a write, and each of the few windows a condition more. */
const rowsPerWrite = Math.floor(maximumTransactionEntries / 2) - 2;

/**
 * Collects and writes. It promises nothing: a node that gets no reply in time writes itself, and conditions on the
 * rows' versions keep the two apart.
 */
export class UsageCollector {
    private collected: Collected[] = [];
    private isWaiting = false;

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
        if (!this.isWaiting) {
            this.isWaiting = true;
            void this.writeSoon();
        }
    }

    private async writeSoon(): Promise<void> {
        await this.options.clock.wait(this.options.collectMs);
        this.isWaiting = false;
        const collected = this.collected.splice(0);
        for (let start = 0; start < collected.length; start += rowsPerWrite) {
            await this.writeRows(collected.slice(start, start + rowsPerWrite)).catch((error: unknown) => {
                const kind = error instanceof PlatformError ? error.kind : "unexpected";
                this.options.logger.writeEvent("usageNotForwarded", { kind, reason: String(error) });
            });
        }
    }

    private async writeRows(collected: readonly Collected[]): Promise<void> {
        const { writer } = this.options;
        const result = await writer.writeRows(collected.map(({ usage }) => usage));
        if (result.type === "written") {
            collected.forEach(({ reply }) => reply(result.version));
            return;
        }
        // Rows that changed meanwhile are left to their nodes; one more try writes the others.
        const refused = new Set([...result.refused.keys()].map((index) => collected[index]));
        const rest = collected.filter((item) => !refused.has(item));
        if (rest.length > 0 && rest.length < collected.length) {
            const again = await writer.writeRows(rest.map(({ usage }) => usage));
            if (again.type === "written") {
                rest.forEach(({ reply }) => reply(again.version));
            }
        }
    }
}
