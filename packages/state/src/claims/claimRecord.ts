/**
 * The row of a claim in the table service.
 *
 * @packageDocumentation
 */
import { createHash } from "node:crypto";
import { z } from "zod";
import type { ClaimOutcome, ClaimRequest } from "./claimStore.js";

/** Name of the table that holds the claims. */
export const claimTable = "claims";

const storedAnswerSchema = z.object({
    status: z.int(),
    headers: z.record(z.string(), z.string()),
    body: z.string(),
});

/** Schema of a claim row. */
export const claimRecordSchema = z.object({
    token: z.string(),
    requestDigest: z.string(),
    requestId: z.string(),
    /** Incarnation of the node that claimed the key. */
    owner: z.string(),
    /** Time of the claim, in milliseconds since the Unix epoch. */
    claimedMs: z.number(),
    /** A released claim keeps its row, so that a delayed insert of an older claim fails. */
    state: z.enum(["claimed", "answered", "unknown", "released"]),
    answer: storedAnswerSchema.optional(),
});

/** The content of a claim row. */
export type ClaimRecord = z.infer<typeof claimRecordSchema>;

/**
 * Formats the key of a claim's row. The key is a digest, because callers choose idempotency keys freely.
 *
 * @param request - The claim's customer, route and idempotency key.
 * @returns 64 hexadecimal digits.
 */
export function formatClaimKey(request: Pick<ClaimRequest, "customer" | "route" | "idempotencyKey">): string {
    const parts = [request.customer, request.route, request.idempotencyKey];
    return createHash("sha256").update(JSON.stringify(parts)).digest("hex");
}

/**
 * Computes the final record of a claim from its outcome.
 *
 * @param record - The record of the open claim.
 * @param outcome - How the request ended.
 * @param maximumAnswerBytes - Maximum length of a stored body, in base64 characters. The outcome of a longer response
 * is recorded as `unknown`, because a repeated request must receive the complete response or none.
 * @returns The final record.
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
