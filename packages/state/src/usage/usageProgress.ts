/**
 * The rows that tell how far usage windows were reported. Each era of the table service has a row of its own, so that a
 * write of an earlier era's holder cannot change it, although versions are given out again.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import type { Row, RowWrite } from "@pimentocleat/services";
import type { WindowClock } from "@pimentocleat/policy";

/** Table of the progress. */
export const progressTable = "usageProgress";

/** Key of the progress without eras; with eras, its row is for nodes of earlier releases. */
const progressKey = "next";

const windowClockSchema = z.object({
    offsetMs: z.number(),
    nextOffsetMs: z.number().optional(),
    nextSinceMs: z.number().optional(),
});

const progressSchema = z.object({
    /** Start of the first window that may not be reported yet, in milliseconds since the Unix epoch. */
    nextStartMs: z.number(),
    /** Start of the window with which the very first reporter began, in milliseconds since the Unix epoch. */
    firstStartMs: z.number().default(0),
    /** Start times of the windows before that one which were reported, in milliseconds since the Unix epoch. */
    earlierWindows: z.array(z.number()).default([]),
    /** The clock by which windows are sealed; absent for stores without a clock, and in rows of earlier releases. */
    clock: windowClockSchema.optional(),
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
    /** The clock in the row of {@link StoredProgress.nextStartMs}; undefined when it names none. */
    readonly latestClock: WindowClock | undefined;
    /** The clocks in all rows. */
    readonly clocks: readonly WindowClock[];
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
    const values = rows.map(({ value }) => progressSchema.parse(value));
    const nextStartMs = Math.max(...values.map((value) => value.nextStartMs));
    const row = rows.find((candidate) => candidate.key === key);
    return {
        current: row && { ...progressSchema.parse(row.value), version: row.version, nextStartMs },
        nextStartMs,
        latestClock: values.find((value) => value.nextStartMs === nextStartMs)?.clock,
        clocks: values.flatMap(({ clock }) => clock ?? []),
        outdatedKeys: rows.map((other) => other.key).filter((other) => ![key, progressKey].includes(other)),
    };
}

/**
 * Builds the progress with which an era begins. Windows before its first one are never reported.
 *
 * @param nextStartMs - Start of the first window to report, in milliseconds since the Unix epoch.
 * @param clock - The clock by which windows are sealed; undefined for stores without a clock.
 * @returns The progress.
 */
export function buildEraProgress(nextStartMs: number, clock: WindowClock | undefined): ProgressValue {
    return { nextStartMs, firstStartMs: 0, earlierWindows: [], clock };
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
    const { clock, ...others } = value;
    const row = { ...others, ...(clock === undefined ? {} : { clock: buildClockValue(clock) }) };
    return [...keys].map((key) => ({ table: progressTable, key, value: row }));
}

function buildClockValue(clock: WindowClock): Record<string, number> {
    return Object.fromEntries(Object.entries(clock).filter(([, value]) => value !== undefined));
}
