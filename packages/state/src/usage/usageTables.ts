/**
 * The rows of usage in the table service.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import type { Row, RowCondition } from "@pimentocleat/services";
import type { UsageByCustomer } from "@pimentocleat/policy";

/** Table with one row for each window and incarnation of a node. */
export const usageTable = "usage";

/** Table with one row for each sealed window; while the row is absent, usage rows may be written. */
export const usageSealTable = "usageSeals";

/** Table with one row for each row of a sealed window whose missing usage moved to later windows: what was moved. */
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

const windowKeyLength = 15;

/**
 * Formats a window for keys, so that keys sort by time.
 *
 * @param windowStartMs - Start of the window, in milliseconds since the Unix epoch.
 * @returns A number of fixed length.
 */
export function formatWindowKey(windowStartMs: number): string {
    return String(windowStartMs).padStart(windowKeyLength, "0");
}

/**
 * Formats the key of a node's row.
 *
 * @param windowStartMs - Start of the window, in milliseconds since the Unix epoch.
 * @param incarnation - The node's incarnation.
 * @returns The key.
 */
export function formatUsageKey(windowStartMs: number, incarnation: string): string {
    return `${formatWindowKey(windowStartMs)}/${incarnation}`;
}

/**
 * Formats the key of the row that usage is moved to; each move has its own.
 *
 * @param targetStartMs - Start of the later window, in milliseconds since the Unix epoch.
 * @param sourceKey - Key of the row that lacks the usage.
 * @param moveVersion - Version of the record of earlier moves.
 * @returns The key.
 */
export function formatMoveKey(targetStartMs: number, sourceKey: string, moveVersion: number): string {
    return `${formatWindowKey(targetStartMs)}/moved/${sourceKey}/${String(moveVersion)}`;
}

/**
 * Reads the window from a row's key.
 *
 * @param key - Key of a usage row or a seal.
 * @returns Start of the window, in milliseconds since the Unix epoch.
 */
export function parseWindowStartMs(key: string): number {
    return Number(key.slice(0, windowKeyLength));
}

/**
 * Reads the usage of a row.
 *
 * @param row - The row; an absent row holds none.
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
