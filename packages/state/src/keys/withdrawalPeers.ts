/**
 * Exchange of withdrawals with other nodes.
 *
 * @packageDocumentation
 */
import type { KeyWithdrawal } from "./withdrawal.js";

/** Exchanges withdrawals with other nodes. */
export interface WithdrawalPeers {
    /**
     * Sends withdrawals to all reachable peers concurrently.
     *
     * @param withdrawals - The withdrawals.
     * @returns The number of peers that have put them in force.
     */
    spreadWithdrawals(withdrawals: readonly KeyWithdrawal[]): Promise<number>;
    /**
     * Reads all withdrawals known to reachable peers.
     *
     * @returns The withdrawals, or undefined when no reachable peer has itself loaded all withdrawals.
     */
    readWithdrawals(): Promise<readonly KeyWithdrawal[] | undefined>;
}
