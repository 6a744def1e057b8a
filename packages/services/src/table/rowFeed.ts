/**
 * The changes of a table, as the platform's store tells them.
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
     * Reads the whole table.
     *
     * @param table - The table.
     * @param signal - Ends the call.
     * @returns Its rows, and the position from which changes follow.
     */
    readAll(
        table: string,
        signal?: AbortSignal,
    ): Promise<{ readonly rows: readonly Row[]; readonly position: number }>;
    /**
     * Waits for changes.
     *
     * @param table - The table.
     * @param position - The position of the last answer.
     * @param waitMs - How long to wait for a change, in milliseconds.
     * @param signal - Ends the call.
     * @returns The changes in order, possibly none, and the next position.
     */
    readChanges(
        table: string,
        position: number,
        waitMs: number,
        signal?: AbortSignal,
    ): Promise<{ readonly changes: readonly RowChange[]; readonly position: number }>;
}
