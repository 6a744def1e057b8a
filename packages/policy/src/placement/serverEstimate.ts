/**
 * Estimates that one node keeps about one backend server.
 *
 * @packageDocumentation
 */
import { MeanEstimator } from "../scheduling/estimators.js";
import { AgedMean } from "./agedMean.js";
import type { PartMemory } from "./partMemory.js";
import { PrefixCacheModel, type PromptPart } from "./prefixCacheModel.js";

/** A backend server that may be chosen. */
export interface PlacementServer {
    readonly id: string;
    readonly dataCentre: string;
    /** Maximum number of concurrent requests. */
    readonly slots: number;
    /** Token capacity of the engine's KV cache; undefined for plain services. */
    readonly capacityTokens: number | undefined;
    /** Whether the platform may reclaim the server at short notice. */
    readonly isReclaimable: boolean;
}

/** The load that a server reported with an answer. */
export interface TimedLoad {
    readonly running: number;
    readonly waiting: number;
    readonly atMs: number;
}

/** The outcome of an exchange with a server, as far as it matters for choosing servers. */
export type PlacementOutcome =
    /** The server answered, or the caller cancelled the request. */
    | "answered"
    /** The server answered with an error status of its own. */
    | "failedStatus"
    /** The server reported that it did not execute the request. */
    | "rejected"
    /** The connection failed, or the answer was invalid or missing. */
    | "broken"
    /** The exchange ended for a reason unrelated to the server. */
    | "cancelled";

/**
 * Weight of the latest outcome in the failure share. Low enough that a chance series of failures of a healthy server
 * has little effect.
 */
const failureGain = 0.15;
/** Time to avoid a server after a broken exchange; doubles with each consecutive one, up to the maximum. */
const initialAvoidMs = 400;
const maximumAvoidMs = 4_000;
/** Time for which a server is avoided after it rejected a request. */
const rejectedAvoidMs = 150;
/** Share of the engine's token capacity that can hold cached prompt parts; running requests use the rest. */
const usableCacheShare = 0.7;
/** Weight of a new sample in the estimates of slowness and answer time. */
const slownessGain = 0.15;
/**
 * Weight of a new sample in the mean service time, from which shares are computed. Higher weights let a server whose
 * sampled times were short by chance be overrun.
 */
const serviceGain = 0.02;
/** Bounds of the slowness, which is a factor relative to a server of normal speed. */
const minimumSlowness = 0.5;
const maximumSlowness = 30;

/**
 * Time constant of the average pace, in milliseconds. The pace changes many times a second; nodes that followed the last
 * value would all move to the same server.
 */
const paceTimeConstantMs = 1_000;
/** Time constant with which the pace of a server that reports none returns to the usual one, in milliseconds. */
const paceLifetimeMs = 5_000;
/** Bounds of a reported pace, as a multiple of the usual one; a value beyond them is an error of the server. */
const minimumPace = 0.1;
const maximumPace = 10;
/** Time constant of the average number of requests that a server reports beyond the known ones, in milliseconds. */
const unknownTimeConstantMs = 200;
/** Time constant with which this number loses weight, in milliseconds; about the time for which requests run. */
const unknownLifetimeMs = 1_000;

/** Holds the estimates about one server. */
export class ServerEstimate {
    readonly prefixCache: PrefixCacheModel;
    /** Requests of this node that are running or waiting on the server. */
    inFlight = 0;
    /** The last load that the server reported to this node. */
    load: TimedLoad | undefined;
    /** Time until which other servers are preferred, in monotonic milliseconds. */
    avoidUntilMs = Number.NEGATIVE_INFINITY;
    readonly answerMs: MeanEstimator;
    /** Time to the answer of a plain service without the time spent in its queue. */
    readonly serviceMs: MeanEstimator;
    private readonly slowness = new MeanEstimator(1, slownessGain);
    private failureShare = 0;
    private consecutiveBroken = 0;
    private readonly pace = new AgedMean(paceTimeConstantMs, paceLifetimeMs);
    private readonly unknownRequests = new AgedMean(unknownTimeConstantMs, unknownLifetimeMs);

    /**
     * @param server - The server.
     * @param initialAnswerMs - The answer time assumed until one has been measured, in milliseconds.
     * @param partMemory - Bounds what the node knows of the prefix caches of all engines.
     */
    constructor(
        public server: PlacementServer,
        initialAnswerMs: number,
        partMemory: PartMemory,
    ) {
        this.prefixCache = new PrefixCacheModel((server.capacityTokens ?? 0) * usableCacheShare, partMemory);
        this.answerMs = new MeanEstimator(initialAnswerMs, slownessGain);
        this.serviceMs = new MeanEstimator(initialAnswerMs, serviceGain);
    }

    /** @returns The factor by which the server is slower than expected. */
    readSlowness(): number {
        return Math.min(maximumSlowness, Math.max(minimumSlowness, this.slowness.readMean()));
    }

    /**
     * Records how long work takes on the server's host.
     *
     * @param pace - The reported time as a multiple of the usual one, a positive number.
     * @param nowMs - The monotonic time, in milliseconds.
     */
    recordPace(pace: number, nowMs: number): void {
        this.pace.record(Math.min(maximumPace, Math.max(minimumPace, pace)) - 1, nowMs);
    }

    /** @returns How long work takes, as a multiple of the usual time; 1 when the server reports none. */
    readPace(nowMs: number): number {
        return 1 + this.pace.readMean(nowMs);
    }

    /**
     * Records how many requests the server reported.
     *
     * @param reported - The number of running and waiting requests.
     * @param known - The number of requests that this node knew of.
     * @param nowMs - The monotonic time, in milliseconds.
     */
    recordRequests(reported: number, known: number, nowMs: number): void {
        this.unknownRequests.record(reported - known, nowMs);
    }

    /** @returns How many requests the server has beyond the known ones; negative when some of these have ended. */
    readUnknownRequests(nowMs: number): number {
        return this.unknownRequests.readMean(nowMs);
    }

    /** @returns The recent share of failed exchanges, 0 to 1. */
    readFailureShare(): number {
        return this.failureShare;
    }

    /**
     * Records a measured time to the first event.
     *
     * @param elapsedMs - The time from dispatch to the first event, in milliseconds.
     * @param expectedMs - The time predicted for a server of normal speed, in milliseconds.
     */
    recordFirstEvent(elapsedMs: number, expectedMs: number): void {
        const ratio = elapsedMs / Math.max(expectedMs, 1);
        this.slowness.record(Math.min(maximumSlowness, Math.max(minimumSlowness, ratio)));
    }

    /**
     * Records the time to a complete answer of a plain service. The load that came with the answer tells how much of it
     * was spent in the queue: shares that followed the queue would swing between the servers.
     *
     * @param elapsedMs - The time from dispatch to the answer, in milliseconds.
     */
    recordAnswer(elapsedMs: number): void {
        this.answerMs.record(elapsedMs);
        const { load, server } = this;
        const queued = load === undefined ? 1 : (load.running + load.waiting + 1) / Math.max(1, server.slots);
        this.serviceMs.record(elapsedMs / Math.max(1, queued));
    }

    /** Records the outcome of an exchange. */
    recordOutcome(outcome: PlacementOutcome, nowMs: number): void {
        if (outcome === "cancelled") {
            return;
        }
        const failed = outcome === "failedStatus" || outcome === "broken" ? 1 : 0;
        this.failureShare += failureGain * (failed - this.failureShare);
        if (outcome === "broken") {
            this.consecutiveBroken += 1;
            const avoidMs = Math.min(maximumAvoidMs, initialAvoidMs * 2 ** (this.consecutiveBroken - 1));
            this.avoidUntilMs = nowMs + avoidMs;
            return;
        }
        this.consecutiveBroken = 0;
        if (outcome === "rejected") {
            this.avoidUntilMs = nowMs + rejectedAvoidMs;
        }
    }

    /** Records a prompt that the server processes. */
    recordPrompt(parts: readonly PromptPart[]): void {
        this.prefixCache.recordParts(parts);
    }
}
