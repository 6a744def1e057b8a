/**
 * The rows of a lease in the table service.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import type { Row, RowCondition } from "@pimentocleat/services";

/** Name of the table that holds the leases and their fences. */
export const leaseTable = "leases";

/** Schema of a lease row, which each renewal rewrites. */
export const leaseRecordSchema = z.object({
    /** Name of the holding node. */
    holder: z.string(),
    /** Unique to each write, so that a write whose response was lost can be recognized. */
    token: z.string(),
    fencingNumber: z.int().nonnegative(),
    released: z.boolean(),
});

/** Fencing numbers of one era: those of a later era are larger than any that an earlier one has forgotten. */
const fencingNumbersPerEra = 1_000_000;

/** Schema of a fence row, which each acquisition rewrites. */
const fenceRecordSchema = leaseRecordSchema.pick({ fencingNumber: true });

/** The content of a lease row. */
export type LeaseRecord = z.infer<typeof leaseRecordSchema>;

/** The two rows of a lease as read. The fence row changes only when the lease is acquired. */
export interface StoredLease {
    /** Version of the lease row; 0 when absent. */
    readonly version: number;
    readonly record: LeaseRecord | undefined;
    /** Version of the fence row; 0 when absent. */
    readonly fenceVersion: number;
    /** Highest fencing number in the two rows; 0 when absent. */
    readonly lastFencingNumber: number;
}

/**
 * Formats the key of a lease row.
 *
 * @param name - Name of the lease.
 * @returns The key.
 */
export function formatLeaseKey(name: string): string {
    return `lease/${name}`;
}

/**
 * Formats the key of a fence row.
 *
 * @param name - Name of the lease.
 * @returns The key.
 */
export function formatFenceKey(name: string): string {
    return `fence/${name}`;
}

/**
 * Builds the condition that no node has acquired a lease since a given acquisition.
 *
 * @param name - Name of the lease.
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
 * @param name - Name of the lease.
 * @returns The lease as stored.
 */
export function findStoredLease(rows: ReadonlyMap<string, Row>, name: string): StoredLease {
    const row = rows.get(formatLeaseKey(name));
    const fence = rows.get(formatFenceKey(name));
    const record = row === undefined ? undefined : leaseRecordSchema.parse(row.value);
    const fenceNumber = fence === undefined ? 0 : fenceRecordSchema.parse(fence.value).fencingNumber;
    return {
        version: row?.version ?? 0,
        record,
        fenceVersion: fence?.version ?? 0,
        lastFencingNumber: Math.max(record?.fencingNumber ?? 0, fenceNumber),
    };
}

/**
 * Computes the fencing number of the next acquisition.
 *
 * @param stored - The lease as stored.
 * @param era - Era of the table service; 0 without eras.
 * @returns A number above all that were given out.
 */
export function computeNextFencingNumber({ lastFencingNumber }: StoredLease, era: number): number {
    return Math.max(lastFencingNumber, era * fencingNumbersPerEra) + 1;
}
