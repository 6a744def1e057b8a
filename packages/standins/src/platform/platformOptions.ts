/**
 * Settings of the platform stand-in.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import { booleanSettingSchema, listenFields } from "../program/programOptions.js";

const rateSchema = z.coerce.number().nonnegative();

/** Schema of the settings; each description is shown by `--help`. */
export const platformOptionsSchema = z.strictObject({
    ...listenFields,
    writesPerSecond: rateSchema.default(0).describe("table and object writes per second, 0 for no limit"),
    readsPerSecond: rateSchema.default(0).describe("table and object reads per second, 0 for no limit"),
    weightReadsPerSecond: rateSchema.default(10).describe("weight store calls per second, 0 for no limit"),
    hostListLagMs: z.coerce
        .number()
        .nonnegative()
        .default(0)
        .describe("delay before the host list shows a change, in milliseconds"),
    checksFencing: booleanSettingSchema
        .default(true)
        .describe("whether orders with an old fencing number are refused"),
});

/** Settings as the caller gives them; all have defaults. */
export type PlatformOptions = z.input<typeof platformOptionsSchema>;
