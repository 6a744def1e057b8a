/**
 * Withdrawals of keys. The set of withdrawals only grows.
 *
 * @packageDocumentation
 */
import { z } from "zod";

/** Schema of a withdrawal as it is stored and sent between nodes. */
export const keyWithdrawalSchema = z.object({
    keyId: z.string().min(1),
    /** Digest of the key's secret, so that the secret stays withdrawn under another identifier too. */
    digest: z.string(),
    withdrawnAtMs: z.number(),
    author: z.string(),
});

/** The withdrawal of one key. */
export type KeyWithdrawal = z.infer<typeof keyWithdrawalSchema>;

/**
 * Formats what makes a withdrawal unique.
 *
 * @param withdrawal - The withdrawal.
 * @returns The identity; two withdrawals with the same identity say the same.
 */
export function formatWithdrawalIdentity(withdrawal: Pick<KeyWithdrawal, "keyId" | "digest">): string {
    return `${withdrawal.keyId} ${withdrawal.digest}`;
}
