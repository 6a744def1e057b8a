/**
 * Removal of claims that are older than their retention.
 *
 * @packageDocumentation
 */
import type { Row, TableService } from "@pimentocleat/services";
import type { Clock } from "@pimentocleat/types";
import { claimRecordSchema, claimTable } from "./claimRecord.js";

/** Options of {@link removeExpiredClaims}. */
export interface ClaimExpiryOptions {
    readonly tableService: TableService;
    readonly clock: Clock;
    /**
     * How long a key keeps its claim, in milliseconds of wall time. A key runs at most once within it, less
     * the difference between the wall clocks of the claiming and the cleaning host.
     */
    readonly retentionMs: number;
    /** Rows read, and at most removed, in one step. */
    readonly pageRows: number;
    /** Key after which to go on; undefined to start. */
    readonly after: string | undefined;
}

/** Retention that holds unless overridden: 24 hours, in milliseconds. */
export const defaultClaimRetentionMs = 86_400_000;

/** The result of one step. */
export interface ClaimExpiryResult {
    readonly removed: number;
    /** Where to go on; undefined when the table's end was reached. */
    readonly after: string | undefined;
}

/**
 * Removes the expired claims of one page, in one transaction. A row that changed since it was read stays.
 *
 * @param options - The table service, the retention and the page.
 * @returns How many rows were removed and where to go on; throws a `PlatformError` on failure, after which
 * the same step may be repeated.
 */
export async function removeExpiredClaims(options: ClaimExpiryOptions): Promise<ClaimExpiryResult> {
    const { tableService, pageRows, after } = options;
    const rows = await tableService.scanRows(claimTable, { after, limit: pageRows });
    const expired = rows.filter((row) => isExpired(row, options));
    const next = rows.length < pageRows ? undefined : rows.at(-1)?.key;
    if (expired.length === 0) {
        return { removed: 0, after: next };
    }
    const result = await tableService.commitTransaction({
        conditions: expired.map(({ key, version }) => ({ table: claimTable, key, version })),
        writes: expired.map(({ key }) => ({ table: claimTable, key })),
    });
    return { removed: result.outcome === "committed" ? expired.length : 0, after: next };
}

function isExpired(row: Row, options: ClaimExpiryOptions): boolean {
    const { claimedMs } = claimRecordSchema.parse(row.value);
    return claimedMs + options.retentionMs < options.clock.wallMs();
}
