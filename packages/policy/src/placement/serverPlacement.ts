/**
 * Chooses the backend server of a request by cached prompt parts, load, speed, failures and data centre.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import type { PromptPart } from "./prefixCacheModel.js";
import type { PlacementSettings } from "./placementSettings.js";
import { InFlightRequests, type InFlightRequest } from "./inFlightRequests.js";
import {
    ServerEstimate,
    type PlacementOutcome,
    type PlacementServer,
    type TimedLoad,
} from "./serverEstimate.js";
import { CandidateSampling } from "./candidateSampling.js";
import { PauseModel } from "./pauseModel.js";
import { selectPreferredServers, ServerCost, type ChoiceView, type PlacementRequest } from "./serverCost.js";
import type { StartEstimate } from "./startEstimate.js";
import { StreamIsolation } from "./streamIsolation.js";

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

/** What the choice of a server compares. */
export interface ServerCostInputs {
    /** Estimated cost, in milliseconds of the caller's time. */
    readonly costMs: number;
    /** Whether other servers are preferred after a failure or a rejection. */
    readonly isAvoided: boolean;
    /** Requests of this node and its peers that are known to be in flight. */
    readonly inFlight: number;
    /** Prompt tokens that the server still has to prefill. */
    readonly prefillTokens: number;
    /** Tokens of the request's prompt that the server probably has cached. */
    readonly cachedTokens: number;
    /** Factor by which the server is slower than expected. */
    readonly slowness: number;
    /** Recent share of failed exchanges, 0 to 1. */
    readonly failureShare: number;
    /** The load that the server reported last; undefined when it reported none. */
    readonly load: TimedLoad | undefined;
    /** Age of that load, in milliseconds. */
    readonly loadAgeMs: number | undefined;
}

/** What a node learns of the requests of other nodes. */
export interface PlacementNews {
    /**
     * Reads the time until nodes know of each other's requests.
     *
     * @param isAnnounced - Whether nodes announce the requests of the service to each other.
     * @returns The time, in milliseconds.
     */
    readonly readDelayMs: (isAnnounced: boolean) => number;
    /** Source of randomness, 0 to 1. */
    readonly random: () => number;
}

/** The news of a node that learns of every request at once. */
const immediateNews: PlacementNews = { readDelayMs: () => 0, random: () => 0 };

/** Chooses servers for the requests of one service. */
export class ServerPlacement {
    private readonly estimates = new Map<string, ServerEstimate>();
    private readonly inFlight = new InFlightRequests();
    private sequence = 0;
    private readonly isolation = new StreamIsolation();
    private readonly pauses = new PauseModel();
    private readonly sampling: CandidateSampling;
    private readonly cost: ServerCost;

    /**
     * @param settings - The assumed speeds and penalties.
     * @param clock - The node's clock.
     * @param news - How late this node learns of the requests of others, and its source of randomness.
     */
    constructor(
        private readonly settings: PlacementSettings,
        private readonly clock: Clock,
        private readonly news: PlacementNews = immediateNews,
    ) {
        this.sampling = new CandidateSampling(news.random);
        const { inFlight, pauses, isolation } = this;
        this.cost = new ServerCost({ settings, inFlight, pauses, isolation });
    }

    /**
     * Replaces the servers. The estimates of servers that remain, or still have requests in flight, are kept.
     *
     * @param servers - The servers that may get new requests.
     */
    updateServers(servers: readonly PlacementServer[]): void {
        const present = new Set(servers.map((server) => server.id));
        this.isolation.updateServers(servers);
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
     * Counts the requests of this node and its peers that are known to be in flight on a server.
     *
     * @param id - The server.
     * @returns The number of requests.
     */
    countInFlight(id: string): number {
        return this.inFlight.countRequests(id);
    }

    /**
     * Chooses the server with the lowest estimated cost.
     *
     * @param request - The request.
     * @param ready - The servers that may get new requests.
     * @returns The server's identifier, or undefined when the request excludes every server.
     */
    chooseServer(request: PlacementRequest, ready: readonly PlacementServer[]): string | undefined {
        return this.findCheapest(request, ready)?.id;
    }

    /**
     * Predicts the start of a request at the server that it would be sent to now.
     *
     * @param request - The request.
     * @param ready - The servers that may get new requests.
     * @returns The prediction, or undefined when no server may take the request.
     */
    estimateStart(request: PlacementRequest, ready: readonly PlacementServer[]): StartEstimate | undefined {
        const server = this.findCheapest(request, ready);
        const estimate = server === undefined ? undefined : this.estimates.get(server.id);
        if (server === undefined || estimate === undefined) {
            return undefined;
        }
        const uncachedTokens = request.promptTokens - estimate.prefixCache.countCachedTokens(request.parts);
        const backlogTokens = this.inFlight.countPrefillTokens(server.id);
        const isEngine = server.capacityTokens !== undefined;
        const startMs = isEngine
            ? this.cost.estimatePrefillMs(backlogTokens + uncachedTokens) * estimate.readSlowness()
            : estimate.answerMs.readMean();
        const pauseMs = this.pauses.predictPauseMs(
            (backlogTokens + uncachedTokens) / this.settings.prefillTokensPerMs,
        );
        const running = Math.max(this.inFlight.countRequests(server.id), estimate.load?.running ?? 0);
        return {
            serverId: server.id,
            startMs,
            hasRoom: running < server.slots,
            delayedStreams: this.inFlight.estimateDelayedStreams(server.id, pauseMs),
        };
    }

    private findCheapest(
        request: PlacementRequest,
        ready: readonly PlacementServer[],
    ): PlacementServer | undefined {
        const nowMs = this.clock.monotonicMs();
        const candidates = ready.filter((server) => !request.excluded.has(server.id));
        const notAvoided = candidates.filter((server) => !this.isAvoided(server.id, nowMs));
        const pool = notAvoided.length > 0 ? notAvoided : candidates;
        this.inFlight.removeStale(nowMs);
        const view = this.buildView(request, pool, nowMs);
        let best: PlacementServer | undefined;
        let bestCost = Number.POSITIVE_INFINITY;
        for (const server of this.sampleCandidates(request, pool, view, nowMs)) {
            const estimate = this.estimates.get(server.id);
            const cost =
                estimate === undefined
                    ? Number.MAX_VALUE
                    : this.cost.estimateCost(estimate, request, view, nowMs);
            if (cost < bestCost) {
                best = server;
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
        const expectedMs = this.cost.estimatePrefillMs(
            this.inFlight.countPrefillTokens(serverId) + uncachedTokens,
        );
        this.sequence += 1;
        const inFlightId = `own/${String(this.sequence)}`;
        const { pauseTargetMs } = request;
        this.isolation.recordPauseTarget(pauseTargetMs, sentMs);
        this.sampling.recordRequest(sentMs);
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
     * Records a pause between two events of a stream.
     *
     * @param placement - The placement of the request.
     * @param pauseMs - The pause, in milliseconds.
     */
    recordPause(placement: Placement, pauseMs: number): void {
        const tokens = this.inFlight.countPrefillTokens(placement.serverId);
        this.pauses.recordPause(pauseMs, tokens / this.settings.prefillTokensPerMs);
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
        const nowMs = this.clock.monotonicMs();
        this.isolation.recordPauseTarget(request.pauseTargetMs, nowMs);
        this.sampling.recordRequest(nowMs);
        this.inFlight.add(request, nowMs, false);
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

    /**
     * Lists what the choice of a server compares, without choosing one.
     *
     * @param request - The request.
     * @param servers - The servers.
     * @returns The inputs, by server; servers without estimates are left out.
     */
    explainCosts(
        request: PlacementRequest,
        servers: readonly PlacementServer[],
    ): ReadonlyMap<string, ServerCostInputs> {
        const nowMs = this.clock.monotonicMs();
        const view = this.buildView(request, servers, nowMs);
        const inputs = new Map<string, ServerCostInputs>();
        for (const { id } of servers) {
            const estimate = this.estimates.get(id);
            if (estimate !== undefined) {
                inputs.set(id, {
                    costMs: this.cost.estimateCost(estimate, request, view, nowMs),
                    isAvoided: this.isAvoided(id, nowMs),
                    inFlight: this.inFlight.countRequests(id),
                    prefillTokens: this.inFlight.countPrefillTokens(id),
                    cachedTokens: estimate.prefixCache.countCachedTokens(request.parts),
                    slowness: estimate.readSlowness(),
                    failureShare: estimate.readFailureShare(),
                    load: estimate.load,
                    loadAgeMs: estimate.load === undefined ? undefined : nowMs - estimate.load.atMs,
                });
            }
        }
        return inputs;
    }

    /** Samples the servers to compare: of those that suit the request, a few others, and all that cache its prompt. */
    private sampleCandidates(
        request: PlacementRequest,
        pool: readonly PlacementServer[],
        view: ChoiceView,
        nowMs: number,
    ): readonly PlacementServer[] {
        const isAnnounced = pool[0]?.capacityTokens !== undefined;
        const delayMs = this.news.readDelayMs(isAnnounced);
        const size = this.sampling.computeSampleSize(pool.length, delayMs, nowMs);
        if (size >= pool.length) {
            return pool;
        }
        const shared = request.parts.slice(0, -1);
        const caching = pool.filter(
            ({ id }) => view.preferredRanks.has(id) || this.countCachedTokens(id, shared) > 0,
        );
        const group = pool.filter(({ id }) => view.isolatedServers.has(id) === view.isSensitive);
        const others = pool.filter(({ id }) => view.isolatedServers.has(id) !== view.isSensitive);
        return [
            ...caching,
            ...this.sampling.chooseSample(group, size),
            ...this.sampling.chooseSample(others, 1),
        ];
    }

    private isAvoided(id: string, nowMs: number): boolean {
        return (this.estimates.get(id)?.avoidUntilMs ?? Number.NEGATIVE_INFINITY) > nowMs;
    }

    private buildView(
        request: PlacementRequest,
        pool: readonly PlacementServer[],
        nowMs: number,
    ): ChoiceView {
        const shared = request.parts.slice(0, -1);
        const maximumCachedTokens = Math.max(0, ...pool.map(({ id }) => this.countCachedTokens(id, shared)));
        const sensitivePauseMs = this.isolation.readSensitivePauseMs(nowMs);
        const prefillMs = request.promptTokens / this.settings.prefillTokensPerMs;
        const isSensitive = this.isolation.isSensitive(request.pauseTargetMs, prefillMs, sensitivePauseMs);
        const engines = pool.filter(({ capacityTokens }) => capacityTokens !== undefined);
        const isolatedServers = this.isolation.selectServers(
            engines,
            this.inFlight.countStreams(sensitivePauseMs),
        );
        const group = pool.filter(({ id }) => isolatedServers.has(id) === isSensitive);
        const preferredRanks =
            maximumCachedTokens > 0 ? new Map<string, number>() : selectPreferredServers(request, group);
        return { preferredRanks, maximumCachedTokens, isolatedServers, isSensitive, sensitivePauseMs };
    }

    private countCachedTokens(id: string, parts: readonly PromptPart[]): number {
        return this.estimates.get(id)?.prefixCache.countCachedTokens(parts) ?? 0;
    }
}
