/**
 * Reading of only the files that changed since a known revision.
 *
 * @packageDocumentation
 */
import type { TableService } from "@pimentocleat/services";
import { buildSnapshot, type ConfigurationSnapshot } from "./configurationSnapshot.js";
import { readFileRow } from "./fileTable.js";
import type { ConfigurationHead } from "./headTable.js";
import { readLogEntries } from "./revisionLog.js";

/** With more revisions or changed files than this, reading all files costs less. */
const maximumMissingRevisions = 50;
const maximumChangedFiles = 16;

/**
 * Counts the characters of all files.
 *
 * @param snapshot - The files.
 * @returns The sum over the contents.
 */
export function countCharacters(snapshot: ConfigurationSnapshot): number {
    return snapshot.files.reduce((sum, file) => sum + file.content.length, 0);
}

/**
 * Reads the files that changed and merges them into a known snapshot.
 *
 * @param tableService - The table service.
 * @param known - The snapshot to start from.
 * @param head - The head to reach.
 * @returns The snapshot of the head; undefined when all files have to be read, for instance because the log
 * does not reach back or the files changed again meanwhile. Throws a `PlatformError` on failure.
 */
export async function readChangedFiles(
    tableService: TableService,
    known: ConfigurationSnapshot,
    head: ConfigurationHead,
): Promise<ConfigurationSnapshot | undefined> {
    const missing = head.revision - known.revision;
    if (missing < 1 || missing > maximumMissingRevisions) {
        return undefined;
    }
    const entries = await readLogEntries(tableService, known.revision, missing);
    const names = new Set(entries.flatMap((entry) => entry.files));
    if (entries.length !== missing || names.size > maximumChangedFiles) {
        return undefined;
    }
    const files = new Map(known.files.map((file) => [file.name, file.content]));
    const changed = await Promise.all(
        [...names].map(async (name) => ({ name, row: await readFileRow(tableService, name) })),
    );
    for (const { name, row } of changed) {
        if (row === undefined) {
            files.delete(name);
        } else {
            files.set(name, row.content);
        }
    }
    const snapshot = buildSnapshot(
        head.revision,
        [...files].map(([name, content]) => ({ name, content })),
    );
    return snapshot.digest === head.digest ? snapshot : undefined;
}
