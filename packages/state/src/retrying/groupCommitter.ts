/**
 * Group commit: commits conditional writes of single rows together, to reduce the number of transactions.
 *
 * @packageDocumentation
 */
import { PlatformError, PlatformErrorKind } from "@pimentocleat/services";
import type { CommitResult, JsonValue, RowCondition, TableService } from "@pimentocleat/services";
import type { WaitingClock } from "@pimentocleat/types";
import { runWithTimeout } from "./callTimeout.js";

/** A write of one row that takes effect only if the row still has the given version; 0 means absent. */
export interface ConditionalWrite {
    readonly table: string;
    readonly key: string;
    readonly version: number;
    readonly value: JsonValue;
}

/** The result of a {@link ConditionalWrite}. */
export type ConditionalWriteResult =
    { readonly outcome: "committed"; readonly version: number } | { readonly outcome: "conflict" };

/** Options of {@link GroupCommitter}. */
export interface GroupCommitterOptions {
    readonly tableService: TableService;
    readonly clock: WaitingClock;
    /** Timeout of one transaction, in milliseconds. */
    readonly callTimeoutMs: number;
    /** Returns the minimum interval between the starts of two transactions, in milliseconds. */
    readonly getIntervalMs: () => number;
    /** Maximum number of rows in one transaction. */
    readonly maximumRows: number;
    /** Maximum number of queued writes; further writes are refused with `Unavailable`. */
    readonly maximumWaiting: number;
}

interface QueuedWrite extends ConditionalWrite {
    readonly resolve: (result: ConditionalWriteResult) => void;
    readonly reject: (error: unknown) => void;
}

/**
 * Combines the conditional writes that are queued at the same time into one transaction. A write whose condition
 * fails is removed from the group, and the rest is committed without it. If the transaction itself fails, all
 * remaining writes of the group fail with its error.
 */
export class GroupCommitter {
    private queue: QueuedWrite[] = [];
    private running = false;

    /** @param options - The table service, the clock and the limits. */
    constructor(private readonly options: GroupCommitterOptions) {}

    /**
     * Commits one row, together with other queued writes.
     *
     * @param write - The row, its expected version and its new value.
     * @returns Whether the write was committed, and the new version of the row.
     * @throws PlatformError when the table service fails or the queue is full.
     */
    commitWrite(write: ConditionalWrite): Promise<ConditionalWriteResult> {
        if (this.queue.length >= this.options.maximumWaiting) {
            const message = "group commit: the queue of writes is full";
            return Promise.reject(new PlatformError(PlatformErrorKind.Unavailable, message));
        }
        return new Promise((resolve, reject) => {
            this.queue.push({ ...write, resolve, reject });
            if (!this.running) {
                this.running = true;
                // Starts in a microtask, so that writes of the same tick share the first group.
                queueMicrotask(() => void this.runGroups());
            }
        });
    }

    private async runGroups(): Promise<void> {
        while (this.queue.length > 0) {
            const startedMs = this.options.clock.monotonicMs();
            await this.commitGroup(this.takeGroup());
            const elapsedMs = this.options.clock.monotonicMs() - startedMs;
            await this.options.clock.wait(this.options.getIntervalMs() - elapsedMs);
        }
        this.running = false;
    }

    /** Takes writes of distinct rows, because two writes of one row in a transaction would both appear to succeed. */
    private takeGroup(): QueuedWrite[] {
        const group = new Map<string, QueuedWrite>();
        const remaining: QueuedWrite[] = [];
        for (const write of this.queue) {
            const rowName = formatRowName(write);
            if (group.size < this.options.maximumRows && !group.has(rowName)) {
                group.set(rowName, write);
            } else {
                remaining.push(write);
            }
        }
        this.queue = remaining;
        return [...group.values()];
    }

    private async commitGroup(group: readonly QueuedWrite[]): Promise<void> {
        let rest = group;
        while (rest.length > 0) {
            try {
                rest = resolveWrites(rest, await this.commitRows(rest));
            } catch (error) {
                rest.forEach((write) => write.reject(error));
                return;
            }
        }
    }

    private commitRows(group: readonly QueuedWrite[]): Promise<CommitResult> {
        const conditions = group.map(({ table, key, version }) => ({ table, key, version }));
        const writes = group.map(({ table, key, value }) => ({ table, key, value }));
        const { clock, callTimeoutMs: timeoutMs, tableService } = this.options;
        return runWithTimeout({ clock, timeoutMs, callName: "group commit" }, () =>
            tableService.commitTransaction({ conditions, writes }),
        );
    }
}

/** Resolves the writes whose result is known and returns the others. */
function resolveWrites(group: readonly QueuedWrite[], result: CommitResult): readonly QueuedWrite[] {
    if (result.outcome === "committed") {
        group.forEach((write) => write.resolve({ outcome: "committed", version: result.version }));
        return [];
    }
    const failed = new Set(result.failed.map(formatRowName));
    if (!group.some((write) => failed.has(formatRowName(write)))) {
        throw new PlatformError(
            PlatformErrorKind.Rejected,
            "group commit: the table service reported a conflict without a failed condition",
        );
    }
    const [conflicting, rest] = [true, false].map((isConflicting) =>
        group.filter((write) => failed.has(formatRowName(write)) === isConflicting),
    );
    conflicting?.forEach((write) => write.resolve({ outcome: "conflict" }));
    return rest ?? [];
}

function formatRowName(row: Pick<RowCondition, "table" | "key">): string {
    return `${row.table}/${row.key}`;
}
