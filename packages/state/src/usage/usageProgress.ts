/**
 * The rows that tell how far usage windows were reported. Each era of the table service has a row of its own, so that a
 * write of an earlier era's holder cannot change it, although versions are given out again.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import type { Row, RowWrite } from "@pimentocleat/services";

/** Table of the progress. */
export const progressTable = "usageProgress";

/** Key of the progress without eras; with eras, its row is for nodes of earlier releases. */
const progressKey = "next";

const progressSchema = z.object({
    /** Start of the first window that may not be reported yet, in milliseconds since the Unix epoch. */
    nextStartMs: z.number(),
    /** Start of the window with which the very first reporter began, in milliseconds since the Unix epoch. */
    firstStartMs: z.number().default(0),
    /** Start times of the windows before that one which were reported, in milliseconds since the Unix epoch. */
    earlierWindows: z.array(z.number()).default([]),
});

/** The content of a progress row. */
export type ProgressValue = z.infer<typeof progressSchema>;

/** The progress in an era, and the version of its row. */
export interface Progress extends ProgressValue {
    readonly version: number;
}

/** What the table says of the progress. */
export interface StoredProgress {
    /** The progress in the current era; undefined before its first reporter. */
    readonly current: Progress | undefined;
    /** Highest {@link ProgressValue.nextStartMs} of all rows; negative infinity without rows. */
    readonly nextStartMs: number;
    /** Keys of the rows of earlier eras. */
    readonly outdatedKeys: readonly string[];
}

/**
 * Formats the key of an era's progress.
 *
 * @param era - The era; 0 without eras.
 * @returns The key.
 */
export function formatProgressKey(era: number): string {
    return era === 0 ? progressKey : `${progressKey}/${era}`;
}

/**
 * Parses the rows of the progress.
 *
 * @param rows - All rows of the table.
 * @param era - The current era; 0 without eras.
 * @returns What they say.
 */
export function parseProgress(rows: readonly Row[], era: number): StoredProgress {
    const key = formatProgressKey(era);
    const nextStartMs = Math.max(...rows.map(({ value }) => progressSchema.parse(value).nextStartMs));
    const row = rows.find((candidate) => candidate.key === key);
    return {
        current: row && { ...progressSchema.parse(row.value), version: row.version, nextStartMs },
        nextStartMs,
        outdatedKeys: rows.map((other) => other.key).filter((other) => ![key, progressKey].includes(other)),
    };
}

/**
 * Builds the progress with which an era begins. Windows before its first one are never reported.
 *
 * @param nextStartMs - Start of the first window to report, in milliseconds since the Unix epoch.
 * @returns The progress.
 */
export function buildEraProgress(nextStartMs: number): ProgressValue {
    return { nextStartMs, firstStartMs: 0, earlierWindows: [] };
}

/**
 * Builds the writes of a progress.
 *
 * @param era - The era; 0 without eras.
 * @param value - The progress.
 * @returns The writes.
 */
export function buildProgressWrites(era: number, value: ProgressValue): readonly RowWrite[] {
    const keys = new Set([formatProgressKey(era), progressKey]);
    return [...keys].map((key) => ({ table: progressTable, key, value }));
}
