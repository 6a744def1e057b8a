/**
 * The table with the configuration's files, one row each.
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

/** The stored files by name, with the revision and the author that changed them last. */
export type FileRows = ReadonlyMap<string, FileRow>;

/** One stored file. */
export type FileRow = z.infer<typeof fileRowSchema>;

/**
 * Reads all files; they may change meanwhile.
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
 * @returns The file, or undefined when absent; throws a `PlatformError` on failure.
 */
export async function readFileRow(tableService: TableService, name: string): Promise<FileRow | undefined> {
    const row = await tableService.readRow(fileTable, name);
    return row && fileRowSchema.parse(row.value);
}

/**
 * Lists files without what is stored beside them.
 *
 * @param rows - The stored files.
 * @returns Names and contents.
 */
export function listFiles(rows: FileRows): readonly ConfigurationFile[] {
    return [...rows].map(([name, row]) => ({ name, content: row.content }));
}

/**
 * Builds the write of a change.
 *
 * @param change - The change.
 * @param revision - The revision that it becomes part of.
 * @param author - Who changes.
 * @returns The write; a change without content deletes the row.
 */
export function buildFileWrite(change: FileChange, revision: number, author: string): RowWrite {
    const rowReference = { table: fileTable, key: change.name };
    return change.content === undefined
        ? rowReference
        : { ...rowReference, value: { content: change.content, revision, author } };
}
