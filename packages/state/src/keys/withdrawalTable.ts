/**
 * The table of withdrawals: one row each, numbered without gaps.
 *
 * @packageDocumentation
 */
import type { RowCondition, RowWrite, TableService } from "@pimentocleat/services";
import { buildWithdrawalHeadUpdate, type VersionedHead } from "../configuration/headTable.js";
import { formatSequenceKey } from "../configuration/revisionLog.js";
import { scanAllRows } from "../configuration/scanAllRows.js";
import { keyWithdrawalSchema, type KeyWithdrawal } from "./withdrawal.js";

const withdrawalTable = "withdrawals";

/** Conditions and writes that append withdrawals. */
export interface WithdrawalAppend {
    readonly conditions: readonly RowCondition[];
    readonly writes: readonly RowWrite[];
}

/**
 * Builds the part of a transaction that appends withdrawals.
 *
 * @param head - The head that the transaction builds on.
 * @param withdrawals - What to append; may be empty.
 * @returns Conditions and writes; none when there is nothing to append.
 */
export function buildWithdrawalAppend(
    head: VersionedHead<number>,
    withdrawals: readonly KeyWithdrawal[],
): WithdrawalAppend {
    if (withdrawals.length === 0) {
        return { conditions: [], writes: [] };
    }
    const move = buildWithdrawalHeadUpdate(head.version, head.head + withdrawals.length);
    const writes = withdrawals.map((withdrawal, index) => ({
        table: withdrawalTable,
        key: formatSequenceKey(head.head + index + 1),
        value: { ...withdrawal },
    }));
    return { conditions: [move.condition], writes: [move.write, ...writes] };
}

/**
 * Reads the withdrawals after a number.
 *
 * @param tableService - The table service.
 * @param sequence - The number; 0 reads all.
 * @returns The withdrawals in the order of their numbers; throws a `PlatformError` on failure.
 */
export async function readWithdrawalsAfter(
    tableService: TableService,
    sequence: number,
): Promise<readonly KeyWithdrawal[]> {
    const rows = await scanAllRows(tableService, withdrawalTable, formatSequenceKey(sequence));
    return rows.map((row) => keyWithdrawalSchema.parse(row.value));
}
