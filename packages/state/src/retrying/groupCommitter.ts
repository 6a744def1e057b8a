/**
 * Commits conditional writes of single rows in groups, to save transactions.
 *
 * @packageDocumentation
 */
import { PlatformError, PlatformErrorKind } from "@pimentocleat/services";
import type { CommitResult, JsonValue, RowCondition, TableService } from "@pimentocleat/services";
import type { WaitingClock } from "@pimentocleat/types";
import { runWithTimeout } from "./callTimeout.js";

/** A write of one row that holds only if the row still has a version; 0 means absent. */
export interface ConditionalWrite {
    readonly table: string;
    readonly key: string;
    readonly version: number;
    readonly value: JsonValue;
}

/** The fate of a {@link ConditionalWrite}. */
export type ConditionalWriteResult =
    { readonly outcome: "committed"; readonly version: number } | { readonly outcome: "conflict" };

/** Options of {@link GroupCommitter}. */
export interface GroupCommitterOptions {
    readonly tableService: TableService;
    readonly clock: WaitingClock;
    /** Bound on one transaction, in milliseconds. */
    readonly callTimeoutMs: number;
    /** Reads the least time between the starts of two transactions, in milliseconds. */
    readonly getIntervalMs: () => number;
    /** Most rows in one transaction. */
    readonly maximumRows: number;
    /** Most writes that wait; more are refused as `Unavailable`. */
    readonly maximumWaiting: number;
}

interface QueuedWrite extends ConditionalWrite {
    readonly resolve: (result: ConditionalWriteResult) => void;
    readonly reject: (error: unknown) => void;
}

/**
 * Puts the conditional writes that wait at the same moment into one transaction. A write whose condition
 * fails leaves the group and the rest is committed without it. All writes of a group share a failure.
 */
export class GroupCommitter {
    private queue: QueuedWrite[] = [];
    private running = false;

    /** @param options - The table service and the bounds. */
    constructor(private readonly options: GroupCommitterOptions) {}

    /**
     * Commits one row, together with others that wait.
     *
     * @param write - The row, its expected version and its new value.
     * @returns Whether it committed; throws a `PlatformError` as the table service does.
     */
    commitWrite(write: ConditionalWrite): Promise<ConditionalWriteResult> {
        if (this.queue.length >= this.options.maximumWaiting) {
            const message = "group commit: too many writes wait";
            return Promise.reject(new PlatformError(PlatformErrorKind.Unavailable, message));
        }
        return new Promise((resolve, reject) => {
            this.queue.push({ ...write, resolve, reject });
            if (!this.running) {
                this.running = true;
                // The next microtask, so that writes of the same tick share the first group.
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

    /** Takes writes of distinct rows: two writes of one row in a transaction would both seem to hold. */
    private takeGroup(): QueuedWrite[] {
        const group = new Map<string, QueuedWrite>();
        const left: QueuedWrite[] = [];
        for (const write of this.queue) {
            const rowName = formatRowName(write);
            if (group.size < this.options.maximumRows && !group.has(rowName)) {
                group.set(rowName, write);
            } else {
                left.push(write);
            }
        }
        this.queue = left;
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

/** Resolves the writes whose fate is known and returns the others. */
function resolveWrites(group: readonly QueuedWrite[], result: CommitResult): readonly QueuedWrite[] {
    if (result.outcome === "committed") {
        group.forEach((write) => write.resolve({ outcome: "committed", version: result.version }));
        return [];
    }
    const failed = new Set(result.failed.map(formatRowName));
    if (!group.some((write) => failed.has(formatRowName(write)))) {
        throw new PlatformError(
            PlatformErrorKind.Rejected,
            "group commit: conflict without a failed condition",
        );
    }
    const [lost, rest] = [true, false].map((isLost) =>
        group.filter((write) => failed.has(formatRowName(write)) === isLost),
    );
    lost?.forEach((write) => write.resolve({ outcome: "conflict" }));
    return rest ?? [];
}

function formatRowName(row: Pick<RowCondition, "table" | "key">): string {
    return `${row.table}/${row.key}`;
}
