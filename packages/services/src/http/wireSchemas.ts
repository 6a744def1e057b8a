/**
 * Schemas of the messages that the platform's services exchange over HTTP.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import type { JsonValue } from "../table/tableService.js";

const maximumScanLimit = 1_000;
const naturalNumber = z.int().nonnegative();

/** A JSON value that contains no null. */
export const jsonValueSchema: z.ZodType<JsonValue> = z.lazy(() =>
    z.union([
        z.string(),
        z.number(),
        z.boolean(),
        z.array(jsonValueSchema),
        z.record(z.string(), jsonValueSchema),
    ]),
);

/** A row of a table. */
export const rowSchema = z.object({ key: z.string(), value: jsonValueSchema, version: naturalNumber });

/** A condition of a transaction. */
export const rowConditionSchema = z.object({ table: z.string(), key: z.string(), version: naturalNumber });

/** A write of a transaction; an absent `value` deletes the row. */
export const rowWriteSchema = z.object({
    table: z.string(),
    key: z.string(),
    value: jsonValueSchema.optional(),
});

/** Request of `POST /table/read`. */
export const readRequestSchema = z.strictObject({ table: z.string().min(1), key: z.string().min(1) });

/** Response of `POST /table/read`; `row` is absent when the row does not exist. */
export const readAnswerSchema = z.object({ row: rowSchema.optional() });

/** Request of `POST /table/scan`. */
export const scanRequestSchema = z.strictObject({
    table: z.string().min(1),
    prefix: z.string().optional(),
    after: z.string().optional(),
    limit: z.int().min(1).max(maximumScanLimit).optional(),
});

/** Response of `POST /table/scan`. */
export const scanAnswerSchema = z.object({ rows: z.array(rowSchema) });

/** Request of `POST /table/commit`. */
export const transactionSchema = z.strictObject({
    conditions: z.array(rowConditionSchema),
    writes: z.array(rowWriteSchema),
});

/** Response of `POST /table/commit`. */
export const commitAnswerSchema = z.discriminatedUnion("outcome", [
    z.object({ outcome: z.literal("committed"), version: naturalNumber }),
    z.object({ outcome: z.literal("conflict"), failed: z.array(rowConditionSchema) }),
]);

/** A host of `GET /hosts`. */
export const listedHostSchema = z.object({
    name: z.string().min(1),
    dataCentre: z.string().min(1),
    address: z.string().min(1),
    role: z.enum(["entry", "backend"]),
    state: z.enum(["live", "leaving"]),
    leavesAtMs: z.number().optional(),
});

/** Response of `GET /hosts`. */
export const hostListAnswerSchema = z.object({ hosts: z.array(listedHostSchema) });

/** Request of `POST /orders`. */
export const serverOrderSchema = z.strictObject({
    pool: z.string().min(1),
    dataCentre: z.string().min(1),
    reclaimable: z.boolean(),
    count: naturalNumber,
    generation: naturalNumber,
    fencingNumber: naturalNumber,
    sender: z.string().min(1),
});

/** Response of `POST /orders`. */
export const orderResultSchema = z.discriminatedUnion("outcome", [
    z.object({ outcome: z.literal("accepted") }),
    z.object({ outcome: z.literal("stale"), fencingNumber: naturalNumber, generation: naturalNumber }),
    z.object({ outcome: z.literal("noneAvailable"), retryAfterMs: z.number().nonnegative() }),
]);

/** Request of `POST /usage-reports`. */
export const usageReportSchema = z.strictObject({
    windowStartMs: naturalNumber,
    windowMs: z.int().positive(),
    customers: z.array(
        z.strictObject({
            customer: z.string().min(1),
            requests: naturalNumber,
            promptTokens: naturalNumber,
            completionTokens: naturalNumber,
        }),
    ),
    fencingNumber: naturalNumber,
    sender: z.string().min(1),
});

/** Response of `POST /usage-reports`. */
export const usageReportAnswerSchema = z.object({ accepted: z.literal(true) });

/** Response of `GET /weights`. */
export const weightListAnswerSchema = z.object({
    weights: z.array(
        z.object({ name: z.string().min(1), version: z.string().min(1), sizeBytes: naturalNumber }),
    ),
});

/** Response of `PUT /objects/{name}`. */
export const objectStoredAnswerSchema = z.object({ stored: z.literal(true) });

/** Body of the response to every rejected or failed call. */
export const failureAnswerSchema = z.object({
    message: z.string(),
    executed: z.enum(["no", "unknown"]).optional(),
    retryAfterMs: z.number().nonnegative().optional(),
});

/** Body of the response to every rejected or failed call. */
export type FailureAnswer = z.infer<typeof failureAnswerSchema>;
