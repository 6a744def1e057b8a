/**
 * The log of revisions: the author, the changed files and the token that resolves an ambiguous commit.
 *
 * @packageDocumentation
 */
import type { RowWrite, TableService } from "@pimentocleat/services";
import { z } from "zod";

const revisionTable = "configurationRevisions";
const keyDigits = 15;

/** Number of newest revisions whose entries are kept; older entries are deleted. */
export const maximumLoggedRevisions = 1_000;

const revisionEntrySchema = z.object({
    token: z.string(),
    author: z.string(),
    files: z.array(z.string()),
    appliedAtMs: z.number(),
});

/** The log entry of one revision. */
export type RevisionEntry = z.infer<typeof revisionEntrySchema>;

/**
 * Formats a number as a key, padded with zeros so that the keys sort in numeric order.
 *
 * @param value - The number.
 * @returns The key.
 */
export function formatSequenceKey(value: number): string {
    return String(value).padStart(keyDigits, "0");
}

/**
 * Builds the writes that add the entry of a revision and delete the entry that is no longer kept.
 *
 * @param revision - The new revision.
 * @param entry - The entry of the new revision.
 * @returns The writes, for the transaction that commits the revision.
 */
export function buildLogWrites(revision: number, entry: RevisionEntry): readonly RowWrite[] {
    const write: RowWrite = { table: revisionTable, key: formatSequenceKey(revision), value: { ...entry } };
    const expiredRevision = revision - maximumLoggedRevisions;
    return expiredRevision > 0
        ? [write, { table: revisionTable, key: formatSequenceKey(expiredRevision) }]
        : [write];
}

/**
 * Reads the entry of a revision.
 *
 * @param tableService - The table service.
 * @param revision - The revision.
 * @returns The entry, or undefined if it does not exist; throws a `PlatformError` on failure.
 */
export async function readLogEntry(
    tableService: TableService,
    revision: number,
): Promise<RevisionEntry | undefined> {
    const row = await tableService.readRow(revisionTable, formatSequenceKey(revision));
    return row && revisionEntrySchema.parse(row.value);
}

/**
 * Reads the entries after a revision.
 *
 * @param tableService - The table service.
 * @param revision - The revision.
 * @param limit - Maximum number of entries.
 * @returns The entries in the order of their revisions; empty if the entry right after the revision does
 * not exist, for instance because it was deleted. Throws a `PlatformError` on failure.
 */
export async function readLogEntries(
    tableService: TableService,
    revision: number,
    limit: number,
): Promise<readonly RevisionEntry[]> {
    const after = formatSequenceKey(revision);
    const rows = await tableService.scanRows(revisionTable, { after, limit });
    const isComplete = rows[0]?.key === formatSequenceKey(revision + 1);
    return isComplete ? rows.map((row) => revisionEntrySchema.parse(row.value)) : [];
}
