/**
 * Stores withdrawals in the table service.
 *
 * @packageDocumentation
 */
import type { TableService } from "@pimentocleat/services";
import { readHeads } from "../configuration/headTable.js";
import type { CallRetrier } from "../configuration/callRetrier.js";
import { formatWithdrawalIdentity, type KeyWithdrawal } from "./withdrawal.js";
import { buildWithdrawalAppend, readWithdrawalsAfter } from "./withdrawalTable.js";

const maximumAppendAttempts = 20;

/** Appends to and reads the table of withdrawals. */
export class WithdrawalStore {
    /**
     * @param tableService - The table service; each of its calls must have a timeout.
     * @param retrier - Retries failed calls.
     */
    constructor(
        private readonly tableService: TableService,
        private readonly retrier: CallRetrier,
    ) {}

    /**
     * Reads the withdrawals after a sequence number.
     *
     * @param sequence - The sequence number; 0 reads all withdrawals.
     * @returns The withdrawals in the order of their sequence numbers.
     * @throws PlatformError when the table service fails.
     */
    readAfter(sequence: number): Promise<readonly KeyWithdrawal[]> {
        return readWithdrawalsAfter(this.tableService, sequence);
    }

    /**
     * Appends the withdrawals that the table does not have yet. The operation is idempotent, so a lost response is
     * resolved by reading the table again.
     *
     * @param withdrawals - The withdrawals.
     * @param deadlineMs - Monotonic time in milliseconds after which no retry starts.
     * @returns A promise that resolves when the table has all of them.
     * @throws PlatformError when the table service fails; Error when the attempts are used up by conflicts.
     */
    async appendWithdrawals(withdrawals: readonly KeyWithdrawal[], deadlineMs: number): Promise<void> {
        for (let attempt = 1; attempt <= maximumAppendAttempts; attempt += 1) {
            const isDone = await this.retrier.runWithRetries(deadlineMs, () => this.tryAppend(withdrawals));
            if (isDone) {
                return;
            }
            await this.retrier.waitForRetry(attempt, Number.POSITIVE_INFINITY);
        }
        throw new Error(
            `could not append withdrawals in ${String(maximumAppendAttempts)} attempts because of conflicting writes`,
        );
    }

    private async tryAppend(withdrawals: readonly KeyWithdrawal[]): Promise<boolean> {
        const { withdrawals: head } = await readHeads(this.tableService);
        const stored = new Set(
            (await readWithdrawalsAfter(this.tableService, 0)).map(formatWithdrawalIdentity),
        );
        const missing = withdrawals.filter((withdrawal) => !stored.has(formatWithdrawalIdentity(withdrawal)));
        const append = buildWithdrawalAppend(head, missing);
        if (append.writes.length === 0) {
            return true;
        }
        const result = await this.tableService.commitTransaction(append);
        return result.outcome === "committed";
    }
}
