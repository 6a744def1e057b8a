/**
 * The row of a claim in the table service.
 *
 * @packageDocumentation
 */
import { createHash } from "node:crypto";
import { z } from "zod";
import type { ClaimOutcome, ClaimRequest } from "./claimStore.js";

/** Table that holds the claims. */
export const claimTable = "claims";

const storedAnswerSchema = z.object({
    status: z.int(),
    headers: z.record(z.string(), z.string()),
    body: z.string(),
});

/** What a claim row holds. */
export const claimRecordSchema = z.object({
    token: z.string(),
    requestDigest: z.string(),
    requestId: z.string(),
    /** Incarnation of the node that claimed the key. */
    owner: z.string(),
    /** When the key was claimed, in milliseconds since the Unix epoch. */
    claimedMs: z.number(),
    /** `released` is kept as a row, so that a late insert of an older claim cannot succeed. */
    state: z.enum(["claimed", "answered", "unknown", "released"]),
    answer: storedAnswerSchema.optional(),
});

/** What a claim row holds. */
export type ClaimRecord = z.infer<typeof claimRecordSchema>;

/**
 * Formats the row's key: a digest, because callers choose idempotency keys freely.
 *
 * @param request - The claim's customer, route and idempotency key.
 * @returns 64 hexadecimal digits.
 */
export function formatClaimKey(request: Pick<ClaimRequest, "customer" | "route" | "idempotencyKey">): string {
    const parts = [request.customer, request.route, request.idempotencyKey];
    return createHash("sha256").update(JSON.stringify(parts)).digest("hex");
}

/**
 * Applies an outcome to a claim's record.
 *
 * @param record - The record as claimed.
 * @param outcome - How the request ended.
 * @param maximumAnswerBytes - Longest body that is stored, in characters of base64; a longer answer is
 * recorded as `unknown`, because a repeat must receive the whole answer or none.
 * @returns The settled record.
 */
export function applyOutcome(
    record: ClaimRecord,
    outcome: ClaimOutcome,
    maximumAnswerBytes: number,
): ClaimRecord {
    if (outcome.type === "notRun") {
        return { ...record, state: "released" };
    }
    if (outcome.type === "answered" && outcome.answer.body.length <= maximumAnswerBytes) {
        const { status, headers, body } = outcome.answer;
        return { ...record, state: "answered", answer: { status, headers: { ...headers }, body } };
    }
    return { ...record, state: "unknown" };
}
