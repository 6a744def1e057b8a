/**
 * Chooses the backend server of a request: cached parts of the prompt, load, speed, failures and place.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import { computeRendezvousWeight } from "../hashing/rendezvousWeight.js";
import type { PromptPart } from "./prefixCacheModel.js";
import type { PlacementSettings } from "./placementSettings.js";
import { InFlightRequests, type InFlightRequest } from "./inFlightRequests.js";
import { ServerEstimate, type PlacementOutcome, type PlacementServer } from "./serverEstimate.js";

/** What the choice depends on. */
export interface PlacementRequest {
    readonly parts: readonly PromptPart[];
    readonly promptTokens: number;
    /** Longest pause between events with which the answer is on time, in milliseconds; undefined for whole answers. */
    readonly pauseTargetMs: number | undefined;
    /** Servers that already failed this request. */
    readonly excluded: ReadonlySet<string>;
}

/** A request that was sent to a server. */
export interface Placement {
    /** Names the send on this node. */
    readonly inFlightId: string;
    readonly serverId: string;
    /** Prompt tokens that the server probably has to read. */
    readonly uncachedTokens: number;
    readonly sentMs: number;
    /** Predicted time to the first event at a server of usual speed, in milliseconds. */
    readonly expectedMs: number;
}

/**
 * Chance that a server has a request's shared parts because other nodes send such requests there: every node
 * ranks the servers alike. Counts only while no server is known to have them.
 */
const preferredRankCacheChances: readonly number[] = [0.9, 0.3];
/** Shared parts that another server has are read again only if waiting there costs more than so many times the reading. */
const recomputePenaltyFactor = 3;
const shortPromptGroupKey = "quiet";
/** Share of the servers that long prompts leave to short ones while there is a choice. */
const shortPromptServerShare = 1 / 3;
/** Cost of sending a long prompt to a quiet server, or a short one to another, in milliseconds. */
const wrongGroupPenaltyMs = 20;
/** A prompt is long when reading it takes this share of the shortest pause that streams bear. */
const longPromptPauseShare = 0.5;
/** Share of a reading that shows as one pause in the streams beside it: it goes on in chunks between their tokens. */
const prefillPauseShare = 1;
/** Cost of making another stream late, in milliseconds of a caller's time. */
const lateStreamPenaltyMs = 400;
/** Cost of a full batch's slower steps, in milliseconds. */
const batchPenaltyMs = 60;
/** Cost of one waiting request that a server reported, in milliseconds. */
const waitingRequestPenaltyMs = 60;
/** Cost of a full batch, in milliseconds: more urgent requests still pass, others wait for a slot. */
const fullBatchPenaltyMs = 1_500;
/** Share of the slots beyond which a batch counts as nearly full. */
const nearlyFullShare = 0.85;
/** How much a server that always fails costs more than one that never does. */
const failurePenaltyFactor = 12;

/** What is known of where the shared parts of a prompt are. */
interface CacheView {
    /** Ranks of the servers to which every node sends such prompts first; empty when a server is known to have them. */
    readonly preferredRanks: ReadonlyMap<string, number>;
    /** Most tokens of the shared parts that one server is known to have. */
    readonly maximumCachedTokens: number;
    /** Servers that short prompts prefer and long ones leave to them; every node selects the same. */
    readonly shortPromptServers: ReadonlySet<string>;
    readonly isLongPrompt: boolean;
}

/** Chooses servers of one service. */
export class ServerPlacement {
    private readonly estimates = new Map<string, ServerEstimate>();
    private readonly inFlight = new InFlightRequests();
    private sequence = 0;
    /** Shortest pause that any known stream bears, in milliseconds. */
    private minimumPauseTargetMs = Number.POSITIVE_INFINITY;

    /**
     * @param settings - Speeds and costs.
     * @param clock - The node's clock.
     */
    constructor(
        private readonly settings: PlacementSettings,
        private readonly clock: Clock,
    ) {}

    /**
     * Replaces the servers; what is known of those that stay is kept.
     *
     * @param servers - Servers that may get new work.
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

    /**
     * Forgets what is known of a server, because it started again.
     *
     * @param id - The server.
     */
    removeServer(id: string): void {
        this.estimates.delete(id);
    }

    /**
     * Finds the estimates of a server.
     *
     * @param id - The server.
     * @returns The estimates, or undefined for an unknown server.
     */
    findEstimate(id: string): ServerEstimate | undefined {
        return this.estimates.get(id);
    }

    /**
     * Chooses a server.
     *
     * @param request - The request.
     * @param ready - Servers that may get new work.
     * @returns The server's identifier, or undefined when there is none.
     */
    chooseServer(request: PlacementRequest, ready: readonly PlacementServer[]): string | undefined {
        const nowMs = this.clock.monotonicMs();
        const candidates = ready.filter((server) => !request.excluded.has(server.id));
        const calm = candidates.filter((server) => !this.isAvoided(server.id, nowMs));
        const pool = calm.length > 0 ? calm : candidates;
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
     * Notes that a request is sent.
     *
     * @param serverId - The chosen server.
     * @param request - The request.
     * @returns What {@link ServerPlacement.recordFirstEvent} and {@link ServerPlacement.recordEnd} need.
     */
    recordDispatch(serverId: string, request: PlacementRequest): Placement {
        const estimate = this.estimates.get(serverId);
        const sentMs = this.clock.monotonicMs();
        const held = estimate?.prefixCache.countCachedTokens(request.parts) ?? 0;
        const uncachedTokens = Math.max(0, request.promptTokens - held);
        const expectedMs = this.estimatePrefillMs(
            this.inFlight.countPrefillTokens(serverId) + uncachedTokens,
        );
        this.sequence += 1;
        const sendId = `own/${String(this.sequence)}`;
        const { pauseTargetMs } = request;
        this.recordPauseTarget(pauseTargetMs);
        this.inFlight.add({ id: sendId, serverId, tokens: uncachedTokens, pauseTargetMs }, sentMs, true);
        if (estimate !== undefined) {
            estimate.inFlight += 1;
            estimate.recordPrompt(request.parts);
        }
        return { inFlightId: sendId, serverId, uncachedTokens, sentMs, expectedMs };
    }

    /** @param placement - A request whose first event arrived. */
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
     * Notes that a request has left its server.
     *
     * @param placement - The request.
     * @param outcome - How it ended.
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
     * Notes the load that came with an answer.
     *
     * @param serverId - The server.
     * @param running - Requests that run there.
     * @param waiting - Requests that wait there.
     */
    recordLoad(serverId: string, running: number, waiting: number): void {
        const estimate = this.estimates.get(serverId);
        if (estimate !== undefined) {
            estimate.load = { running, waiting, atMs: this.clock.monotonicMs() };
        }
    }

    /**
     * Notes what another node sent.
     *
     * @param send - The send.
     * @param shared - The prompt's shared parts, which the server will then have.
     */
    recordPeerDispatch(send: InFlightRequest, shared: readonly PromptPart[]): void {
        this.recordPauseTarget(send.pauseTargetMs);
        this.inFlight.add(send, this.clock.monotonicMs(), false);
        this.estimates.get(send.serverId)?.recordPrompt(shared);
    }

    /** @param id - A send of another node whose first event arrived. */
    recordPeerFirstEvent(id: string): void {
        this.inFlight.recordFirstEvent(id);
    }

    /** @param id - A send of another node that ended. */
    recordPeerEnd(id: string): void {
        this.inFlight.finish(id);
    }

    private recordPauseTarget(pauseTargetMs: number | undefined): void {
        this.minimumPauseTargetMs = Math.min(
            this.minimumPauseTargetMs,
            pauseTargetMs ?? Number.POSITIVE_INFINITY,
        );
    }

    /** Whether reading the whole prompt would make the most sensitive streams beside it late. */
    private isLong(request: PlacementRequest): boolean {
        const readMs = request.promptTokens / this.settings.prefillTokensPerMs;
        return readMs >= longPromptPauseShare * this.minimumPauseTargetMs;
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
        const placeMs =
            server.dataCentre === this.settings.dataCentre ? 0 : this.settings.otherDataCentrePenaltyMs;
        const failures = 1 + failurePenaltyFactor * estimate.readFailureShare() ** 2;
        const isRecent =
            estimate.load !== undefined && nowMs - estimate.load.atMs < this.settings.maximumLoadAgeMs;
        const waiting = isRecent ? (estimate.load?.waiting ?? 0) : 0;
        const running = Math.max(
            this.inFlight.countRequests(server.id),
            isRecent ? (estimate.load?.running ?? 0) : 0,
        );
        const share = running / Math.max(1, server.slots);
        if (server.capacityTokens === undefined) {
            const answerMs = estimate.answerMs.readMean();
            return (answerMs * (1 + share + waiting / Math.max(1, server.slots)) + placeMs / 4) * failures;
        }
        const held = estimate.prefixCache.countCachedTokens(request.parts);
        const backlogMs = this.inFlight.countPrefillTokens(server.id) / this.settings.prefillTokensPerMs;
        const uncached = this.estimatePrefillTokens(estimate, request, cache);
        const readMs = (this.estimatePrefillMs(uncached) + backlogMs) * estimate.readSlowness();
        const fullMs = share > nearlyFullShare ? fullBatchPenaltyMs * (share - nearlyFullShare) : 0;
        const newReadMs = (request.promptTokens - held) / this.settings.prefillTokensPerMs;
        const disturbed = this.inFlight.countDelayedStreams(
            server.id,
            (newReadMs + backlogMs) * prefillPauseShare,
        );
        const isDisturbed =
            (request.pauseTargetMs ?? Number.POSITIVE_INFINITY) < backlogMs * prefillPauseShare;
        const pausesMs = lateStreamPenaltyMs * (disturbed + Number(isDisturbed));
        const quietMs =
            cache.isLongPrompt === cache.shortPromptServers.has(server.id) ? wrongGroupPenaltyMs : 0;
        const waitMs = readMs + waiting * waitingRequestPenaltyMs + fullMs + share * batchPenaltyMs;
        return (waitMs + placeMs + pausesMs + quietMs) * failures;
    }

    private summarizeCache(request: PlacementRequest, pool: readonly PlacementServer[]): CacheView {
        const shared = request.parts.slice(0, -1);
        const mostHeld = Math.max(0, ...pool.map(({ id }) => this.countCachedTokens(id, shared)));
        const quiet = selectShortPromptServers(pool);
        const isLong = this.isLong(request);
        const loud = pool.filter(({ id }) => !quiet.has(id));
        const homes =
            mostHeld > 0 ? new Map<string, number>() : selectPreferredServers(request, isLong ? loud : pool);
        return {
            preferredRanks: homes,
            maximumCachedTokens: mostHeld,
            shortPromptServers: quiet,
            isLongPrompt: isLong,
        };
    }

    private estimatePrefillTokens(
        estimate: ServerEstimate,
        request: PlacementRequest,
        cache: CacheView,
    ): number {
        const shared = request.parts.slice(0, -1);
        const held = estimate.prefixCache.countCachedTokens(request.parts);
        const homeRank = cache.preferredRanks.get(estimate.server.id);
        const chance = homeRank === undefined ? 0 : (preferredRankCacheChances[homeRank] ?? 0);
        const expected = Math.max(held, chance * sumTokens(shared));
        const readAgain = Math.max(
            0,
            cache.maximumCachedTokens - estimate.prefixCache.countCachedTokens(shared),
        );
        return Math.max(0, request.promptTokens - expected) + (recomputePenaltyFactor - 1) * readAgain;
    }

    private countCachedTokens(id: string, parts: readonly PromptPart[]): number {
        return this.estimates.get(id)?.prefixCache.countCachedTokens(parts) ?? 0;
    }

    private estimatePrefillMs(tokens: number): number {
        return this.settings.baseFirstEventMs + tokens / this.settings.prefillTokensPerMs;
    }
}

/** Selects the quiet servers by their identifiers alone, so that every node selects the same. */
function selectShortPromptServers(pool: readonly PlacementServer[]): ReadonlySet<string> {
    const ranked = pool
        .map(({ id }) => ({ id, weight: computeRendezvousWeight(shortPromptGroupKey, id) }))
        .sort((left, right) => right.weight - left.weight);
    return new Set(ranked.slice(0, Math.floor(pool.length * shortPromptServerShare)).map(({ id }) => id));
}

function sumTokens(parts: readonly PromptPart[]): number {
    return parts.reduce((sum, part) => sum + part.tokens, 0);
}

/** Ranks servers for the request's shared parts, alike on every node; only ranks with a chance are kept. */
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
