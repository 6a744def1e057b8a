/**
 * Schema of the fault switches that every stand-in accepts at `POST /faults`.
 *
 * @packageDocumentation
 */
import { z } from "zod";

const commonFields = {
    /** Service that the fault strikes; every service when absent. */
    service: z.string().min(1).optional(),
    /** Call that the fault strikes; every call when absent. */
    call: z.string().min(1).optional(),
    /** How many calls the fault strikes; without a bound when absent. */
    count: z.int().positive().optional(),
    /** How many matching calls pass before the fault strikes. */
    skip: z.int().nonnegative().default(0),
    /** Share of the matching calls that the fault strikes. */
    probability: z.number().min(0).max(1).default(1),
};

/** One fault. */
export const faultSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("delay"), delayMs: z.number().nonnegative(), ...commonFields }),
    z.strictObject({ kind: z.literal("dropReply"), ...commonFields }),
    /** Cuts the connection at once; the call takes effect when the plan is replaced. */
    z.strictObject({ kind: z.literal("lateEffect"), ...commonFields }),
    z.strictObject({ kind: z.literal("refuse"), ...commonFields }),
    z.strictObject({ kind: z.literal("hang"), ...commonFields }),
    z.strictObject({ kind: z.literal("failAfterEffect"), ...commonFields }),
    z.strictObject({
        kind: z.literal("rateLimit"),
        retryAfterMs: z.number().positive().default(1_000),
        ...commonFields,
    }),
    z.strictObject({
        kind: z.literal("noneAvailable"),
        retryAfterMs: z.number().positive().default(1_000),
        ...commonFields,
    }),
    /** Cuts after this many tokens of a completion, or characters of any other answer. */
    z.strictObject({ kind: z.literal("cutMidAnswer"), afterTokens: z.int().nonnegative(), ...commonFields }),
    z.strictObject({ kind: z.literal("crossedAnswers"), ...commonFields }),
    z.strictObject({ kind: z.literal("straggle"), factor: z.number().min(1), ...commonFields }),
    z.strictObject({ kind: z.literal("wrongEcho"), ...commonFields }),
]);

/** One fault. */
export type Fault = z.infer<typeof faultSchema>;

/** One fault as a sender writes it, defaults left out. */
export type FaultInput = z.input<typeof faultSchema>;

/** Name of a kind of fault. */
export type FaultKind = Fault["kind"];

/** Request of `POST /faults`: replaces all faults in force, so that an empty list clears them. */
export const faultPlanSchema = z.strictObject({
    seed: z.int().default(1),
    faults: z.array(faultSchema),
});

/** Request of `POST /faults` as a sender writes it. */
export type FaultPlanInput = z.input<typeof faultPlanSchema>;
