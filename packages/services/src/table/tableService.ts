/**
 * The platform's transactional table service.
 *
 * @packageDocumentation
 */

/** A JSON value that contains no null. */
export type JsonValue = string | number | boolean | JsonValue[] | { [key: string]: JsonValue };

/** One row. */
export interface Row {
    readonly key: string;
    readonly value: JsonValue;
    /** Increases with each write of the row and is never reused, not even after the row is deleted. */
    readonly version: number;
}

/** A condition of a transaction: the row must have this version, or be absent if the version is 0. */
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

/** Maximum total of conditions and writes in a transaction that the table services of all deployments accept. */
export const maximumTransactionEntries = 100;

/** Conditions and writes that take effect atomically; at most {@link maximumTransactionEntries} in total. */
export interface Transaction {
    readonly conditions: readonly RowCondition[];
    readonly writes: readonly RowWrite[];
}

/** Result of a transaction. */
export type CommitResult =
    | { readonly outcome: "committed"; readonly version: number }
    | { readonly outcome: "conflict"; readonly failed: readonly RowCondition[] };

/** Selects the rows of a scan. */
export interface ScanOptions {
    readonly prefix?: string;
    /** Only rows whose keys come after this one. */
    readonly after?: string;
    /** Maximum number of rows in one response; defaults to 1,000. */
    readonly limit?: number;
}

/** Client of the table service. Every method throws a `PlatformError` on failure. */
export interface TableService {
    /**
     * Reads one row with linearizable consistency.
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
     * @param options - Which rows to read.
     * @returns The rows, at most `limit` of them.
     */
    scanRows(table: string, options?: ScanOptions): Promise<readonly Row[]>;
    /**
     * Commits a transaction. A call that fails as `Ambiguous` may have committed; read the rows to find out.
     *
     * @param transaction - The conditions and writes.
     * @returns Whether the transaction committed, and the version that all written rows received.
     */
    commitTransaction(transaction: Transaction): Promise<CommitResult>;
}
