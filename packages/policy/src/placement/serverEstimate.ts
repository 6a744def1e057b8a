/**
 * What one node believes of one backend server.
 *
 * @packageDocumentation
 */
import { MeanEstimator } from "../scheduling/estimators.js";
import { PrefixCacheModel, type PromptPart } from "./prefixCacheModel.js";

/** A backend server that may be chosen. */
export interface PlacementServer {
    readonly id: string;
    readonly dataCentre: string;
    /** Requests that it runs at once. */
    readonly slots: number;
    /** Tokens that an engine holds at the most; undefined for plain services. */
    readonly capacityTokens: number | undefined;
}

/** Load as a server told it with an answer. */
export interface TimedLoad {
    readonly running: number;
    readonly waiting: number;
    readonly atMs: number;
}

/** How an exchange with a server ended, for the choice of servers. */
export type PlacementOutcome =
    /** The server answered, or the caller gave up. */
    | "answered"
    /** The server answered with a failure of its own. */
    | "failedStatus"
    /** The server said that it did not run the request. */
    | "rejected"
    /** The connection failed, the answer was not valid, or there was none. */
    | "broken"
    /** Ended for a reason that says nothing about the server. */
    | "cancelled";

/** Share of a failing server's recent answers beyond which it is avoided; unlucky runs of healthy ones stay below. */
const failureGain = 0.15;
/** First time for which a server is avoided after a broken exchange, in milliseconds; doubles up to the longest. */
const initialAvoidMs = 400;
const maximumAvoidMs = 4_000;
const rejectedAvoidMs = 150;
/** An engine cannot hold more than this share of its memory in parts; the rest is in use by running requests. */
const usableCacheShare = 0.7;
const slownessGain = 0.15;
const minimumSlowness = 0.5;
const maximumSlowness = 30;

/** Estimates of one server. */
export class ServerEstimate {
    readonly prefixCache: PrefixCacheModel;
    /** Requests of this node that run or wait there. */
    inFlight = 0;
    load: TimedLoad | undefined;
    avoidUntilMs = Number.NEGATIVE_INFINITY;
    readonly answerMs: MeanEstimator;
    private readonly slowness = new MeanEstimator(1, slownessGain);
    private failureShare = 0;
    private consecutiveBroken = 0;

    /**
     * @param server - The server.
     * @param initialAnswerMs - Time of an answer until one was measured, in milliseconds.
     */
    constructor(
        public server: PlacementServer,
        initialAnswerMs: number,
    ) {
        this.prefixCache = new PrefixCacheModel((server.capacityTokens ?? 0) * usableCacheShare);
        this.answerMs = new MeanEstimator(initialAnswerMs, slownessGain);
    }

    /** @returns How many times slower than expected the server is. */
    readSlowness(): number {
        return Math.min(maximumSlowness, Math.max(minimumSlowness, this.slowness.readMean()));
    }

    /** @returns Recent share of failures, 0 to 1. */
    readFailureShare(): number {
        return this.failureShare;
    }

    /**
     * Notes how long the first event took.
     *
     * @param elapsedMs - From the send to the first event.
     * @param expectedMs - What was predicted for a server of usual speed.
     */
    recordFirstEvent(elapsedMs: number, expectedMs: number): void {
        const ratio = elapsedMs / Math.max(expectedMs, 1);
        this.slowness.record(Math.min(maximumSlowness, Math.max(minimumSlowness, ratio)));
    }

    /**
     * Notes how an exchange ended.
     *
     * @param outcome - How.
     * @param nowMs - Monotonic time, in milliseconds.
     */
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

    /** @param parts - A prompt that the server reads. */
    recordPrompt(parts: readonly PromptPart[]): void {
        this.prefixCache.recordParts(parts);
    }
}
