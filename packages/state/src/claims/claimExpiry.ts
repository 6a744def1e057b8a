/**
 * Removes claims that are older than their retention period.
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
     * How long a claim is kept, in milliseconds of wall time. A request runs at most once per key within this
     * period, less the difference between the wall clocks of the claiming and the removing host.
     */
    readonly retentionMs: number;
    /** Number of rows read, and therefore the maximum number removed, in one step. */
    readonly pageRows: number;
    /** Last key of the previous page; undefined to start at the beginning of the table. */
    readonly after: string | undefined;
}

/** Default retention: 24 hours, in milliseconds. */
export const defaultClaimRetentionMs = 86_400_000;

/** The result of one call of {@link removeExpiredClaims}. */
export interface ClaimExpiryResult {
    readonly removed: number;
    /** Last key of this page, for the next call; undefined at the end of the table. */
    readonly after: string | undefined;
}

/**
 * Removes the expired claims of one page in one transaction. If any of their rows changed after it was read, the
 * transaction conflicts and removes none.
 *
 * @param options - The table service, the retention and the page.
 * @returns The number of removed rows, and the key after which the next page starts.
 * @throws PlatformError when the table service fails; the same call can then be repeated.
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
