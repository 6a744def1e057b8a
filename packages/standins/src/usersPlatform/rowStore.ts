/**
 * The rows of the users' platform: one counter of versions, transactions under conditions, and a feed of changes.
 *
 * @packageDocumentation
 */

/** One row, as it is told on the wire. */
export interface StoredRow {
    readonly Table: string;
    readonly part: string;
    readonly Key: string;
    /** Base64. */
    readonly Value: string;
    readonly Ver: number;
}

/** A change, as it is told on the wire. */
export type StoredChange = StoredRow & { readonly Deleted?: boolean };

/** Names a row. */
export interface RowId {
    readonly Table: string;
    readonly part?: string;
    readonly Key: string;
}

/** A transaction, as it is sent. */
export interface RowTransaction {
    readonly Expected?: readonly (RowId & { readonly Ver: number })[];
    readonly Puts?: readonly (RowId & { readonly Value: string })[];
    readonly Delete?: readonly RowId[];
}

/** Keeps rows in memory. */
export class RowStore {
    private readonly rows = new Map<string, StoredRow>();
    private changes: StoredChange[] = [];
    private waiters: (() => void)[] = [];
    private version = 0;
    /** Changes up to this version are forgotten. */
    private discardedVersion = 0;

    /** @returns The newest version. */
    getVersion(): number {
        return this.version;
    }

    /**
     * Applies a transaction.
     *
     * @param transaction - Conditions and writes.
     * @returns The rows that the conditions name as they are, or undefined when it took effect.
     */
    applyTransaction(transaction: RowTransaction): readonly StoredRow[] | undefined {
        const { Expected: expected = [], Puts: puts = [], Delete: deletes = [] } = transaction;
        const current = (name: RowId): StoredRow | undefined => this.rows.get(formatRowId(name));
        if (expected.some((condition) => (current(condition)?.Ver ?? 0) !== condition.Ver)) {
            return expected.map(current).filter((row) => row !== undefined);
        }
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
     * Writes a row with a value as JSON.
     *
     * @param table - The table.
     * @param key - The row's key.
     * @param value - The value.
     */
    putJson(table: string, key: string, value: unknown): void {
        this.putBytes(table, key, Buffer.from(JSON.stringify(value)));
    }

    /**
     * Writes a row with any bytes.
     *
     * @param table - The table.
     * @param key - The row's key.
     * @param bytes - The value.
     */
    putBytes(table: string, key: string, bytes: Buffer): void {
        this.applyTransaction({ Puts: [{ Table: table, Key: key, Value: bytes.toString("base64") }] });
    }

    /**
     * Deletes a row.
     *
     * @param table - The table.
     * @param key - The row's key.
     */
    removeRow(table: string, key: string): void {
        this.applyTransaction({ Delete: [{ Table: table, Key: key }] });
    }

    /**
     * Lists rows of a table in the order of their keys.
     *
     * @param table - The table.
     * @param part - The partition.
     * @param from - First key.
     * @param to - End of the keys, exclusive.
     * @returns The rows.
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
     * Lists changes of a table.
     *
     * @param table - The table.
     * @param after - Only changes after this version.
     * @returns The changes, or undefined when they are forgotten.
     */
    listChanges(table: string, after: number): readonly StoredChange[] | undefined {
        if (after < this.discardedVersion) {
            return undefined;
        }
        return this.changes.filter((change) => change.Table === table && change.Ver > after);
    }

    /**
     * Waits for the next transaction.
     *
     * @param waitMs - Longest wait, in milliseconds.
     */
    waitForChange(waitMs: number): Promise<void> {
        return new Promise((resolve) => {
            const timer = setTimeout(resolve, waitMs);
            this.waiters.push(() => {
                clearTimeout(timer);
                resolve();
            });
        });
    }

    /** Forgets the history of changes. */
    clearHistory(): void {
        this.changes = [];
        this.discardedVersion = this.version;
    }

    private addChange(change: StoredChange): void {
        const name = formatRowId(change);
        if (change.Deleted === true) {
            this.rows.delete(name);
        } else {
            this.rows.set(name, change);
        }
        this.changes.push(change);
    }
}

function formatRowId(name: RowId): string {
    return [name.Table, name.part ?? "", name.Key].join("\n");
}
