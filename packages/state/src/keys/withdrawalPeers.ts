/**
 * What the other nodes can tell about withdrawals.
 *
 * @packageDocumentation
 */
import type { KeyWithdrawal } from "./withdrawal.js";

/** Exchanges withdrawals with other nodes. */
export interface WithdrawalPeers {
    /**
     * Sends withdrawals to all reachable peers at once.
     *
     * @param withdrawals - The withdrawals.
     * @returns How many peers have them in force.
     */
    spreadWithdrawals(withdrawals: readonly KeyWithdrawal[]): Promise<number>;
    /**
     * Reads all withdrawals that reachable peers know.
     *
     * @returns The withdrawals, or undefined when no peer that is itself in touch could be reached.
     */
    readWithdrawals(): Promise<readonly KeyWithdrawal[] | undefined>;
}
