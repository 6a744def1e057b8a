/**
 * Settings of the plain service stand-in.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import { listenFields } from "../program/programOptions.js";

const wholeNumber = z.coerce.number().int().nonnegative();
const durationMs = z.coerce.number().nonnegative();

/** Schema of the settings; each description is shown by `--help`. */
export const plainServiceOptionsSchema = z.strictObject({
    ...listenFields,
    slots: wholeNumber.min(1).default(16).describe("maximum number of concurrent calls"),
    serviceMs: durationMs.default(0).describe("duration of a call, in ms"),
    loadLagMs: durationMs.default(0).describe("delay of the load report, in ms"),
    credential: z.coerce.string().optional().describe("bearer token that calls must carry"),
    recordLimit: wholeNumber
        .min(2)
        .default(10_000)
        .describe("maximum number of requests kept for GET /record"),
});

/** Settings as the caller gives them; all have defaults. */
export type PlainServiceOptions = z.input<typeof plainServiceOptionsSchema>;
