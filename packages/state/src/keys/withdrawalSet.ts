/**
 * The withdrawals known to a node.
 *
 * @packageDocumentation
 */
import { formatWithdrawalIdentity, type KeyWithdrawal } from "./withdrawal.js";

/** A grow-only set of withdrawals: none is ever removed. */
export class WithdrawalSet {
    private readonly withdrawals = new Map<string, KeyWithdrawal>();
    private readonly recorded = new Set<string>();
    private readonly keyIds = new Set<string>();
    private readonly digests = new Set<string>();

    /**
     * Adds a withdrawal.
     *
     * @param withdrawal - The withdrawal.
     * @param isRecorded - Whether the store is known to have it.
     * @returns Whether the set did not have it before.
     */
    addWithdrawal(withdrawal: KeyWithdrawal, isRecorded: boolean): boolean {
        const identity = formatWithdrawalIdentity(withdrawal);
        if (isRecorded) {
            this.recorded.add(identity);
        }
        if (this.withdrawals.has(identity)) {
            return false;
        }
        this.withdrawals.set(identity, withdrawal);
        this.keyIds.add(withdrawal.keyId);
        this.digests.add(withdrawal.digest);
        return true;
    }

    /**
     * Checks whether a key identifier has been withdrawn.
     *
     * @param keyId - The identifier.
     * @returns Whether it has been withdrawn.
     */
    hasKeyId(keyId: string): boolean {
        return this.keyIds.has(keyId);
    }

    /**
     * Checks whether the secret with a digest has been withdrawn.
     *
     * @param digest - The digest.
     * @returns Whether it has been withdrawn.
     */
    hasDigest(digest: string): boolean {
        return this.digests.has(digest);
    }

    /** @returns All withdrawals. */
    listWithdrawals(): readonly KeyWithdrawal[] {
        return [...this.withdrawals.values()];
    }

    /** @returns The withdrawals that the store is not known to have. */
    listUnrecorded(): readonly KeyWithdrawal[] {
        return [...this.withdrawals]
            .filter(([identity]) => !this.recorded.has(identity))
            .map(([, withdrawal]) => withdrawal);
    }
}
