/**
 * Options of the benchmark and of its child processes.
 *
 * @packageDocumentation
 */

/** Secret of the API key that all benchmark requests carry. */
export const benchSecret = "bench-secret-5d2c81";

/** Sample sizes, durations and concurrency of the benchmark. */
export interface BenchOptions {
    readonly seed: number;
    /** Number of non-streaming request pairs, one direct and one through the node, for the latency measurement. */
    readonly wholePairs: number;
    /** Number of streaming request pairs for the latency measurement. */
    readonly streamPairs: number;
    /** Tokens per stream in the latency measurement. */
    readonly sendTokens: number;
    /** Interval between tokens in the latency measurement, in milliseconds. */
    readonly tokenIntervalMs: number;
    /** Duration of each load measurement, in milliseconds. */
    readonly loadMs: number;
    /** Number of short requests in flight. */
    readonly concurrency: number;
    /** Number of concurrent streams in the token load. */
    readonly streams: number;
    /** Interval between tokens of each stream in the token load, in milliseconds. */
    readonly loadIntervalMs: number;
    /** Number of connections in the memory measurement. */
    readonly memoryConnections: number;
}

/** Default options; a run with them takes less than a minute. */
export const defaultBenchOptions: BenchOptions = {
    seed: 1,
    wholePairs: 1_500,
    streamPairs: 60,
    sendTokens: 20,
    tokenIntervalMs: 4,
    loadMs: 6_000,
    concurrency: 64,
    streams: 500,
    loadIntervalMs: 10,
    memoryConnections: 1_000,
};

/** Stream that the backend server sends for a request; the `bench` member of the request body. */
export interface BenchPlan {
    readonly tokens: number;
    /** Interval between tokens, in milliseconds. */
    readonly intervalMs: number;
}
