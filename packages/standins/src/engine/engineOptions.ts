/**
 * Settings of the model engine stand-in.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import { booleanSettingSchema, listenFields } from "../program/programOptions.js";

const wholeNumber = z.coerce.number().int().nonnegative();
const durationMs = z.coerce.number().nonnegative();

/** Schema of the settings; each description is shown by `--help`. */
export const engineOptionsSchema = z.strictObject({
    ...listenFields,
    models: z.string().default("demo-model").describe("names of the loaded models, separated by commas"),
    slots: wholeNumber.min(1).default(16).describe("maximum number of concurrent requests"),
    maximumWaiting: wholeNumber.default(1_000).describe("maximum number of requests that wait for a slot"),
    tokenIntervalMs: durationMs.default(10).describe("duration of a batch step in ms, 0 for no pause"),
    tokensPerStep: wholeNumber.min(1).default(8).describe("tokens per step when there is no pause"),
    prefillMsPer1000: durationMs.default(20).describe("prefill time of 1,000 uncached prompt tokens, in ms"),
    meanOutputTokens: wholeNumber.min(1).default(64).describe("mean length of an answer, in tokens"),
    cacheBlocks: wholeNumber.default(4_096).describe("maximum number of blocks in the prefix cache"),
    blockCharacters: wholeNumber.min(1).default(256).describe("characters per block of the prefix cache"),
    loadLagMs: durationMs.default(0).describe("delay of the load report, in ms"),
    cacheEventLagMs: durationMs.default(0).describe("delay until cache events are visible, in ms"),
    cacheEventCapacity: wholeNumber
        .min(1)
        .default(1_000)
        .describe("maximum number of cache events kept; the oldest are dropped"),
    loadMs: durationMs.default(0).describe("time to load a model, adapter or version, in ms"),
    checksFencing: booleanSettingSchema
        .default(false)
        .describe("whether orders with an old fencing number are refused"),
    credential: z.coerce.string().optional().describe("bearer token that calls must carry"),
    recordLimit: wholeNumber
        .min(2)
        .default(10_000)
        .describe("maximum number of requests kept for GET /record"),
});

/** Settings with defaults filled in. */
export type EngineSettings = z.infer<typeof engineOptionsSchema>;

/** Settings as the caller gives them; all have defaults. */
export type EngineOptions = z.input<typeof engineOptionsSchema>;
