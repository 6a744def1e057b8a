/**
 * Bounds of one node's request path.
 *
 * @packageDocumentation
 */

/** Bounds that keep one caller or backend server from using up the node. */
export interface NodeLimits {
    /** Largest accepted request body, in bytes. */
    readonly maximumBodyBytes: number;
    /** Largest accepted header block, in bytes. */
    readonly maximumHeaderBytes: number;
    /** Longest time until the headers of a request are received, in milliseconds. */
    readonly headersTimeoutMs: number;
    /** Longest time until a whole request is received, in milliseconds. */
    readonly requestTimeoutMs: number;
    /** How long an idle connection of a caller is kept, in milliseconds. */
    readonly keepAliveMs: number;
    /** Longest time in which a caller of a stream takes no data, in milliseconds. */
    readonly stalledCallerMs: number;
    /** Largest answer that is held back until it is complete, in bytes. */
    readonly maximumAnswerBytes: number;
    /** Longest time to connect to a backend server, in milliseconds. */
    readonly connectTimeoutMs: number;
    /** How long an idle connection to a backend server is kept, in milliseconds. */
    readonly idleConnectionTimeoutMs: number;
    /** Idle connections kept for one backend server. */
    readonly maximumIdleConnections: number;
    /** How long an answer waits for its idempotency record, in milliseconds. */
    readonly outcomeRecordTimeoutMs: number;
    /** How long a stopping node keeps serving while it reports unready, in milliseconds. */
    readonly drainDelayMs: number;
    /** Requests whose decision traces are kept. */
    readonly maximumTraces: number;
    /** Period of the polls of an engine's load, in milliseconds. */
    readonly loadPollMs: number;
    /** Period of the polls of an engine's cache events, in milliseconds. */
    readonly cachePollMs: number;
    /** Period of the polls of the host list, in milliseconds. */
    readonly hostPollMs: number;
}

/** Bounds for a production node. */
export const defaultNodeLimits: NodeLimits = {
    maximumBodyBytes: 4_194_304,
    maximumHeaderBytes: 16_384,
    headersTimeoutMs: 10_000,
    requestTimeoutMs: 30_000,
    keepAliveMs: 30_000,
    stalledCallerMs: 60_000,
    maximumAnswerBytes: 33_554_432,
    connectTimeoutMs: 1_000,
    idleConnectionTimeoutMs: 4_000,
    maximumIdleConnections: 256,
    outcomeRecordTimeoutMs: 500,
    drainDelayMs: 5_000,
    maximumTraces: 2_000,
    loadPollMs: 250,
    cachePollMs: 500,
    hostPollMs: 1_000,
};
