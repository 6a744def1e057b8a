/**
 * The tables, keys and rows that hold usage in the table service.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import type { Row, RowCondition } from "@pimentocleat/services";
import type { UsageByCustomer } from "@pimentocleat/policy";

/** Table with one row for each window and incarnation of a node, and one for each move of usage to a window. */
export const usageTable = "usage";

/** Table with one row for each sealed window; usage rows may be written only while that row does not exist. */
export const usageSealTable = "usageSeals";

/** Table with the usage that was moved to later windows, one row for each sealed row from which it was missing. */
export const usageMoveTable = "usageMoves";

const usageRowSchema = z.object({
    customers: z.record(
        z.string(),
        z.object({
            requests: z.number().nonnegative(),
            promptTokens: z.number().nonnegative(),
            completionTokens: z.number().nonnegative(),
        }),
    ),
});

/** Number of digits of a window in a key. */
const windowKeyLength = 15;

/**
 * Formats the start of a window as a key or key prefix, padded with zeros so that keys sort by time.
 *
 * @param windowStartMs - Start of the window, in milliseconds since the Unix epoch.
 * @returns The key, 15 digits long.
 */
export function formatWindowKey(windowStartMs: number): string {
    return String(windowStartMs).padStart(windowKeyLength, "0");
}

/**
 * Formats the key of a node's usage row.
 *
 * @param windowStartMs - Start of the window, in milliseconds since the Unix epoch.
 * @param incarnation - The node's incarnation.
 * @returns The key.
 */
export function formatUsageKey(windowStartMs: number, incarnation: string): string {
    return `${formatWindowKey(windowStartMs)}/${incarnation}`;
}

/**
 * Formats the key of the usage row that a move writes; each move has its own row.
 *
 * @param targetStartMs - Start of the later window, in milliseconds since the Unix epoch.
 * @param sourceKey - Key of the usage row from which the usage is missing.
 * @param moveVersion - Version of the row in {@link usageMoveTable} before the move.
 * @returns The key.
 */
export function formatMoveKey(targetStartMs: number, sourceKey: string, moveVersion: number): string {
    return `${formatWindowKey(targetStartMs)}/moved/${sourceKey}/${String(moveVersion)}`;
}

/**
 * Parses the start of the window from a row's key.
 *
 * @param key - Key of a row in one of the usage tables.
 * @returns Start of the window, in milliseconds since the Unix epoch.
 */
export function parseWindowStartMs(key: string): number {
    return Number(key.slice(0, windowKeyLength));
}

/**
 * Parses the usage in a row.
 *
 * @param row - The row; undefined is treated as a row without usage.
 * @returns The usage by customer.
 */
export function parseUsage(row: Row | undefined): UsageByCustomer {
    return row === undefined ? {} : usageRowSchema.parse(row.value).customers;
}

/**
 * Builds the condition that a window is not sealed.
 *
 * @param windowStartMs - Start of the window, in milliseconds since the Unix epoch.
 * @returns The condition for a transaction.
 */
export function buildUnsealedCondition(windowStartMs: number): RowCondition {
    return { table: usageSealTable, key: formatWindowKey(windowStartMs), version: 0 };
}
