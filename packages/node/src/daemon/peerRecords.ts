/**
 * Contents of the soft records and withdrawals that nodes exchange.
 *
 * @packageDocumentation
 */
import type { LimitSummary, PoolSummary } from "@pimentocleat/policy";
import { keyWithdrawalSchema, type ConfigurationSnapshot, type KeyWithdrawal } from "@pimentocleat/state";
import { z } from "zod";
import type { NodeStatus } from "../operator/operatorBackend.js";

/** Key of the record with a node's state. */
export const statusRecordKey = "status";

/** Prefix of the keys of records with pool summaries. */
export const poolRecordKeyPrefix = "pool:";

/** Key of the record with a node's usage of limits. */
export const limitsRecordKey = "limits";

const limitSummarySchema = z.object({
    node: z.string(),
    sequence: z.number(),
    usage: z.record(z.string(), z.object({ requests: z.number(), tokens: z.number(), running: z.number() })),
}) satisfies z.ZodType<LimitSummary>;

const statusSchema = z.object({
    name: z.string(),
    dataCentre: z.string(),
    state: z.string(),
    revision: z.number(),
    callerAddress: z.string(),
    operatorAddress: z.string(),
}) satisfies z.ZodType<NodeStatus>;

const countsSchema = z.record(z.string(), z.number());

/** Lists every field of a summary, since parsing silently drops fields that the schema lacks. */
const poolSummaryFields = {
    pool: z.string(),
    node: z.string(),
    sequence: z.number(),
    waiting: countsSchema,
    running: countsSchema,
    demand: countsSchema,
    servedTokens: countsSchema,
    stragglers: z.array(z.string()),
    lent: z.record(z.string(), countsSchema).optional(),
    borrowed: z.record(z.string(), countsSchema).optional(),
    acknowledged: countsSchema.optional(),
    lentTiers: countsSchema.optional(),
    slackMs: z.number().optional(),
    urgentClass: z.string().optional(),
    urgentServed: z.number().optional(),
    starts: countsSchema.optional(),
    sinceStartMs: countsSchema.optional(),
} satisfies Record<keyof PoolSummary, z.ZodType>;

const poolSummarySchema = z.object(poolSummaryFields) satisfies z.ZodType<PoolSummary>;

const snapshotSchema = z.object({
    revision: z.int().positive(),
    digest: z.string(),
    files: z.array(z.object({ name: z.string(), content: z.string() })),
}) satisfies z.ZodType<ConfigurationSnapshot>;

const withdrawalFieldCount = 4;

/**
 * Encodes a value as JSON bytes.
 *
 * @param value - A plain value.
 * @returns The bytes.
 */
export function encodeJson(value: unknown): Uint8Array {
    return new TextEncoder().encode(JSON.stringify(value));
}

function decodeJson<Schema extends z.ZodType>(
    schema: Schema,
    payload: Uint8Array,
): z.infer<Schema> | undefined {
    try {
        return schema.parse(JSON.parse(new TextDecoder().decode(payload)));
    } catch {
        // A peer of another version may send content that this version cannot decode.
        return undefined;
    }
}

/**
 * Decodes the state of a node.
 *
 * @param payload - The bytes.
 * @returns The state, or undefined when the bytes are not a valid state.
 */
export function decodeStatus(payload: Uint8Array): NodeStatus | undefined {
    return decodeJson(statusSchema, payload);
}

/**
 * Decodes a pool summary.
 *
 * @param payload - The bytes.
 * @returns The summary, or undefined when the bytes are not a valid summary.
 */
export function decodePoolSummary(payload: Uint8Array): PoolSummary | undefined {
    return decodeJson(poolSummarySchema, payload);
}

/**
 * Decodes a node's usage of limits.
 *
 * @param payload - The bytes.
 * @returns The usage, or undefined when the bytes are not a valid usage summary.
 */
export function decodeLimitSummary(payload: Uint8Array): LimitSummary | undefined {
    return decodeJson(limitSummarySchema, payload);
}

/**
 * Decodes a configuration snapshot.
 *
 * @param payload - The bytes.
 * @returns The snapshot, or undefined when the bytes are not a valid snapshot.
 */
export function decodeSnapshot(payload: Uint8Array): ConfigurationSnapshot | undefined {
    return decodeJson(snapshotSchema, payload);
}

/**
 * Encodes a withdrawal as text.
 *
 * @param withdrawal - The withdrawal.
 * @returns Identifier, digest, time and author with spaces between them.
 */
export function encodeWithdrawal(withdrawal: KeyWithdrawal): string {
    const { keyId, digest, withdrawnAtMs, author } = withdrawal;
    return `${keyId} ${digest} ${String(withdrawnAtMs)} ${author}`;
}

/**
 * Decodes a withdrawal.
 *
 * @param text - The text.
 * @returns The withdrawal, or undefined when the text is not a valid withdrawal.
 */
export function decodeWithdrawal(text: string): KeyWithdrawal | undefined {
    const parts = text.split(" ");
    const [keyId, digest, time] = parts;
    const author = parts.slice(withdrawalFieldCount - 1).join(" ");
    return keyWithdrawalSchema.safeParse({ keyId, digest, withdrawnAtMs: Number(time), author }).data;
}
