/**
 * The feed of changes of a table in the platform's store.
 *
 * @packageDocumentation
 */
import type { Row } from "./tableService.js";

/** A changed row, or the key of a deleted one. */
export type RowChange =
    | { readonly type: "put"; readonly row: Row }
    | { readonly type: "delete"; readonly key: string; readonly version: number };

/** Reads a table and its changes. Every method throws a `PlatformError` on failure. */
export interface RowFeed {
    /**
     * Reads the complete table.
     *
     * @param table - The table.
     * @param signal - Aborts the call.
     * @returns The rows, and the position from which to read changes.
     */
    readAll(
        table: string,
        signal?: AbortSignal,
    ): Promise<{ readonly rows: readonly Row[]; readonly position: number }>;
    /**
     * Waits for changes.
     *
     * @param table - The table.
     * @param position - The position returned by the previous call.
     * @param longPollMs - Maximum time to wait for a change, in milliseconds.
     * @param signal - Aborts the call.
     * @returns The changes in order, possibly none, and the next position.
     */
    readChanges(
        table: string,
        position: number,
        longPollMs: number,
        signal?: AbortSignal,
    ): Promise<{ readonly changes: readonly RowChange[]; readonly position: number }>;
}
