/**
 * Withdrawals (revocations) of keys. Withdrawals are only added, never removed.
 *
 * @packageDocumentation
 */
import { z } from "zod";

/** Schema of a withdrawal, as stored and as sent between nodes. */
export const keyWithdrawalSchema = z.object({
    keyId: z.string().min(1),
    /** Digest of the key's secret, so that the secret stays withdrawn under any other identifier. */
    digest: z.string(),
    withdrawnAtMs: z.number(),
    author: z.string(),
});

/** The withdrawal of one key. */
export type KeyWithdrawal = z.infer<typeof keyWithdrawalSchema>;

/**
 * Formats the identity of a withdrawal.
 *
 * @param withdrawal - The withdrawal.
 * @returns The identity; withdrawals with the same identity are equivalent.
 */
export function formatWithdrawalIdentity(withdrawal: Pick<KeyWithdrawal, "keyId" | "digest">): string {
    return `${withdrawal.keyId} ${withdrawal.digest}`;
}
