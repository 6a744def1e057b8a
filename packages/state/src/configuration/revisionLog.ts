/**
 * The log of revisions: who changed what, and the token that resolves an ambiguous commit.
 *
 * @packageDocumentation
 */
import type { RowWrite, TableService } from "@pimentocleat/services";
import { z } from "zod";

const revisionTable = "configurationRevisions";
const keyDigits = 15;

/** Revisions after which an entry is deleted. */
export const maximumLoggedRevisions = 1_000;

const revisionEntrySchema = z.object({
    token: z.string(),
    author: z.string(),
    files: z.array(z.string()),
    appliedAtMs: z.number(),
});

/** One entry of the log. */
export type RevisionEntry = z.infer<typeof revisionEntrySchema>;

/**
 * Formats a number as a key whose text order is the order of the numbers.
 *
 * @param value - The number.
 * @returns The key.
 */
export function formatSequenceKey(value: number): string {
    return String(value).padStart(keyDigits, "0");
}

/**
 * Builds the writes that log a revision and delete the entry that has become too old.
 *
 * @param revision - The revision.
 * @param entry - The entry.
 * @returns The writes, for the transaction that makes the revision.
 */
export function buildLogWrites(revision: number, entry: RevisionEntry): readonly RowWrite[] {
    const write: RowWrite = { table: revisionTable, key: formatSequenceKey(revision), value: { ...entry } };
    const oldest = revision - maximumLoggedRevisions;
    return oldest > 0 ? [write, { table: revisionTable, key: formatSequenceKey(oldest) }] : [write];
}

/**
 * Reads the entry of a revision.
 *
 * @param tableService - The table service.
 * @param revision - The revision.
 * @returns The entry, or undefined when absent; throws a `PlatformError` on failure.
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
 * @param limit - Most entries.
 * @returns The entries in the order of their revisions; throws a `PlatformError` on failure.
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
