/**
 * The table that stores the configuration's files, one row per file.
 *
 * @packageDocumentation
 */
import type { RowWrite, TableService } from "@pimentocleat/services";
import type { ConfigurationFile } from "@pimentocleat/schema";
import { z } from "zod";
import type { FileChange } from "./configurationStore.js";
import { scanAllRows } from "./scanAllRows.js";

const fileTable = "configurationFiles";

const fileRowSchema = z.object({ content: z.string(), revision: z.int(), author: z.string() });

/** The stored files by name. */
export type FileRows = ReadonlyMap<string, FileRow>;

/** One stored file, with the revision that last changed it and its author. */
export type FileRow = z.infer<typeof fileRowSchema>;

/**
 * Reads all files, page by page. Files that change during the read may be returned in either state.
 *
 * @param tableService - The table service.
 * @returns The files; throws a `PlatformError` on failure.
 */
export async function readFileRows(tableService: TableService): Promise<FileRows> {
    const rows = await scanAllRows(tableService, fileTable);
    return new Map(rows.map((row) => [row.key, fileRowSchema.parse(row.value)]));
}

/**
 * Reads one file.
 *
 * @param tableService - The table service.
 * @param name - Name of the file.
 * @returns The file, or undefined if it does not exist; throws a `PlatformError` on failure.
 */
export async function readFileRow(tableService: TableService, name: string): Promise<FileRow | undefined> {
    const row = await tableService.readRow(fileTable, name);
    return row && fileRowSchema.parse(row.value);
}

/**
 * Lists the names and contents of stored files, without revision and author.
 *
 * @param rows - The stored files.
 * @returns The names and contents.
 */
export function listFiles(rows: FileRows): readonly ConfigurationFile[] {
    return [...rows].map(([name, row]) => ({ name, content: row.content }));
}

/**
 * Builds the row write for a file change. A change without content deletes the row.
 *
 * @param change - The file change.
 * @param revision - The revision that contains the change.
 * @param author - Name of the operator.
 * @returns The write.
 */
export function buildFileWrite(change: FileChange, revision: number, author: string): RowWrite {
    const rowReference = { table: fileTable, key: change.name };
    return change.content === undefined
        ? rowReference
        : { ...rowReference, value: { content: change.content, revision, author } };
}
