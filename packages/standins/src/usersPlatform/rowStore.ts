/**
 * In-memory store of the users' platform: rows that share one version counter, conditional transactions and a
 * change feed.
 *
 * @packageDocumentation
 */
import { SystemClock, type Clock } from "@pimentocleat/types";
import { RowHistory, type RowStoreCopy, type StoredRow } from "./rowHistory.js";

/** One change in its wire format. */
export type StoredChange = StoredRow & { readonly Deleted?: boolean };

/** Identifies a row. */
export interface RowId {
    readonly Table: string;
    readonly part?: string;
    readonly Key: string;
}

/** A transaction in its wire format. */
export interface RowTransaction {
    readonly Expected?: readonly (RowId & { readonly Ver: number })[];
    readonly Puts?: readonly (RowId & { readonly Value: string })[];
    readonly Delete?: readonly RowId[];
}

/** Stores rows and their change history in memory. */
export class RowStore {
    private rows = new Map<string, StoredRow>();
    private changes: StoredChange[] = [];
    private waiters: (() => void)[] = [];
    private version = 0;
    /** Highest version whose changes were discarded from the history. */
    private discardedVersion = 0;
    private readonly history: RowHistory;

    /** @param clock - Its monotonic time gives older copies their age. */
    constructor(clock: Clock = new SystemClock()) {
        this.history = new RowHistory(clock);
    }

    /** @returns The version of the last applied transaction. */
    getVersion(): number {
        return this.version;
    }

    /**
     * Applies a transaction if all its conditions hold.
     *
     * @param transaction - Conditions and writes.
     * @returns Undefined when it was applied; otherwise the current rows that the conditions name.
     */
    applyTransaction(transaction: RowTransaction): readonly StoredRow[] | undefined {
        const { Expected: expected = [], Puts: puts = [], Delete: deletes = [] } = transaction;
        const findRow = (id: RowId): StoredRow | undefined => this.rows.get(formatRowId(id));
        if (expected.some((condition) => (findRow(condition)?.Ver ?? 0) !== condition.Ver)) {
            return expected.map(findRow).filter((row) => row !== undefined);
        }
        const previousVersion = this.version;
        [...puts, ...deletes].map(formatRowId).forEach((id) => {
            this.history.recordChange(id, this.rows.get(id), previousVersion);
        });
        this.version += 1;
        for (const { Table, part = "", Key, Value } of puts) {
            this.addChange({ Table, part, Key, Value, Ver: this.version });
        }
        for (const { Table, part = "", Key } of deletes) {
            this.addChange({ Table, part, Key, Value: "", Ver: this.version, Deleted: true });
        }
        this.waiters.splice(0).forEach((wake) => wake());
        return undefined;
    }

    /**
     * Writes a row whose value is encoded as JSON.
     *
     * @param table - Name of the table.
     * @param key - Key of the row.
     * @param value - Value to encode.
     */
    putJson(table: string, key: string, value: unknown): void {
        this.putBytes(table, key, Buffer.from(JSON.stringify(value)));
    }

    /**
     * Writes a row whose value is arbitrary bytes.
     *
     * @param table - Name of the table.
     * @param key - Key of the row.
     * @param bytes - Value of the row.
     */
    putBytes(table: string, key: string, bytes: Buffer): void {
        this.applyTransaction({ Puts: [{ Table: table, Key: key, Value: bytes.toString("base64") }] });
    }

    /**
     * Deletes a row.
     *
     * @param table - Name of the table.
     * @param key - Key of the row.
     */
    removeRow(table: string, key: string): void {
        this.applyTransaction({ Delete: [{ Table: table, Key: key }] });
    }

    /**
     * Lists the rows of a partition, sorted by key.
     *
     * @param table - Name of the table.
     * @param part - Name of the partition.
     * @param from - Lowest key, inclusive.
     * @param to - Upper end of the keys, exclusive; without it, the range is open-ended.
     * @returns The rows in this range.
     */
    listRows(table: string, part = "", from = "", to?: string): readonly StoredRow[] {
        return [...this.rows.values()]
            .filter(
                (row) =>
                    row.Table === table &&
                    row.part === part &&
                    row.Key >= from &&
                    (to === undefined || row.Key < to),
            )
            .sort((left, right) => (left.Key < right.Key ? -1 : 1));
    }

    /**
     * Lists the changes of a table after a version.
     *
     * @param table - Name of the table.
     * @param after - Version after which changes are listed.
     * @returns The changes, or undefined when some of them were discarded from the history.
     */
    listChanges(table: string, after: number): readonly StoredChange[] | undefined {
        if (after < this.discardedVersion || after > this.version) {
            return undefined;
        }
        const first = this.changes.findLastIndex((change) => change.Ver <= after) + 1;
        return this.changes.slice(first).filter((change) => change.Table === table);
    }

    /**
     * Waits for the next applied transaction.
     *
     * @param timeoutMs - Maximum wait, in milliseconds.
     */
    waitForChange(timeoutMs: number): Promise<void> {
        return new Promise((resolve) => {
            const timer = setTimeout(resolve, timeoutMs);
            this.waiters.push(() => {
                clearTimeout(timer);
                resolve();
            });
        });
    }

    /** @returns A copy of all rows, to restore later. */
    copyRows(): RowStoreCopy {
        return { rows: new Map(this.rows), version: this.version };
    }

    /**
     * Copies all rows as they were some time ago, also before the store last went back to a copy.
     *
     * @param ageMs - Age of the copy, in milliseconds; at most a minute.
     * @returns The copy, to restore now or later.
     */
    copyOlderRows(ageMs: number): RowStoreCopy {
        return this.history.buildCopy(this.copyRows(), ageMs);
    }

    /**
     * Goes back to a copy: everything written since is gone, and its versions are given out again.
     *
     * @param copy - The copy.
     */
    recoverCopy(copy: RowStoreCopy): void {
        this.history.recordRecovery(this.rows, this.version);
        this.rows = new Map(copy.rows);
        this.version = copy.version;
        this.clearHistory();
        this.waiters.splice(0).forEach((wake) => wake());
    }

    /** Discards the change history, so that readers of an older version must read all rows again. */
    clearHistory(): void {
        this.changes = [];
        this.discardedVersion = this.version;
    }

    private addChange(change: StoredChange): void {
        const rowId = formatRowId(change);
        if (change.Deleted === true) {
            this.rows.delete(rowId);
        } else {
            this.rows.set(rowId, change);
        }
        this.changes.push(change);
    }
}

function formatRowId(id: RowId): string {
    return [id.Table, id.part ?? "", id.Key].join("\n");
}
