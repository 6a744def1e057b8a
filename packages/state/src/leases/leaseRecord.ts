/**
 * The rows of a lease in the table service.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import type { Row, RowCondition } from "@pimentocleat/services";

/** Table that holds the leases and their fences. */
export const leaseTable = "leases";

/** The row that each renewal rewrites. */
export const leaseRecordSchema = z.object({
    /** Name of the holding node. */
    holder: z.string(),
    /** Unique to each write, to resolve writes whose answer was lost. */
    token: z.string(),
    fencingNumber: z.int().nonnegative(),
    released: z.boolean(),
});

/** The row that each renewal rewrites. */
export type LeaseRecord = z.infer<typeof leaseRecordSchema>;

/** A lease's two rows as read. The fence row changes with each acquisition only. */
export interface StoredLease {
    /** Version of the lease's row; 0 when absent. */
    readonly version: number;
    readonly record: LeaseRecord | undefined;
    /** Version of the fence's row; 0 when absent. */
    readonly fenceVersion: number;
}

/**
 * Formats the key of a lease's row.
 *
 * @param name - The lease.
 * @returns The key.
 */
export function formatLeaseKey(name: string): string {
    return `lease/${name}`;
}

/**
 * Formats the key of a lease's fence row.
 *
 * @param name - The lease.
 * @returns The key.
 */
export function formatFenceKey(name: string): string {
    return `fence/${name}`;
}

/**
 * Builds the condition that nobody has acquired a lease since.
 *
 * @param name - The lease.
 * @param fenceVersion - Version of the fence row at the acquisition.
 * @returns The condition for a transaction.
 */
export function buildFenceCondition(name: string, fenceVersion: number): RowCondition {
    return { table: leaseTable, key: formatFenceKey(name), version: fenceVersion };
}

/**
 * Finds the rows of a lease.
 *
 * @param rows - Rows of the lease table by key.
 * @param name - The lease.
 * @returns The lease as stored.
 */
export function findStoredLease(rows: ReadonlyMap<string, Row>, name: string): StoredLease {
    const row = rows.get(formatLeaseKey(name));
    return {
        version: row?.version ?? 0,
        record: row === undefined ? undefined : leaseRecordSchema.parse(row.value),
        fenceVersion: rows.get(formatFenceKey(name))?.version ?? 0,
    };
}
