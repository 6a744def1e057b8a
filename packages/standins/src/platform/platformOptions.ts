/**
 * Settings of the platform stand-in.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import { booleanSettingSchema, listenFields } from "../program/programOptions.js";

const rateSchema = z.coerce.number().nonnegative();

/** Schema of the settings. */
export const platformOptionsSchema = z.strictObject({
    ...listenFields,
    writesPerSecond: rateSchema.default(0).describe("table and object writes a second, 0 for no limit"),
    readsPerSecond: rateSchema.default(0).describe("table and object reads a second, 0 for no limit"),
    weightReadsPerSecond: rateSchema.default(10).describe("weight store calls a second, 0 for no limit"),
    hostListLagMs: z.coerce
        .number()
        .nonnegative()
        .default(0)
        .describe("how late the host list shows a change, in milliseconds"),
    checksFencing: booleanSettingSchema
        .default(true)
        .describe("whether orders with an old fencing number are refused"),
});

/** Settings as given; all have defaults. */
export type PlatformOptions = z.input<typeof platformOptionsSchema>;
