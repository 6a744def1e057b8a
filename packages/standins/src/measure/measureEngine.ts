/**
 * Measures how many tokens per second the model engine stand-in can stream to one client process.
 *
 * @packageDocumentation
 */
import { Pool } from "undici";
import { z } from "zod";
import { launchProgram } from "../launcher/launchProgram.js";
import { readProgramOptions, type ProgramInput } from "../program/programOptions.js";
import type { RecordedRequest } from "../program/requestRecorder.js";

const maximumStreams = 1_000;
const maximumTokens = 100_000;
const millisecondsPerSecond = 1_000;
const model = "measured-model";

const measureOptionsSchema = z.strictObject({
    streams: z.coerce
        .number()
        .int()
        .min(1)
        .max(maximumStreams)
        .default(32)
        .describe("number of concurrent streams"),
    tokens: z.coerce.number().int().min(1).max(maximumTokens).default(20_000).describe("tokens per stream"),
    tokensPerStep: z.coerce
        .number()
        .int()
        .min(1)
        .default(8)
        .describe("tokens per step when there is no pause"),
    tokenIntervalMs: z.coerce
        .number()
        .nonnegative()
        .default(0)
        .describe("duration of a batch step in ms, 0 for no pause"),
});

/** Settings of a measurement. */
export type MeasureOptions = z.infer<typeof measureOptionsSchema>;

/** Result of a measurement. */
export interface EngineThroughput extends MeasureOptions {
    /** Number of tokens that the engine reports as generated. */
    readonly generated: number;
    /** Duration of the measurement, in seconds. */
    readonly seconds: number;
    readonly tokensPerSecond: number;
    /** Total size of the received bodies, in units of 1,000,000 bytes. */
    readonly megabytes: number;
}

/**
 * Starts an engine as a child process, reads its streams to their end and stops it.
 *
 * @param options - Settings.
 * @returns The throughput.
 */
export async function measureEngine(options: MeasureOptions): Promise<EngineThroughput> {
    const program = await launchProgram("engine", buildParameters(options));
    const pool = new Pool(`http://${program.address}`, { connections: options.streams, pipelining: 1 });
    try {
        const startedAtMs = performance.now();
        const reads = Array.from({ length: options.streams }, () => readStream(pool, options.tokens));
        const lengths = await Promise.all(reads);
        const seconds = (performance.now() - startedAtMs) / millisecondsPerSecond;
        const generated = await readGenerated(pool);
        const megabytes = lengths.reduce((sum, length) => sum + length, 0) / 1e6;
        return { ...options, generated, seconds, tokensPerSecond: generated / seconds, megabytes };
    } finally {
        await pool.destroy();
        await program.stop();
    }
}

/**
 * Reads the settings, runs the measurement and prints its result as JSON.
 *
 * @param input - Command-line arguments and environment variables.
 */
export async function runMeasureEngine(input: ProgramInput): Promise<void> {
    const options = readProgramOptions("measureEngine", measureOptionsSchema, input);
    if (options !== undefined) {
        process.stdout.write(`${JSON.stringify(await measureEngine(options), undefined, 4)}\n`);
    }
}

function buildParameters(options: MeasureOptions): string[] {
    const settings: Record<string, string | number> = {
        "--models": model,
        "--slots": options.streams,
        "--tokens-per-step": options.tokensPerStep,
        "--token-interval-ms": options.tokenIntervalMs,
    };
    return Object.entries(settings).flatMap(([flag, value]) => [flag, String(value)]);
}

async function readStream(pool: Pool, tokens: number): Promise<number> {
    const { body } = await pool.request({
        method: "POST",
        path: "/v1/completions",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({
            model,
            prompt: "measure",
            max_tokens: tokens,
            ignore_eos: true,
            stream: true,
        }),
    });
    let length = 0;
    for await (const chunk of body) {
        length += (chunk as Buffer).length;
    }
    return length;
}

async function readGenerated(pool: Pool): Promise<number> {
    const { body } = await pool.request({ method: "GET", path: "/record" });
    const { requests } = (await body.json()) as { requests: readonly RecordedRequest[] };
    return requests.reduce((sum, request) => sum + request.tokensGenerated, 0);
}
