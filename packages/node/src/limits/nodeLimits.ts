/**
 * Limits of one node's request path.
 *
 * @packageDocumentation
 */

/** Limits that keep a single caller or backend server from exhausting the node's resources. */
export interface NodeLimits {
    /** Maximum size of a request body, in bytes. */
    readonly maximumBodyBytes: number;
    /** Maximum size of a request's header block, in bytes. */
    readonly maximumHeaderBytes: number;
    /** Timeout for receiving the headers of a request, in milliseconds. */
    readonly headersTimeoutMs: number;
    /** Timeout for receiving a complete request, in milliseconds. */
    readonly requestTimeoutMs: number;
    /** Keep-alive timeout of an idle caller connection, in milliseconds. */
    readonly keepAliveMs: number;
    /** Time after which a caller that reads no data is disconnected, in milliseconds. */
    readonly stalledCallerMs: number;
    /** Maximum size of a response that is buffered until it is complete, in bytes. */
    readonly maximumAnswerBytes: number;
    /** Timeout for connecting to a backend server, in milliseconds. */
    readonly connectTimeoutMs: number;
    /** Keep-alive timeout of an idle connection to a backend server, in milliseconds. */
    readonly idleConnectionTimeoutMs: number;
    /** Maximum number of idle connections per backend server. */
    readonly maximumIdleConnections: number;
    /** Maximum time that a response waits until its idempotency outcome is stored, in milliseconds. */
    readonly outcomeRecordTimeoutMs: number;
    /** Time for which a stopping node keeps serving while it reports unready, in milliseconds. */
    readonly drainDelayMs: number;
    /** Maximum number of requests whose decision traces are kept. */
    readonly maximumTraces: number;
    /** Interval between polls of an engine's load, in milliseconds. */
    readonly loadPollMs: number;
    /** Interval between polls of an engine's cache events, in milliseconds. */
    readonly cachePollMs: number;
    /** Interval between polls of the host list, in milliseconds. */
    readonly hostPollMs: number;
}

/** Default limits of a production node. */
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
