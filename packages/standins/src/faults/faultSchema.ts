/**
 * Schema of the fault switches that every stand-in accepts at `POST /faults`.
 *
 * @packageDocumentation
 */
import { z } from "zod";

const commonFields = {
    /** Service that the fault applies to; all services when absent. */
    service: z.string().min(1).optional(),
    /** Call that the fault applies to; all calls when absent. */
    call: z.string().min(1).optional(),
    /** Maximum number of calls that the fault applies to; unlimited when absent. */
    count: z.int().positive().optional(),
    /** Number of matching calls before the first one that the fault applies to. */
    skip: z.int().nonnegative().default(0),
    /** Probability, from 0 to 1, that the fault applies to a matching call. */
    probability: z.number().min(0).max(1).default(1),
};

/** Schema of one fault. */
export const faultSchema = z.discriminatedUnion("kind", [
    /** Waits for `delayMs` before the call is handled. */
    z.strictObject({ kind: z.literal("delay"), delayMs: z.number().nonnegative(), ...commonFields }),
    /** Executes the call and closes the connection instead of responding. */
    z.strictObject({ kind: z.literal("dropReply"), ...commonFields }),
    /** Closes the connection immediately; the call takes effect when the faults are replaced or cleared. */
    z.strictObject({ kind: z.literal("lateEffect"), ...commonFields }),
    /** Responds with status 503 without executing the call. */
    z.strictObject({ kind: z.literal("refuse"), ...commonFields }),
    /** Keeps the connection open without executing the call or responding. */
    z.strictObject({ kind: z.literal("hang"), ...commonFields }),
    /** Executes the call and responds with status 503 and an unknown outcome. */
    z.strictObject({ kind: z.literal("failAfterEffect"), ...commonFields }),
    /** Responds with status 429 without executing the call. */
    z.strictObject({
        kind: z.literal("rateLimit"),
        retryAfterMs: z.number().positive().default(1_000),
        ...commonFields,
    }),
    /** Rejects a server order because no server is available. */
    z.strictObject({
        kind: z.literal("noneAvailable"),
        retryAfterMs: z.number().positive().default(1_000),
        ...commonFields,
    }),
    /** Closes the connection after this many tokens of a completion, or characters of any other response. */
    z.strictObject({ kind: z.literal("cutMidAnswer"), afterTokens: z.int().nonnegative(), ...commonFields }),
    /** Responds to a call with the answer of another one. */
    z.strictObject({ kind: z.literal("crossedAnswers"), ...commonFields }),
    /** Multiplies the processing times by a factor for as long as the fault is active. */
    z.strictObject({ kind: z.literal("straggle"), factor: z.number().min(1), ...commonFields }),
    /** Responds with an `x-request-id` that differs from that of the request. */
    z.strictObject({ kind: z.literal("wrongEcho"), ...commonFields }),
]);

/** One fault. */
export type Fault = z.infer<typeof faultSchema>;

/** One fault as a sender writes it, without the fields that have defaults. */
export type FaultInput = z.input<typeof faultSchema>;

/** Name of a kind of fault. */
export type FaultKind = Fault["kind"];

/** Request body of `POST /faults`: replaces all active faults; an empty list clears them. */
export const faultPlanSchema = z.strictObject({
    seed: z.int().default(1),
    faults: z.array(faultSchema),
});

/** Request body of `POST /faults` as a sender writes it. */
export type FaultPlanInput = z.input<typeof faultPlanSchema>;
