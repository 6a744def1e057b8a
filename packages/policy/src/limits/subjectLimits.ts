/**
 * Enforces the limits of one customer or key on one node.
 *
 * @packageDocumentation
 */
import type { Limits } from "@pimentocleat/schema";
import { ErrorKind } from "@pimentocleat/types";
import { RateEstimator } from "../scheduling/estimators.js";
import { SharedBucket } from "./sharedBucket.js";

/** Usage of a subject on one node: totals since the node started, but the current number for `running`. */
export interface SubjectUsage {
    readonly requests: number;
    readonly tokens: number;
    readonly running: number;
}

/** The refusal of a request that exceeds a limit. */
export interface LimitRefusal {
    readonly kind: ErrorKind;
    readonly retryAfterMs: number;
}

const requestBurstSeconds = 1;
const tokenBurstSeconds = 10;
const secondsPerMinute = 60;
const concurrencyRetryAfterMs = 500;
/** Time constant of the request rates from which a node's share of the limits is computed. */
const shareTimeConstantMs = 1_000;
const noUsage: SubjectUsage = { requests: 0, tokens: 0, running: 0 };

/** Checks a subject's requests, tokens and requests in flight over all nodes against its limits. */
export class SubjectLimits {
    private requests: SharedBucket | undefined;
    private tokens: SharedBucket | undefined;
    private concurrency: number | undefined;
    private usage = noUsage;
    /** Own requests in flight that were not announced to the other nodes yet. */
    private unannouncedRunning = 0;
    private readonly peerUsage = new Map<string, SubjectUsage>();
    /** Rate of own requests, counted when announced, so that all nodes compute from the same numbers. */
    private readonly ownRate: RateEstimator;
    private readonly peerRate: RateEstimator;
    private announcedRequests = 0;

    constructor(limits: Limits, nowMs: number) {
        this.updateLimits(limits, nowMs);
        this.ownRate = new RateEstimator(shareTimeConstantMs, nowMs);
        this.peerRate = new RateEstimator(shareTimeConstantMs, nowMs);
    }

    /** Replaces the limits; the level of a bucket that stays limited is kept. */
    updateLimits(limits: Limits, nowMs: number): void {
        const { requestsPerSecond, tokensPerMinute } = limits;
        this.concurrency = limits.concurrency;
        this.requests = updateBucket(this.requests, requestsPerSecond, requestBurstSeconds, nowMs);
        const tokensPerSecond =
            tokensPerMinute === undefined ? undefined : tokensPerMinute / secondsPerMinute;
        this.tokens = updateBucket(this.tokens, tokensPerSecond, tokenBurstSeconds, nowMs);
    }

    /**
     * Checks all limits without charging them.
     *
     * @param nodes - Nodes that share the limits.
     * @param nowMs - Monotonic time.
     * @returns The refusal, or undefined when the request may run.
     */
    check(nodes: number, nowMs: number): LimitRefusal | undefined {
        const share = this.computeShare(nodes, nowMs);
        if (this.requests?.hasUnit(share, nowMs) === false) {
            return {
                kind: ErrorKind.RequestRateLimited,
                retryAfterMs: Math.ceil(this.requests.readWaitMs(nowMs)),
            };
        }
        if (this.tokens?.hasUnit(share, nowMs) === false) {
            return {
                kind: ErrorKind.TokenRateLimited,
                retryAfterMs: Math.ceil(this.tokens.readWaitMs(nowMs)),
            };
        }
        if (!this.hasConcurrency(share)) {
            return { kind: ErrorKind.ConcurrencyLimited, retryAfterMs: concurrencyRetryAfterMs };
        }
        return undefined;
    }

    /** Counts a request that starts. */
    recordStart(nowMs: number): void {
        this.requests?.recordTaken(1, nowMs);
        this.unannouncedRunning += 1;
        const { requests, tokens, running } = this.usage;
        this.usage = { requests: requests + 1, tokens, running: running + 1 };
    }

    /** Charges generated tokens. */
    recordTokens(count: number, nowMs: number): void {
        this.tokens?.recordTaken(count, nowMs);
        this.usage = { ...this.usage, tokens: this.usage.tokens + count };
    }

    /** Records that a request ended. */
    recordEnd(): void {
        this.unannouncedRunning = Math.max(0, this.unannouncedRunning - 1);
        this.usage = { ...this.usage, running: this.usage.running - 1 };
    }

    /**
     * Charges the usage of another node since its last summary.
     *
     * @param node - The other node.
     * @param usage - Totals of the other node.
     * @param nowMs - Monotonic time.
     */
    recordPeerUsage(node: string, usage: SubjectUsage, nowMs: number): void {
        const before = this.peerUsage.get(node) ?? noUsage;
        this.peerUsage.set(node, usage);
        const requests = Math.max(0, usage.requests - before.requests);
        this.peerRate.record(requests, nowMs);
        this.requests?.recordPeerTaken(requests, nowMs);
        this.tokens?.recordPeerTaken(Math.max(0, usage.tokens - before.tokens), nowMs);
    }

    /** Removes the usage of a node that was removed; its requests in flight no longer count. */
    removePeer(node: string): void {
        this.peerUsage.delete(node);
    }

    /** Summarizes this node's usage for the other nodes; it counts as announced from then on. */
    summarizeUsage(nowMs: number): SubjectUsage {
        this.ownRate.record(this.usage.requests - this.announcedRequests, nowMs);
        this.announcedRequests = this.usage.requests;
        this.requests?.recordSummarized();
        this.tokens?.recordSummarized();
        this.unannouncedRunning = 0;
        return this.usage;
    }

    /** Computes this node's share of what is left: by recent requests, plus a small part for each node. */
    private computeShare(nodes: number, nowMs: number): number {
        const own = this.ownRate.readPerSecond(nowMs);
        return (own + 1) / (own + this.peerRate.readPerSecond(nowMs) + nodes);
    }

    private hasConcurrency(share: number): boolean {
        if (this.concurrency === undefined) {
            return true;
        }
        let running = this.usage.running;
        for (const peer of this.peerUsage.values()) {
            running += peer.running;
        }
        const availableAtSummary = this.concurrency - running + this.unannouncedRunning;
        return running < this.concurrency && this.unannouncedRunning < Math.ceil(availableAtSummary * share);
    }
}

function updateBucket(
    bucket: SharedBucket | undefined,
    perSecond: number | undefined,
    burstSeconds: number,
    nowMs: number,
): SharedBucket | undefined {
    if (perSecond === undefined) {
        return undefined;
    }
    const settings = { perSecond, depth: Math.max(1, perSecond * burstSeconds) };
    bucket?.updateSettings(settings);
    return bucket ?? new SharedBucket(settings, nowMs);
}
