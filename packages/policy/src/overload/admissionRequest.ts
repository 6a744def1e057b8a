/**
 * What admission control knows about a request, about the load of its service, and what it decides.
 *
 * @packageDocumentation
 */

/** A request that asks to start. All times are in milliseconds, points in time on the monotonic clock. */
export interface AdmissionRequest {
    readonly requestId: string;
    /** Kind of the request, which is the name of its route. */
    readonly kind: string;
    /** Undefined for callers without a key. */
    readonly customer: string | undefined;
    /** Priority of customer and route; 0 is the most urgent. */
    readonly priority: number;
    readonly promptTokens: number;
    /** Part of the earlier requests of its kind that had a smaller prompt, 0 to 1. */
    readonly sizeRank: number;
    readonly arrivedMs: number;
    readonly deadlineMs: number;
    /** Latency target of the first event or the complete answer. */
    readonly targetMs: number;
    /** Target for the longest pause between events; undefined for complete answers. */
    readonly pauseTargetMs: number | undefined;
    /**
     * Whether it was tried before: a retry of this node, or a caller that comes back with less than the usual time left.
     */
    readonly isReturning: boolean;
    /** Whether it continues a stream of which the caller already has a part. */
    readonly isResumption: boolean;
}

/** Load of a service, as far as it is known at the node. */
export interface ServiceLoad {
    /** Share of the servers' places that are taken, 0 to 1. */
    readonly takenShare: number;
    /** Number of requests that wait at the servers. */
    readonly waiting: number;
}

/** Why a request starts. */
export type StartReason = "noEstimate" | "room" | "owed" | "tried" | "inTime" | "calm" | "queueFull";

/** What a request that does not start yet waits for. */
export type WaitReason = "room" | "streams";

/** Why a request is refused: what it waited for could not come in time, or too many requests wait. */
export type RefusalReason = WaitReason | "queueFull";

/** The decision about a request. */
export type AdmissionDecision =
    | { readonly type: "start"; readonly reason: StartReason }
    /** Decide again at a change, at the latest at the given time. */
    | { readonly type: "wait"; readonly reason: WaitReason; readonly untilMs: number }
    /** The caller should come back after the given time. */
    | { readonly type: "refuse"; readonly reason: RefusalReason; readonly returnMs: number };

/** A decision that ends a wait. */
export type FinalDecision = Exclude<AdmissionDecision, { readonly type: "wait" }>;
