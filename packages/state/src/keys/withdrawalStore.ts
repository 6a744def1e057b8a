/**
 * The stored withdrawals.
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
     * @param tableService - The table service; its calls must end within a bound.
     * @param caller - Retries.
     */
    constructor(
        private readonly tableService: TableService,
        private readonly caller: CallRetrier,
    ) {}

    /**
     * Reads the withdrawals after a number.
     *
     * @param sequence - The number; 0 reads all.
     * @returns The withdrawals in the order of their numbers; throws a `PlatformError` on failure.
     */
    readAfter(sequence: number): Promise<readonly KeyWithdrawal[]> {
        return readWithdrawalsAfter(this.tableService, sequence);
    }

    /**
     * Appends the withdrawals that the table lacks. Repeating is harmless, so a lost reply is resolved by
     * reading again.
     *
     * @param withdrawals - The withdrawals.
     * @param deadlineMs - Monotonic time after which no retry starts.
     * @returns Resolves when the table has all of them; throws a `PlatformError` on failure.
     */
    async appendWithdrawals(withdrawals: readonly KeyWithdrawal[], deadlineMs: number): Promise<void> {
        for (let attempt = 1; attempt <= maximumAppendAttempts; attempt += 1) {
            const isDone = await this.caller.runWithRetries(deadlineMs, () => this.tryAppend(withdrawals));
            if (isDone) {
                return;
            }
            await this.caller.waitForRetry(attempt, Number.POSITIVE_INFINITY);
        }
        throw new Error(`withdrawals were not appended in ${String(maximumAppendAttempts)} attempts`);
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
