/**
 * Estimates what it costs to send a request to a server, in milliseconds of the caller's time.
 *
 * @packageDocumentation
 */
import { computeRendezvousWeight } from "../hashing/rendezvousWeight.js";
import type { SharedServer } from "./evenShares.js";
import { estimateDelayChance, type InFlightRequests } from "./inFlightRequests.js";
import type { PauseModel } from "./pauseModel.js";
import type { PlacementSettings } from "./placementSettings.js";
import type { PromptPart } from "./prefixCacheModel.js";
import type { PlacementServer, ServerEstimate } from "./serverEstimate.js";
import type { StreamIsolation } from "./streamIsolation.js";

/** The properties of a request on which the choice depends. */
export interface PlacementRequest {
    readonly parts: readonly PromptPart[];
    readonly promptTokens: number;
    /** Maximum pause between events that meets the target, in milliseconds; undefined if the answer isn't streamed. */
    readonly pauseTargetMs: number | undefined;
    /** Priority rank; 0 is the most urgent. Absent when it doesn't matter to the choice. */
    readonly priority?: number | undefined;
    /** Expected number of output tokens; absent when unknown. */
    readonly expectedOutputTokens?: number | undefined;
    /** Servers that already failed this request. */
    readonly excluded: ReadonlySet<string>;
}

/**
 * Probability that a server has cached a request's shared parts, by preference rank, while no server is known to have
 * them. Every node ranks the servers in the same order, so other nodes send such requests to the same servers.
 */
const preferredRankCacheChances: readonly number[] = [0.9, 0.3];
/** Shared parts cached elsewhere are recomputed only if waiting there costs over this multiple of the prefill. */
const recomputePenaltyFactor = 3;
/** Maximum slowness by which a predicted pause is scaled; a higher measured one comes from waiting, not from speed. */
const maximumPauseSlowness = 2;
/** Penalty for each stream that would exceed its pause target, in milliseconds of the caller's time. */
const lateStreamPenaltyMs = 400;
/** Penalty for the slower decoding steps of a full batch, scaled by slot utilization, in milliseconds. */
const batchPenaltyMs = 60;
/** Penalty for each waiting request that a server reported, in milliseconds. */
const waitingRequestPenaltyMs = 60;
/**
 * Penalty for a nearly full batch, scaled by the utilization above the threshold, in milliseconds: more urgent requests
 * still get in, others wait for a slot.
 */
const fullBatchPenaltyMs = 1_500;
/** Slot utilization above which a batch counts as nearly full. */
const nearlyFullShare = 0.85;
/** Additional cost of a server that always fails, as a multiple of the cost of one that never does. */
const failurePenaltyFactor = 12;
/** Share of the penalty for another data centre that a plain request gets, since it crosses once and not per event. */
const plainPenaltyShare = 1 / 4;
/** Shortest service time from which a share is computed, in milliseconds; 0 would give one server all requests. */
const minimumServiceMs = 1;

/** What a choice depends on beside the single server. */
export interface ChoiceView {
    /** Ranks of the servers to which every node sends such prompts first; empty when a server is known to have them. */
    readonly preferredRanks: ReadonlyMap<string, number>;
    /** Maximum number of tokens of the shared parts that any server is known to have cached. */
    readonly maximumCachedTokens: number;
    /** Servers that are kept for sensitive streams. */
    readonly isolatedServers: ReadonlySet<string>;
    /** Whether the request is a sensitive stream. */
    readonly isSensitive: boolean;
    /** Longest pause target of a sensitive stream, in milliseconds. */
    readonly sensitivePauseMs: number;
}

/** Options of {@link ServerCost}. */
export interface ServerCostOptions {
    readonly settings: PlacementSettings;
    readonly inFlight: InFlightRequests;
    readonly pauses: PauseModel;
    readonly isolation: StreamIsolation;
}

/** Estimates the cost of servers for the requests of one service. */
export class ServerCost {
    /** @param options - The assumed speeds, and what is known about requests in flight. */
    constructor(private readonly options: ServerCostOptions) {}

    /**
     * Estimates the cost of sending a request to a server.
     *
     * @param estimate - The server and what is known about it.
     * @param request - The request.
     * @param view - What the choice depends on beside the server.
     * @param nowMs - The monotonic time, in milliseconds.
     * @returns The cost, in milliseconds of the caller's time.
     */
    estimateCost(
        estimate: ServerEstimate,
        request: PlacementRequest,
        view: ChoiceView,
        nowMs: number,
    ): number {
        const { settings, inFlight, isolation } = this.options;
        const { server } = estimate;
        const dataCentrePenaltyMs =
            server.dataCentre === settings.dataCentre ? 0 : settings.otherDataCentrePenaltyMs;
        const failureFactor = computeFailureFactor(estimate);
        const isRecent =
            estimate.load !== undefined && nowMs - estimate.load.atMs < settings.maximumLoadAgeMs;
        const waiting = isRecent ? (estimate.load?.waiting ?? 0) : 0;
        const running = Math.max(
            inFlight.countRequests(server.id),
            isRecent ? (estimate.load?.running ?? 0) : 0,
        );
        const pace = estimate.readPace(nowMs);
        const utilization = running / Math.max(1, server.slots);
        if (server.capacityTokens === undefined) {
            const answerMs = estimate.answerMs.readMean() * pace;
            return (
                (answerMs * (1 + utilization + waiting / Math.max(1, server.slots)) +
                    dataCentrePenaltyMs * plainPenaltyShare) *
                failureFactor
            );
        }
        const cachedTokens = estimate.prefixCache.countCachedTokens(request.parts);
        const backlogMs = inFlight.countPrefillTokens(server.id) / settings.prefillTokensPerMs;
        const uncachedTokens = this.estimatePrefillTokens(estimate, request, view);
        const prefillMs =
            (this.estimatePrefillMs(uncachedTokens) + backlogMs) * estimate.readSlowness() * pace;
        const fullBatchMs =
            utilization > nearlyFullShare ? fullBatchPenaltyMs * (utilization - nearlyFullShare) : 0;
        const newPrefillMs = (request.promptTokens - cachedTokens) / settings.prefillTokensPerMs;
        const lateStreamsMs = lateStreamPenaltyMs * this.estimateDelayedStreams(estimate, request, nowMs);
        const isolationMs = isolation.computePenaltyMs(
            view.isSensitive,
            view.isolatedServers.has(server.id),
            newPrefillMs,
            view.sensitivePauseMs,
        );
        const waitMs =
            prefillMs + waiting * waitingRequestPenaltyMs + fullBatchMs + utilization * batchPenaltyMs;
        return (waitMs + dataCentrePenaltyMs + lateStreamsMs + isolationMs) * failureFactor;
    }

    /**
     * Estimates how many streams miss their pause targets because of a request: running ones because of its prefill, and
     * its own because of the prefill that the engine still has to do.
     *
     * @param estimate - The engine and what is known about it.
     * @param request - The request.
     * @param nowMs - The monotonic time, in milliseconds.
     * @returns The expected number of streams.
     */
    estimateDelayedStreams(estimate: ServerEstimate, request: PlacementRequest, nowMs: number): number {
        const { settings, inFlight, pauses } = this.options;
        const { id } = estimate.server;
        const pace = estimate.readPace(nowMs);
        const pauseSlowness = Math.min(maximumPauseSlowness, Math.max(1, estimate.readSlowness()));
        const backlogMs = inFlight.countPrefillTokens(id) / settings.prefillTokensPerMs;
        const newTokens = request.promptTokens - estimate.prefixCache.countCachedTokens(request.parts);
        const newPrefillMs = newTokens / settings.prefillTokensPerMs;
        const delayedStreams = inFlight.estimateDelayedStreams(
            id,
            pauses.predictPauseMs((newPrefillMs + backlogMs) * pauseSlowness) * pace,
        );
        const ownDelay = estimateDelayChance(
            pauses.predictPauseMs(backlogMs * pauseSlowness) * pace,
            request.pauseTargetMs,
        );
        return delayedStreams + ownDelay;
    }

    /**
     * Predicts the time to the first event of a request that an engine starts at once.
     *
     * @param estimate - The engine and what is known about it.
     * @param request - The request.
     * @param nowMs - The monotonic time, in milliseconds.
     * @returns The time, in milliseconds.
     */
    predictFirstEventMs(estimate: ServerEstimate, request: PlacementRequest, nowMs: number): number {
        const newTokens = request.promptTokens - estimate.prefixCache.countCachedTokens(request.parts);
        const tokens = this.options.inFlight.countPrefillTokens(estimate.server.id) + newTokens;
        return this.estimatePrefillMs(tokens) * estimate.readSlowness() * estimate.readPace(nowMs);
    }

    /**
     * Describes a plain server for {@link EvenShares}: its share is the greater the more it can serve and the less it
     * fails.
     *
     * @param estimate - The server and what is known about it.
     * @param nowMs - The monotonic time, in milliseconds.
     * @returns The server's share and reported load.
     */
    estimateShare(estimate: ServerEstimate, nowMs: number): SharedServer {
        const { settings } = this.options;
        const { server, load } = estimate;
        const dataCentrePenaltyMs =
            server.dataCentre === settings.dataCentre
                ? 0
                : settings.otherDataCentrePenaltyMs * plainPenaltyShare;
        const slots = Math.max(1, server.slots);
        const failureFactor = computeFailureFactor(estimate);
        const serviceMs = Math.max(
            minimumServiceMs,
            estimate.serviceMs.readMean() * estimate.readPace(nowMs),
        );
        return {
            id: server.id,
            weight: slots / ((serviceMs + dataCentrePenaltyMs) * failureFactor ** 2),
            load: load === undefined ? undefined : (load.running + load.waiting) / slots,
            loadAgeMs: load === undefined ? 0 : nowMs - load.atMs,
        };
    }

    /**
     * Estimates the time to the first event on an idle server of normal speed.
     *
     * @param tokens - Prompt tokens that the server has to prefill.
     * @returns The time, in milliseconds.
     */
    estimatePrefillMs(tokens: number): number {
        const { baseFirstEventMs, prefillTokensPerMs } = this.options.settings;
        return baseFirstEventMs + tokens / prefillTokensPerMs;
    }

    private estimatePrefillTokens(
        estimate: ServerEstimate,
        request: PlacementRequest,
        view: ChoiceView,
    ): number {
        const shared = request.parts.slice(0, -1);
        const cachedTokens = estimate.prefixCache.countCachedTokens(request.parts);
        const preferredRank = view.preferredRanks.get(estimate.server.id);
        const chance = preferredRank === undefined ? 0 : (preferredRankCacheChances[preferredRank] ?? 0);
        const expectedCachedTokens = Math.max(cachedTokens, chance * sumTokens(shared));
        const recomputedTokens = Math.max(
            0,
            view.maximumCachedTokens - estimate.prefixCache.countCachedTokens(shared),
        );
        return (
            Math.max(0, request.promptTokens - expectedCachedTokens) +
            (recomputePenaltyFactor - 1) * recomputedTokens
        );
    }
}

function computeFailureFactor(estimate: ServerEstimate): number {
    return 1 + failurePenaltyFactor * estimate.readFailureShare() ** 2;
}

function sumTokens(parts: readonly PromptPart[]): number {
    return parts.reduce((sum, part) => sum + part.tokens, 0);
}

/**
 * Ranks servers for the shared parts of a prompt, alike on every node.
 *
 * @param request - The request.
 * @param pool - The servers.
 * @returns The ranks by server; only those with a cache probability.
 */
export function selectPreferredServers(
    request: PlacementRequest,
    pool: readonly PlacementServer[],
): ReadonlyMap<string, number> {
    const shared = request.parts.at(-2);
    if (shared === undefined) {
        return new Map();
    }
    const ranked = pool
        .map((server) => ({ id: server.id, weight: computeRendezvousWeight(shared.id, server.id) }))
        .sort((left, right) => right.weight - left.weight)
        .slice(0, preferredRankCacheChances.length);
    return new Map(ranked.map(({ id }, rank) => [id, rank]));
}
