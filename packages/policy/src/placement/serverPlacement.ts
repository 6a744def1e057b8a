/**
 * Chooses the backend server of a request by cached prompt parts, load, speed, failures and data centre.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import { computeRendezvousWeight } from "../hashing/rendezvousWeight.js";
import type { PromptPart } from "./prefixCacheModel.js";
import type { PlacementSettings } from "./placementSettings.js";
import { InFlightRequests, type InFlightRequest } from "./inFlightRequests.js";
import { ServerEstimate, type PlacementOutcome, type PlacementServer } from "./serverEstimate.js";

/** The properties of a request on which the choice depends. */
export interface PlacementRequest {
    readonly parts: readonly PromptPart[];
    readonly promptTokens: number;
    /** Maximum pause between events that meets the target, in milliseconds; undefined if the answer isn't streamed. */
    readonly pauseTargetMs: number | undefined;
    /** Servers that already failed this request. */
    readonly excluded: ReadonlySet<string>;
}

/** A request that was sent to a server. */
export interface Placement {
    /** Identifies the in-flight request on this node. */
    readonly inFlightId: string;
    readonly serverId: string;
    /** Prompt tokens that the server probably has to prefill. */
    readonly uncachedTokens: number;
    readonly sentMs: number;
    /** Predicted time to the first event on a server of normal speed, in milliseconds. */
    readonly expectedMs: number;
}

/**
 * Probability that a server has cached a request's shared parts, by preference rank, while no server is known to have
 * them. Every node ranks the servers in the same order, so other nodes send such requests to the same servers.
 */
const preferredRankCacheChances: readonly number[] = [0.9, 0.3];
/** Shared parts cached elsewhere are recomputed only if waiting there costs over this multiple of the prefill. */
const recomputePenaltyFactor = 3;
/** Rendezvous hashing key by which all nodes select the same servers for short prompts. */
const shortPromptGroupKey = "quiet";
/** Share of the servers that long prompts avoid, in favour of short ones, while there is a choice. */
const shortPromptServerShare = 1 / 3;
/** Penalty for a long prompt on a server preferred by short ones, or a short one elsewhere, in milliseconds. */
const wrongGroupPenaltyMs = 20;
/** A prompt is long when its prefill takes at least this share of the shortest pause target of any stream. */
const longPromptPauseShare = 0.5;
/** Share of a prefill's duration that streams see as one pause: engines prefill in chunks between their tokens. */
const prefillPauseShare = 1;
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

/** Where the shared parts of a prompt are cached, and which servers suit its length. */
interface CacheView {
    /** Ranks of the servers to which every node sends such prompts first; empty when a server is known to have them. */
    readonly preferredRanks: ReadonlyMap<string, number>;
    /** Maximum number of tokens of the shared parts that any server is known to have cached. */
    readonly maximumCachedTokens: number;
    /** Servers that short prompts prefer and long prompts avoid; every node selects the same ones. */
    readonly shortPromptServers: ReadonlySet<string>;
    readonly isLongPrompt: boolean;
}

/** Chooses servers for the requests of one service. */
export class ServerPlacement {
    private readonly estimates = new Map<string, ServerEstimate>();
    private readonly inFlight = new InFlightRequests();
    private sequence = 0;
    /** Shortest pause target of any stream seen so far, in milliseconds. */
    private minimumPauseTargetMs = Number.POSITIVE_INFINITY;

    /**
     * @param settings - The assumed speeds and penalties.
     * @param clock - The node's clock.
     */
    constructor(
        private readonly settings: PlacementSettings,
        private readonly clock: Clock,
    ) {}

    /**
     * Replaces the servers. The estimates of servers that remain, or still have requests in flight, are kept.
     *
     * @param servers - The servers that may get new requests.
     */
    updateServers(servers: readonly PlacementServer[]): void {
        const present = new Set(servers.map((server) => server.id));
        for (const [id, estimate] of this.estimates) {
            if (!present.has(id) && estimate.inFlight === 0) {
                this.estimates.delete(id);
            }
        }
        for (const server of servers) {
            const known = this.estimates.get(server.id);
            if (known === undefined) {
                this.estimates.set(server.id, new ServerEstimate(server, this.settings.initialPlainAnswerMs));
            } else {
                known.server = server;
            }
        }
    }

    /** Discards the estimates of a server that restarted. */
    removeServer(id: string): void {
        this.estimates.delete(id);
    }

    /**
     * Finds the estimates of a server.
     *
     * @param id - The server.
     * @returns The estimates, or undefined when the server isn't known.
     */
    findEstimate(id: string): ServerEstimate | undefined {
        return this.estimates.get(id);
    }

    /**
     * Chooses the server with the lowest estimated cost.
     *
     * @param request - The request.
     * @param ready - The servers that may get new requests.
     * @returns The server's identifier, or undefined when the request excludes every server.
     */
    chooseServer(request: PlacementRequest, ready: readonly PlacementServer[]): string | undefined {
        const nowMs = this.clock.monotonicMs();
        const candidates = ready.filter((server) => !request.excluded.has(server.id));
        const notAvoided = candidates.filter((server) => !this.isAvoided(server.id, nowMs));
        const pool = notAvoided.length > 0 ? notAvoided : candidates;
        this.inFlight.removeStale(nowMs);
        const cache = this.summarizeCache(request, pool);
        let best: string | undefined;
        let bestCost = Number.POSITIVE_INFINITY;
        for (const server of pool) {
            const cost = this.estimateCost(server, request, cache, nowMs);
            if (cost < bestCost) {
                best = server.id;
                bestCost = cost;
            }
        }
        return best;
    }

    /**
     * Records that a request is sent to a server.
     *
     * @param serverId - The chosen server.
     * @param request - The request.
     * @returns The placement to pass to {@link ServerPlacement.recordFirstEvent} and {@link ServerPlacement.recordEnd}.
     */
    recordDispatch(serverId: string, request: PlacementRequest): Placement {
        const estimate = this.estimates.get(serverId);
        const sentMs = this.clock.monotonicMs();
        const cachedTokens = estimate?.prefixCache.countCachedTokens(request.parts) ?? 0;
        const uncachedTokens = Math.max(0, request.promptTokens - cachedTokens);
        const expectedMs = this.estimatePrefillMs(
            this.inFlight.countPrefillTokens(serverId) + uncachedTokens,
        );
        this.sequence += 1;
        const inFlightId = `own/${String(this.sequence)}`;
        const { pauseTargetMs } = request;
        this.recordPauseTarget(pauseTargetMs);
        this.inFlight.add({ id: inFlightId, serverId, tokens: uncachedTokens, pauseTargetMs }, sentMs, true);
        if (estimate !== undefined) {
            estimate.inFlight += 1;
            estimate.recordPrompt(request.parts);
        }
        return { inFlightId, serverId, uncachedTokens, sentMs, expectedMs };
    }

    /**
     * Records the first event of a request.
     *
     * @param placement - The placement of the request.
     */
    recordFirstEvent(placement: Placement): void {
        this.inFlight.recordFirstEvent(placement.inFlightId);
        const estimate = this.estimates.get(placement.serverId);
        if (estimate === undefined) {
            return;
        }
        const elapsedMs = this.clock.monotonicMs() - placement.sentMs;
        if (estimate.server.capacityTokens === undefined) {
            estimate.answerMs.record(elapsedMs);
        } else {
            estimate.recordFirstEvent(elapsedMs, placement.expectedMs);
        }
    }

    /**
     * Records the end of an exchange.
     *
     * @param placement - The placement of the request.
     * @param outcome - The outcome of the exchange.
     */
    recordEnd(placement: Placement, outcome: PlacementOutcome): void {
        this.inFlight.finish(placement.inFlightId);
        const estimate = this.estimates.get(placement.serverId);
        if (estimate === undefined) {
            return;
        }
        estimate.inFlight -= 1;
        estimate.recordOutcome(outcome, this.clock.monotonicMs());
    }

    /**
     * Records the load that a server reported with an answer.
     *
     * @param serverId - The server.
     * @param running - The number of requests running on the server.
     * @param waiting - The number of requests waiting on the server.
     */
    recordLoad(serverId: string, running: number, waiting: number): void {
        const estimate = this.estimates.get(serverId);
        if (estimate !== undefined) {
            estimate.load = { running, waiting, atMs: this.clock.monotonicMs() };
        }
    }

    /**
     * Records a request that another node sent.
     *
     * @param request - The in-flight request.
     * @param shared - The shared parts of the prompt, which the server will then have cached.
     */
    recordPeerDispatch(request: InFlightRequest, shared: readonly PromptPart[]): void {
        this.recordPauseTarget(request.pauseTargetMs);
        this.inFlight.add(request, this.clock.monotonicMs(), false);
        this.estimates.get(request.serverId)?.recordPrompt(shared);
    }

    /** Records the first event of another node's request, given its in-flight identifier. */
    recordPeerFirstEvent(id: string): void {
        this.inFlight.recordFirstEvent(id);
    }

    /** Records the end of another node's request, given its in-flight identifier. */
    recordPeerEnd(id: string): void {
        this.inFlight.finish(id);
    }

    private recordPauseTarget(pauseTargetMs: number | undefined): void {
        this.minimumPauseTargetMs = Math.min(
            this.minimumPauseTargetMs,
            pauseTargetMs ?? Number.POSITIVE_INFINITY,
        );
    }

    /** Checks whether prefilling the complete prompt could delay the most sensitive concurrent streams. */
    private isLongPrompt(request: PlacementRequest): boolean {
        const prefillMs = request.promptTokens / this.settings.prefillTokensPerMs;
        return prefillMs >= longPromptPauseShare * this.minimumPauseTargetMs;
    }

    private isAvoided(id: string, nowMs: number): boolean {
        return (this.estimates.get(id)?.avoidUntilMs ?? Number.NEGATIVE_INFINITY) > nowMs;
    }

    private estimateCost(
        server: PlacementServer,
        request: PlacementRequest,
        cache: CacheView,
        nowMs: number,
    ): number {
        const estimate = this.estimates.get(server.id);
        if (estimate === undefined) {
            return Number.MAX_VALUE;
        }
        const dataCentrePenaltyMs =
            server.dataCentre === this.settings.dataCentre ? 0 : this.settings.otherDataCentrePenaltyMs;
        const failureFactor = 1 + failurePenaltyFactor * estimate.readFailureShare() ** 2;
        const isRecent =
            estimate.load !== undefined && nowMs - estimate.load.atMs < this.settings.maximumLoadAgeMs;
        const waiting = isRecent ? (estimate.load?.waiting ?? 0) : 0;
        const running = Math.max(
            this.inFlight.countRequests(server.id),
            isRecent ? (estimate.load?.running ?? 0) : 0,
        );
        const utilization = running / Math.max(1, server.slots);
        if (server.capacityTokens === undefined) {
            const answerMs = estimate.answerMs.readMean();
            return (
                (answerMs * (1 + utilization + waiting / Math.max(1, server.slots)) +
                    dataCentrePenaltyMs / 4) *
                failureFactor
            );
        }
        const cachedTokens = estimate.prefixCache.countCachedTokens(request.parts);
        const backlogMs = this.inFlight.countPrefillTokens(server.id) / this.settings.prefillTokensPerMs;
        const uncachedTokens = this.estimatePrefillTokens(estimate, request, cache);
        const prefillMs = (this.estimatePrefillMs(uncachedTokens) + backlogMs) * estimate.readSlowness();
        const fullBatchMs =
            utilization > nearlyFullShare ? fullBatchPenaltyMs * (utilization - nearlyFullShare) : 0;
        const newPrefillMs = (request.promptTokens - cachedTokens) / this.settings.prefillTokensPerMs;
        const delayedStreams = this.inFlight.countDelayedStreams(
            server.id,
            (newPrefillMs + backlogMs) * prefillPauseShare,
        );
        const isDelayed = (request.pauseTargetMs ?? Number.POSITIVE_INFINITY) < backlogMs * prefillPauseShare;
        const lateStreamsMs = lateStreamPenaltyMs * (delayedStreams + Number(isDelayed));
        const wrongGroupMs =
            cache.isLongPrompt === cache.shortPromptServers.has(server.id) ? wrongGroupPenaltyMs : 0;
        const waitMs =
            prefillMs + waiting * waitingRequestPenaltyMs + fullBatchMs + utilization * batchPenaltyMs;
        return (waitMs + dataCentrePenaltyMs + lateStreamsMs + wrongGroupMs) * failureFactor;
    }

    private summarizeCache(request: PlacementRequest, pool: readonly PlacementServer[]): CacheView {
        const shared = request.parts.slice(0, -1);
        const maximumCachedTokens = Math.max(0, ...pool.map(({ id }) => this.countCachedTokens(id, shared)));
        const shortPromptServers = selectShortPromptServers(pool);
        const isLongPrompt = this.isLongPrompt(request);
        const longPromptServers = pool.filter(({ id }) => !shortPromptServers.has(id));
        const preferredRanks =
            maximumCachedTokens > 0
                ? new Map<string, number>()
                : selectPreferredServers(request, isLongPrompt ? longPromptServers : pool);
        return {
            preferredRanks,
            maximumCachedTokens,
            shortPromptServers,
            isLongPrompt,
        };
    }

    private estimatePrefillTokens(
        estimate: ServerEstimate,
        request: PlacementRequest,
        cache: CacheView,
    ): number {
        const shared = request.parts.slice(0, -1);
        const cachedTokens = estimate.prefixCache.countCachedTokens(request.parts);
        const preferredRank = cache.preferredRanks.get(estimate.server.id);
        const chance = preferredRank === undefined ? 0 : (preferredRankCacheChances[preferredRank] ?? 0);
        const expectedCachedTokens = Math.max(cachedTokens, chance * sumTokens(shared));
        const recomputedTokens = Math.max(
            0,
            cache.maximumCachedTokens - estimate.prefixCache.countCachedTokens(shared),
        );
        return (
            Math.max(0, request.promptTokens - expectedCachedTokens) +
            (recomputePenaltyFactor - 1) * recomputedTokens
        );
    }

    private countCachedTokens(id: string, parts: readonly PromptPart[]): number {
        return this.estimates.get(id)?.prefixCache.countCachedTokens(parts) ?? 0;
    }

    private estimatePrefillMs(tokens: number): number {
        return this.settings.baseFirstEventMs + tokens / this.settings.prefillTokensPerMs;
    }
}

/** Selects the servers for short prompts by their identifiers alone, so that every node selects the same ones. */
function selectShortPromptServers(pool: readonly PlacementServer[]): ReadonlySet<string> {
    const ranked = pool
        .map(({ id }) => ({ id, weight: computeRendezvousWeight(shortPromptGroupKey, id) }))
        .sort((left, right) => right.weight - left.weight);
    return new Set(ranked.slice(0, Math.floor(pool.length * shortPromptServerShare)).map(({ id }) => id));
}

function sumTokens(parts: readonly PromptPart[]): number {
    return parts.reduce((sum, part) => sum + part.tokens, 0);
}

/** Ranks servers for the shared parts, alike on every node; only ranks with a cache probability are kept. */
function selectPreferredServers(
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
