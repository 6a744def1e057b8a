/**
 * Chooses the backend server of a request by cached prompt parts, load, speed, failures and data centre.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import { PartMemory } from "./partMemory.js";
import type { PromptPart } from "./prefixCacheModel.js";
import type { PlacementSettings } from "./placementSettings.js";
import { computeMemoryUse, InFlightRequests, type InFlightRequest } from "./inFlightRequests.js";
import { ServerEstimate, type PlacementOutcome, type PlacementServer } from "./serverEstimate.js";
import { CandidateSampling } from "./candidateSampling.js";
import { PauseModel } from "./pauseModel.js";
import { ServerChoice, type PlacementNews } from "./serverChoice.js";
import { ServerCost, type PlacementRequest } from "./serverCost.js";
import type { ServerCostInputs } from "./serverCostInputs.js";
import { StartPrediction } from "./startPrediction.js";
import { ServerRoom, type FreeRoom, type RoomSummary } from "./serverRoom.js";
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
    /** Tokens of the prompt and the output that no other request shares. */
    readonly ownTokens: number;
}

/** The news of a node that learns of every request at once. */
const immediateNews: PlacementNews = { readDelayMs: () => 0, random: () => 0 };

/** Chooses servers for the requests of one service. */
export class ServerPlacement {
    private readonly estimates = new Map<string, ServerEstimate>();
    private readonly inFlight = new InFlightRequests();
    private sequence = 0;
    private dispatchesWithoutRoom = 0;
    private readonly isolation = new StreamIsolation();
    private readonly pauses = new PauseModel();
    private readonly sampling: CandidateSampling;
    private readonly choice: ServerChoice;
    private readonly cost: ServerCost;
    private readonly room: ServerRoom;
    private readonly starts: StartPrediction;

    /**
     * @param settings - The assumed speeds and penalties.
     * @param clock - The node's clock.
     * @param news - How late this node learns of the requests of others, and its source of randomness.
     * @param partMemory - Bounds what the node knows of the prefix caches of the engines of all services.
     */
    constructor(
        private readonly settings: PlacementSettings,
        private readonly clock: Clock,
        news: PlacementNews = immediateNews,
        private readonly partMemory = new PartMemory(),
    ) {
        this.sampling = new CandidateSampling(news.random);
        const { inFlight, pauses, isolation } = this;
        this.room = new ServerRoom(inFlight);
        this.cost = new ServerCost({ settings, inFlight, pauses, isolation });
        const { estimates, sampling, cost, room } = this;
        this.starts = new StartPrediction({ inFlight, cost, room });
        this.choice = new ServerChoice({
            settings,
            news,
            estimates,
            inFlight,
            isolation,
            sampling,
            cost,
            room,
        });
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
                this.removeEstimate(id);
                this.choice.removeServer(id);
            }
        }
        for (const server of servers) {
            const known = this.estimates.get(server.id);
            if (known === undefined) {
                const { initialPlainAnswerMs } = this.settings;
                const estimate = new ServerEstimate(server, initialPlainAnswerMs, this.partMemory);
                this.estimates.set(server.id, estimate);
            } else {
                known.server = server;
            }
        }
    }

    /** Discards the estimates of a server that restarted. */
    removeServer(id: string): void {
        this.removeEstimate(id);
        if (this.hasPace()) {
            this.inFlight.removeServer(id);
        }
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
        return this.choice.chooseServer(request, ready, this.clock.monotonicMs());
    }

    /**
     * Predicts the start of a request at the server that it would be sent to now.
     *
     * @param request - The request.
     * @param ready - The servers that may get new requests.
     * @returns The prediction, or undefined when no server may take the request.
     */
    estimateStart(request: PlacementRequest, ready: readonly PlacementServer[]): StartEstimate | undefined {
        const nowMs = this.clock.monotonicMs();
        const id = this.choice.findServer(request, ready, nowMs);
        const estimate = id === undefined ? undefined : this.estimates.get(id);
        if (estimate === undefined) {
            return undefined;
        }
        return this.starts.predictStart(estimate, request, nowMs);
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
        const use = computeMemoryUse(request);
        const { ownTokens, shared } = use;
        if (estimate !== undefined && this.hasPace() && !this.room.hasRoom(estimate, use, sentMs)) {
            this.dispatchesWithoutRoom += 1;
        }
        this.inFlight.add(
            { id: inFlightId, serverId, tokens: uncachedTokens, pauseTargetMs, ownTokens, shared },
            sentMs,
            true,
        );
        if (estimate !== undefined) {
            estimate.inFlight += 1;
            estimate.recordPrompt(request.parts);
        }
        return { inFlightId, serverId, uncachedTokens, sentMs, expectedMs, ownTokens };
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
        const nowMs = this.clock.monotonicMs();
        // The pace is accounted for on its own, so that speed is learned for a host at its usual pace.
        const elapsedMs = (nowMs - placement.sentMs) / estimate.readPace(nowMs);
        if (estimate.server.capacityTokens === undefined) {
            estimate.recordAnswer(elapsedMs);
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
        const pace = this.estimates.get(placement.serverId)?.readPace(this.clock.monotonicMs()) ?? 1;
        this.pauses.recordPause(pauseMs / pace, tokens / this.settings.prefillTokensPerMs);
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
        const nowMs = this.clock.monotonicMs();
        if (outcome === "answered") {
            this.starts.recordHold(nowMs - placement.sentMs);
        }
        estimate.recordOutcome(outcome, nowMs);
    }

    /**
     * Records the load that a server reported with an answer.
     *
     * @param serverId - The server.
     * @param running - The number of requests running on the server.
     * @param waiting - The number of requests waiting on the server.
     * @param pace - How long work takes on the server's host, as a multiple of the usual time; undefined when the server
     * doesn't report it.
     */
    recordLoad(serverId: string, running: number, waiting: number, pace?: number): void {
        const estimate = this.estimates.get(serverId);
        if (estimate === undefined) {
            return;
        }
        const nowMs = this.clock.monotonicMs();
        estimate.load = { running, waiting, atMs: nowMs };
        estimate.recordRequests(running + waiting, this.inFlight.countRequests(serverId), nowMs);
        if (pace !== undefined && pace > 0) {
            this.choice.usesRoom = true;
            estimate.recordPace(pace, nowMs);
        }
    }

    /**
     * Checks whether servers of the service report their pace. What depends on predicted start times is only used then.
     *
     * @returns Whether one has reported it.
     */
    hasPace(): boolean {
        return this.choice.usesRoom;
    }

    /**
     * Lists what the choice of a server compares, without choosing one.
     *
     * @param request - The request.
     * @param servers - The servers.
     * @returns The inputs, by server; servers without estimates are left out.
     */
    listCostInputs(
        request: PlacementRequest,
        servers: readonly PlacementServer[],
    ): ReadonlyMap<string, ServerCostInputs> {
        return this.choice.listCostInputs(request, servers, this.clock.monotonicMs());
    }

    /**
     * Summarizes the room on the servers, for operators.
     *
     * @param servers - The servers that may get new requests.
     * @returns The sums and the evenness.
     */
    summarizeRoom(servers: readonly PlacementServer[]): RoomSummary {
        return this.room.summarizeRoom(
            servers.flatMap(({ id }) => this.estimates.get(id) ?? []),
            this.clock.monotonicMs(),
        );
    }

    /** @returns The number of requests that were sent to a server without room since the last call. */
    takeDispatchesWithoutRoom(): number {
        const count = this.dispatchesWithoutRoom;
        this.dispatchesWithoutRoom = 0;
        return count;
    }

    /**
     * Predicts what is free on a server.
     *
     * @param id - The server.
     * @returns The free slots and tokens; undefined when the server isn't known.
     */
    predictFreeRoom(id: string): FreeRoom | undefined {
        const estimate = this.estimates.get(id);
        return estimate === undefined
            ? undefined
            : this.room.predictFreeRoom(estimate, this.clock.monotonicMs());
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
        this.inFlight.add({ ...request, shared }, nowMs, false);
        this.estimates.get(request.serverId)?.recordPrompt(shared);
    }

    private removeEstimate(id: string): void {
        this.estimates.get(id)?.prefixCache.clear();
        this.estimates.delete(id);
    }

    /** Records the first event of another node's request, given its in-flight identifier. */
    recordPeerFirstEvent(id: string): void {
        this.inFlight.recordFirstEvent(id);
    }

    /** Records the end of another node's request, given its in-flight identifier. */
    recordPeerEnd(id: string): void {
        this.inFlight.finish(id);
    }
}
