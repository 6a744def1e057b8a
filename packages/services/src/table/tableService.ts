/**
 * The platform's transactional table service.
 *
 * @packageDocumentation
 */

/** A value that JSON can carry. */
export type JsonValue = string | number | boolean | JsonValue[] | { [key: string]: JsonValue };

/** One row. */
export interface Row {
    readonly key: string;
    readonly value: JsonValue;
    /** Grows with each write of the row; unique over the row's life, deletion included. */
    readonly version: number;
}

/** What must hold for a transaction to commit. `version: 0` means that the row must be absent. */
export interface RowCondition {
    readonly table: string;
    readonly key: string;
    readonly version: number;
}

/** A write; an absent value deletes the row. */
export interface RowWrite {
    readonly table: string;
    readonly key: string;
    readonly value?: JsonValue;
}

/** Most conditions and writes together in a transaction that the table services of all deployments take. */
export const maximumTransactionEntries = 100;

/** Conditions and writes that take effect together or not at all; at most {@link maximumTransactionEntries}. */
export interface Transaction {
    readonly conditions: readonly RowCondition[];
    readonly writes: readonly RowWrite[];
}

/** What the service answered to a transaction. */
export type CommitResult =
    | { readonly outcome: "committed"; readonly version: number }
    | { readonly outcome: "conflict"; readonly failed: readonly RowCondition[] };

/** Which rows to scan. */
export interface ScanOptions {
    readonly prefix?: string;
    /** Only keys after this one. */
    readonly after?: string;
    /** Most rows in one answer; 1,000 when absent. */
    readonly limit?: number;
}

/** Client of the table service. Every method throws a `PlatformError` on failure. */
export interface TableService {
    /**
     * Reads one row, linearizably.
     *
     * @param table - The table.
     * @param key - The row's key.
     * @returns The row, or undefined when absent.
     */
    readRow(table: string, key: string): Promise<Row | undefined>;
    /**
     * Reads rows in the order of their keys.
     *
     * @param table - The table.
     * @param options - Which rows.
     * @returns The rows, at most the limit.
     */
    scanRows(table: string, options?: ScanOptions): Promise<readonly Row[]>;
    /**
     * Commits a transaction. An `Ambiguous` failure may have committed; read back to find out.
     *
     * @param transaction - The conditions and writes.
     * @returns Whether it committed, and the version of all rows written.
     */
    commitTransaction(transaction: Transaction): Promise<CommitResult>;
}
