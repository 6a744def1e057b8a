/**
 * The table of withdrawals, with one row per withdrawal, numbered without gaps.
 *
 * @packageDocumentation
 */
import type { RowCondition, RowWrite, TableService } from "@pimentocleat/services";
import { buildWithdrawalHeadUpdate, type VersionedHead } from "../configuration/headTable.js";
import { formatSequenceKey } from "../configuration/revisionLog.js";
import { scanAllRows } from "../configuration/scanAllRows.js";
import { keyWithdrawalSchema, type KeyWithdrawal } from "./withdrawal.js";

const withdrawalTable = "withdrawals";

/** The conditions and writes of a transaction that appends withdrawals. */
export interface WithdrawalAppend {
    readonly conditions: readonly RowCondition[];
    readonly writes: readonly RowWrite[];
}

/**
 * Builds the part of a transaction that appends withdrawals.
 *
 * @param head - The head after which the withdrawals are appended.
 * @param withdrawals - The withdrawals to append; may be empty.
 * @returns The conditions and writes; empty when there is nothing to append.
 */
export function buildWithdrawalAppend(
    head: VersionedHead<number>,
    withdrawals: readonly KeyWithdrawal[],
): WithdrawalAppend {
    if (withdrawals.length === 0) {
        return { conditions: [], writes: [] };
    }
    const headUpdate = buildWithdrawalHeadUpdate(head.version, head.head + withdrawals.length);
    const writes = withdrawals.map((withdrawal, index) => ({
        table: withdrawalTable,
        key: formatSequenceKey(head.head + index + 1),
        value: { ...withdrawal },
    }));
    return { conditions: [headUpdate.condition], writes: [headUpdate.write, ...writes] };
}

/**
 * Reads the withdrawals after a sequence number.
 *
 * @param tableService - The table service.
 * @param sequence - The sequence number; 0 reads all withdrawals.
 * @returns The withdrawals in the order of their sequence numbers.
 * @throws PlatformError when the table service fails.
 */
export async function readWithdrawalsAfter(
    tableService: TableService,
    sequence: number,
): Promise<readonly KeyWithdrawal[]> {
    const rows = await scanAllRows(tableService, withdrawalTable, formatSequenceKey(sequence));
    return rows.map((row) => keyWithdrawalSchema.parse(row.value));
}
