/**
 * Settings of the plain service stand-in.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import { listenFields } from "../program/programOptions.js";

const wholeNumber = z.coerce.number().int().nonnegative();
const durationMs = z.coerce.number().nonnegative();

/** Schema of the settings. */
export const plainServiceOptionsSchema = z.strictObject({
    ...listenFields,
    slots: wholeNumber.min(1).default(16).describe("calls that run at the same time"),
    serviceMs: durationMs.default(0).describe("time of one call, in ms"),
    loadLagMs: durationMs.default(0).describe("how late the load report is, in ms"),
    credential: z.coerce.string().optional().describe("bearer token that calls must carry"),
    recordLimit: wholeNumber.min(2).default(10_000).describe("requests kept for GET /record"),
});

/** Settings as given; all have defaults. */
export type PlainServiceOptions = z.input<typeof plainServiceOptionsSchema>;
