/**
 * What the choice of a server compares, for operators.
 *
 * @packageDocumentation
 */
import type { TimedLoad } from "./serverEstimate.js";

/** What is known about a server when a request is placed. */
export interface ServerCostInputs {
    /** Estimated cost, in milliseconds of the caller's time. */
    readonly costMs: number;
    /** Whether other servers are preferred after a failure or a rejection. */
    readonly isAvoided: boolean;
    /** Whether the server has a slot and memory for the request, by what the node knows. */
    readonly hasRoom: boolean;
    /** Requests of this node and its peers that are known to be in flight. */
    readonly inFlight: number;
    /** Prompt tokens that the server still has to prefill. */
    readonly prefillTokens: number;
    /** Tokens of the request's prompt that the server probably has cached. */
    readonly cachedTokens: number;
    /** Factor by which the server is slower than expected. */
    readonly slowness: number;
    /** How long work takes on the server's host now, as a multiple of the usual time. */
    readonly pace: number;
    /** Recent share of failed exchanges, 0 to 1. */
    readonly failureShare: number;
    /** The load that the server reported last; undefined when it reported none. */
    readonly load: TimedLoad | undefined;
    /** Age of that load, in milliseconds. */
    readonly loadAgeMs: number | undefined;
}
