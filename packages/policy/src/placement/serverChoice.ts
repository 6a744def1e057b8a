/**
 * Chooses one of the servers that may get a request.
 *
 * @packageDocumentation
 */
import type { CandidateSampling } from "./candidateSampling.js";
import { EvenShares, type SharedServer } from "./evenShares.js";
import { computeMemoryUse, type InFlightRequests } from "./inFlightRequests.js";
import type { MemoryUse } from "./memoryAccount.js";
import type { PlacementSettings } from "./placementSettings.js";
import type { PromptPart } from "./prefixCacheModel.js";
import {
    selectPreferredServers,
    type ChoiceView,
    type PlacementRequest,
    type ServerCost,
} from "./serverCost.js";
import type { ServerCostInputs } from "./serverCostInputs.js";
import type { PlacementServer, ServerEstimate } from "./serverEstimate.js";
import type { ServerRoom } from "./serverRoom.js";
import type { StreamIsolation } from "./streamIsolation.js";

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

/** Options of {@link ServerChoice}. */
export interface ServerChoiceOptions {
    readonly settings: PlacementSettings;
    readonly news: PlacementNews;
    readonly estimates: ReadonlyMap<string, ServerEstimate>;
    readonly inFlight: InFlightRequests;
    readonly isolation: StreamIsolation;
    readonly sampling: CandidateSampling;
    readonly cost: ServerCost;
    readonly room: ServerRoom;
}

/** Chooses servers by cost and room, or in turn where their load is known too late. */
export class ServerChoice {
    /** Whether servers without room for a request are avoided; only where servers report their pace. */
    usesRoom = false;
    private readonly shares: EvenShares;

    /** @param options - What is known about the servers and the requests in flight. */
    constructor(private readonly options: ServerChoiceOptions) {
        this.shares = new EvenShares(options.news.random);
    }

    /** Removes a server. */
    removeServer(id: string): void {
        this.shares.removeServer(id);
    }

    /**
     * Chooses the server of a request that is to be sent.
     *
     * @param request - The request.
     * @param ready - The servers that may get new requests.
     * @param nowMs - The monotonic time, in milliseconds.
     * @returns The server's identifier, or undefined when the request excludes every server.
     */
    chooseServer(
        request: PlacementRequest,
        ready: readonly PlacementServer[],
        nowMs: number,
    ): string | undefined {
        const pool = this.listPool(request, ready, nowMs);
        if (!this.isShared(pool)) {
            return this.findCheapest(request, pool, nowMs)?.id;
        }
        const servers = this.listShares(pool, nowMs);
        const chosen = this.shares.chooseServer(servers);
        if (chosen !== undefined) {
            this.shares.recordTurn(chosen, servers);
        }
        return chosen;
    }

    /**
     * Finds the server to which a request would be sent now, without counting its turn.
     *
     * @param request - The request.
     * @param ready - The servers that may get new requests.
     * @param nowMs - The monotonic time, in milliseconds.
     * @returns The server's identifier, or undefined when the request excludes every server.
     */
    findServer(
        request: PlacementRequest,
        ready: readonly PlacementServer[],
        nowMs: number,
    ): string | undefined {
        const pool = this.listPool(request, ready, nowMs);
        return this.isShared(pool)
            ? this.shares.chooseServer(this.listShares(pool, nowMs))
            : this.findCheapest(request, pool, nowMs)?.id;
    }

    /**
     * Lists what the choice compares, without choosing a server.
     *
     * @param request - The request.
     * @param servers - The servers.
     * @param nowMs - The monotonic time, in milliseconds.
     * @returns The inputs, by server; servers without estimates are left out.
     */
    listCostInputs(
        request: PlacementRequest,
        servers: readonly PlacementServer[],
        nowMs: number,
    ): ReadonlyMap<string, ServerCostInputs> {
        const { estimates, inFlight, cost } = this.options;
        const view = this.buildView(request, servers, nowMs);
        const use = computeMemoryUse(request);
        const inputs = new Map<string, ServerCostInputs>();
        for (const { id } of servers) {
            const estimate = estimates.get(id);
            if (estimate !== undefined) {
                inputs.set(id, {
                    costMs: cost.estimateCost(estimate, request, view, nowMs),
                    isAvoided: this.isAvoided(id, nowMs),
                    hasRoom: this.hasRoom(id, use, nowMs),
                    inFlight: inFlight.countRequests(id),
                    prefillTokens: inFlight.countPrefillTokens(id),
                    cachedTokens: estimate.prefixCache.countCachedTokens(request.parts),
                    slowness: estimate.readSlowness(),
                    pace: estimate.readPace(nowMs),
                    failureShare: estimate.readFailureShare(),
                    load: estimate.load,
                    loadAgeMs: estimate.load === undefined ? undefined : nowMs - estimate.load.atMs,
                });
            }
        }
        return inputs;
    }

    /** Lists the servers that may get a request: those that the request excludes never, avoided ones if need be. */
    private listPool(
        request: PlacementRequest,
        ready: readonly PlacementServer[],
        nowMs: number,
    ): readonly PlacementServer[] {
        const candidates = ready.filter((server) => !request.excluded.has(server.id));
        const notAvoided = candidates.filter((server) => !this.isAvoided(server.id, nowMs));
        return notAvoided.length > 0 ? notAvoided : candidates;
    }

    /** Checks whether the nodes learn of each other's requests to these servers too late to compare them by load. */
    private isShared(pool: readonly PlacementServer[]): boolean {
        const isPlain = pool[0] !== undefined && pool[0].capacityTokens === undefined;
        return isPlain && this.options.news.readDelayMs(false) > this.options.settings.maximumLoadAgeMs;
    }

    private listShares(pool: readonly PlacementServer[], nowMs: number): readonly SharedServer[] {
        return pool.flatMap(({ id }) => {
            const estimate = this.options.estimates.get(id);
            return estimate === undefined ? [] : [this.options.cost.estimateShare(estimate, nowMs)];
        });
    }

    private findCheapest(
        request: PlacementRequest,
        pool: readonly PlacementServer[],
        nowMs: number,
    ): PlacementServer | undefined {
        this.options.inFlight.removeStale(nowMs);
        const view = this.buildView(request, pool, nowMs);
        const sample = this.sampleCandidates(request, pool, view, nowMs);
        if (!this.usesRoom) {
            return this.findCheapestOf(sample, request, view, nowMs);
        }
        const use = computeMemoryUse(request);
        const hasRoom = ({ id }: PlacementServer): boolean => this.hasRoom(id, use, nowMs);
        const roomy = sample.filter(hasRoom);
        if (roomy.length > 0) {
            return this.findCheapestOf(roomy, request, view, nowMs);
        }
        const others = pool.filter(hasRoom);
        return this.findCheapestOf(others.length > 0 ? others : sample, request, view, nowMs);
    }

    private findCheapestOf(
        servers: readonly PlacementServer[],
        request: PlacementRequest,
        view: ChoiceView,
        nowMs: number,
    ): PlacementServer | undefined {
        let best: PlacementServer | undefined;
        let bestCost = Number.POSITIVE_INFINITY;
        for (const server of servers) {
            const estimate = this.options.estimates.get(server.id);
            const cost =
                estimate === undefined
                    ? Number.MAX_VALUE
                    : this.options.cost.estimateCost(estimate, request, view, nowMs);
            if (cost < bestCost) {
                best = server;
                bestCost = cost;
            }
        }
        return best;
    }

    private hasRoom(id: string, use: MemoryUse, nowMs: number): boolean {
        const estimate = this.options.estimates.get(id);
        return estimate === undefined || this.options.room.hasRoom(estimate, use, nowMs);
    }

    /** Samples the servers to compare: of those that suit the request, a few others, and all that cache its prompt. */
    private sampleCandidates(
        request: PlacementRequest,
        pool: readonly PlacementServer[],
        view: ChoiceView,
        nowMs: number,
    ): readonly PlacementServer[] {
        const isAnnounced = pool[0]?.capacityTokens !== undefined;
        const delayMs = this.options.news.readDelayMs(isAnnounced);
        const size = this.options.sampling.computeSampleSize(pool.length, delayMs, nowMs);
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
            ...this.options.sampling.chooseSample(group, size),
            ...this.options.sampling.chooseSample(others, 1),
        ];
    }

    private isAvoided(id: string, nowMs: number): boolean {
        return (this.options.estimates.get(id)?.avoidUntilMs ?? Number.NEGATIVE_INFINITY) > nowMs;
    }

    private buildView(
        request: PlacementRequest,
        pool: readonly PlacementServer[],
        nowMs: number,
    ): ChoiceView {
        const shared = request.parts.slice(0, -1);
        const maximumCachedTokens = Math.max(0, ...pool.map(({ id }) => this.countCachedTokens(id, shared)));
        const sensitivePauseMs = this.options.isolation.readSensitivePauseMs(nowMs);
        const prefillMs = request.promptTokens / this.options.settings.prefillTokensPerMs;
        const isSensitive = this.options.isolation.isSensitive(
            request.pauseTargetMs,
            prefillMs,
            sensitivePauseMs,
        );
        const engines = pool.filter(({ capacityTokens }) => capacityTokens !== undefined);
        const isolatedServers = this.options.isolation.selectServers(
            engines,
            this.options.inFlight.countStreams(sensitivePauseMs),
        );
        const group = pool.filter(({ id }) => isolatedServers.has(id) === isSensitive);
        const preferredRanks =
            maximumCachedTokens > 0 ? new Map<string, number>() : selectPreferredServers(request, group);
        return { preferredRanks, maximumCachedTokens, isolatedServers, isSensitive, sensitivePauseMs };
    }

    private countCachedTokens(id: string, parts: readonly PromptPart[]): number {
        return this.options.estimates.get(id)?.prefixCache.countCachedTokens(parts) ?? 0;
    }
}
