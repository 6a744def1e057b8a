/**
 * Settings of the benchmark and of its processes.
 *
 * @packageDocumentation
 */

/** Key that the load carries. */
export const benchSecret = "bench-secret-5d2c81";

/** Sizes and durations of the benchmark. */
export interface BenchOptions {
    readonly seed: number;
    /** Pairs of calls, one direct and one through the node, for the latency of whole answers. */
    readonly wholePairs: number;
    /** Pairs of calls for the latency of streams. */
    readonly streamPairs: number;
    /** Tokens of a stream in the latency measurement. */
    readonly sendTokens: number;
    /** Time between two tokens in the latency measurement, in milliseconds. */
    readonly tokenIntervalMs: number;
    /** Duration of each load, in milliseconds. */
    readonly loadMs: number;
    /** Short requests in flight. */
    readonly concurrency: number;
    /** Streams of the token load. */
    readonly streams: number;
    /** Time between two tokens of a stream of the token load, in milliseconds. */
    readonly loadIntervalMs: number;
    /** Connections of the memory measurement. */
    readonly memoryConnections: number;
}

/** Sizes that keep a run under a minute. */
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

/** What the backend of the benchmark does with a request; part of its body. */
export interface BenchPlan {
    readonly tokens: number;
    /** Time between two tokens, in milliseconds. */
    readonly intervalMs: number;
}
