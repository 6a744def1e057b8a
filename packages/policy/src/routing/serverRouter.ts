/**
 * Chooses the server for a request by the lowest score: the predicted time to first token plus penalties for load, cost
 * and risk.
 *
 * @packageDocumentation
 */
import type { BackendServer } from "@pimentocleat/schema";
import { MeanEstimator } from "../scheduling/estimators.js";
import type { QueuedRequest } from "../scheduling/poolScheduler.js";
import { PrefixIndex } from "./prefixIndex.js";
import { ServerHealth } from "./serverHealth.js";

/** The state that the router keeps for a server. */
export interface RoutedServer {
    settings: BackendServer;
    readonly health: ServerHealth;
    /** Requests of this node that run on the server. */
    running: number;
    /** Waiting requests in the server's last load report. */
    reportedWaiting: number;
    /** Slots in the server's last load report, or undefined before the first. */
    reportedSlots: number | undefined;
}

/** The inputs of a routing decision besides the request. */
export interface RoutingContext {
    readonly nowMs: number;
    /** Time left until the request's start deadline, in milliseconds. */
    readonly slackMs: number;
    /** First-token target of the class, in milliseconds. */
    readonly targetMs: number;
    readonly countFree: CountFree;
    /** The tier of the request. */
    readonly tier: number;
}

/** Counts the free slots of a server for a request of a tier. */
export type CountFree = (server: string, tier: number) => number;

/** Maximum number of concurrent requests of this node on a server on probation. */
const probationSlots = 1;
/** A request has low slack, and is nearly late, below this share of its first-token target. */
const lowSlackShare = 0.25;
/** Penalties are in milliseconds of time to first token, which is the unit of the score. */
const reclaimPenaltyMs = { nonRepeatable: 60_000, lowSlack: 2_000 };
const probationPenaltyMs = 5_000;
/** Penalty for each waiting request that a server reported, and for a server whose slots are all used by this node. */
const loadPenaltyMs = 50;
/** Penalty for the most expensive server, as a share of the request's slack; up to the maximum. */
const costPenaltyShareOfSlack = 0.1;
const maximumCostPenaltyMs = 500;
const initialPrefillMsPerToken = 0.2;
const medianUpdateIntervalMs = 200;

/** Scores the servers of a pool and chooses one for each request. */
export class ServerRouter {
    readonly prefixIndex = new PrefixIndex();
    /** Prefill time per uncached prompt token, in milliseconds. */
    private readonly prefillMsPerToken = new MeanEstimator(initialPrefillMsPerToken);
    private servers = new Map<string, RoutedServer>();
    private maximumCostPerHour = 1;
    private medianUpdatedMs = -Infinity;
    private medianPaceMs = 0;

    /** Replaces the servers. Servers that remain keep their state. */
    updateServers(servers: readonly BackendServer[]): void {
        const previous = this.servers;
        this.servers = new Map();
        for (const settings of servers) {
            const known = previous.get(settings.name);
            this.servers.set(settings.name, known ?? buildServer(settings));
            this.getServer(settings.name).settings = settings;
        }
        this.maximumCostPerHour = Math.max(...servers.map((server) => server.costPerHour), Number.MIN_VALUE);
    }

    /** @returns All servers of the pool. */
    listServers(): IterableIterator<RoutedServer> {
        return this.servers.values();
    }

    /** Finds a server by name, or undefined when the pool has no such server. */
    findServer(name: string): RoutedServer | undefined {
        return this.servers.get(name);
    }

    /**
     * Chooses the server with the lowest score among those with a free slot.
     *
     * @param request - The request.
     * @param context - The other inputs of the decision.
     * @returns The server, or undefined when none can take the request now.
     */
    chooseServer(request: QueuedRequest, context: RoutingContext): RoutedServer | undefined {
        let best: RoutedServer | undefined;
        let bestScore = Infinity;
        for (const server of this.servers.values()) {
            if (!this.isEligible(server, request, context)) {
                continue;
            }
            const score = this.computeScore(server, request, context);
            if (score < bestScore) {
                best = server;
                bestScore = score;
            }
        }
        return best;
    }

    /** Checks whether any server can take a request, now or later. */
    hasUsableServer(request: QueuedRequest): boolean {
        for (const server of this.servers.values()) {
            if (server.health.readLeavesAtMs() === undefined && !isExcluded(request, server)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Checks whether some request of a tier could start now.
     *
     * @param tier - The tier.
     * @param nowMs - The monotonic time, in milliseconds.
     * @param countFree - Counts the free slots of a server.
     * @returns Whether a server accepts requests and has a free slot for the tier.
     */
    hasFreeServer(tier: number, nowMs: number, countFree: CountFree): boolean {
        for (const server of this.servers.values()) {
            const condition = server.health.readCondition(nowMs);
            const acceptsRequests =
                condition === "normal" || (condition === "probation" && server.running < probationSlots);
            if (acceptsRequests && countFree(server.settings.name, tier) > 0) {
                return true;
            }
        }
        return false;
    }

    /**
     * Records a measured time to first token.
     *
     * @param server - The server.
     * @param request - The request.
     * @param firstTokenMs - The time from start to first token, in milliseconds.
     */
    recordFirstToken(server: string, request: QueuedRequest, firstTokenMs: number): void {
        const share = this.prefixIndex.estimateCachedShare(server, request.prefixBlocks);
        const uncachedTokens = request.promptTokens * (1 - share);
        if (uncachedTokens >= 1) {
            this.prefillMsPerToken.record(firstTokenMs / uncachedTokens);
        }
    }

    /**
     * Updates which servers are stragglers, by comparing their pace with the pool's median. Cheap enough to call with
     * every decision, because the median is recomputed only at intervals.
     *
     * @param nowMs - The monotonic time, in milliseconds.
     */
    updateStragglers(nowMs: number): void {
        if (nowMs - this.medianUpdatedMs < medianUpdateIntervalMs) {
            return;
        }
        this.medianUpdatedMs = nowMs;
        const paces: number[] = [];
        for (const { health } of this.servers.values()) {
            const paceMs = health.readPaceMs();
            if (paceMs !== undefined) {
                paces.push(paceMs);
            }
        }
        paces.sort((left, right) => left - right);
        // Uses the lower median, so that in a small pool a straggler doesn't become the reference.
        this.medianPaceMs = paces[Math.floor((paces.length - 1) / 2)] ?? 0;
        for (const { health } of this.servers.values()) {
            health.updateStraggler(this.medianPaceMs);
        }
    }

    private getServer(name: string): RoutedServer {
        const server = this.servers.get(name);
        if (server === undefined) {
            throw new Error(`server "${name}" is not in the pool's configuration`);
        }
        return server;
    }

    private isEligible(server: RoutedServer, request: QueuedRequest, context: RoutingContext): boolean {
        if (context.countFree(server.settings.name, context.tier) < 1 || isExcluded(request, server)) {
            return false;
        }
        const condition = server.health.readCondition(context.nowMs);
        if (condition === "probation") {
            return request.repeatable && server.running < probationSlots;
        }
        return condition === "normal";
    }

    private computeScore(server: RoutedServer, request: QueuedRequest, context: RoutingContext): number {
        const { settings, health } = server;
        const share = this.prefixIndex.estimateCachedShare(settings.name, request.prefixBlocks);
        const slowness = this.computeSlowness(health);
        const prefillMs = request.promptTokens * (1 - share) * this.prefillMsPerToken.readMean() * slowness;
        const queueMs = server.reportedWaiting * loadPenaltyMs;
        const loadMs = (loadPenaltyMs * server.running) / settings.slots;
        const probationMs = health.readCondition(context.nowMs) === "probation" ? probationPenaltyMs : 0;
        return (
            prefillMs +
            queueMs +
            loadMs +
            probationMs +
            this.computeCostPenaltyMs(settings, context) +
            computeReclaimPenaltyMs(settings, request, context)
        );
    }

    private computeSlowness(health: ServerHealth): number {
        const paceMs = health.readPaceMs();
        return paceMs === undefined || this.medianPaceMs <= 0 ? 1 : Math.max(1, paceMs / this.medianPaceMs);
    }

    private computeCostPenaltyMs(settings: BackendServer, context: RoutingContext): number {
        const weightMs = Math.min(
            Math.max(context.slackMs, 0) * costPenaltyShareOfSlack,
            maximumCostPenaltyMs,
        );
        return (settings.costPerHour / this.maximumCostPerHour) * weightMs;
    }
}

function computeReclaimPenaltyMs(
    settings: BackendServer,
    request: QueuedRequest,
    context: RoutingContext,
): number {
    if (!settings.reclaimable) {
        return 0;
    }
    if (!request.repeatable) {
        return reclaimPenaltyMs.nonRepeatable;
    }
    return context.slackMs < context.targetMs * lowSlackShare ? reclaimPenaltyMs.lowSlack : 0;
}

function isExcluded(request: QueuedRequest, server: RoutedServer): boolean {
    return request.excludedServers.length > 0 && request.excludedServers.includes(server.settings.name);
}

function buildServer(settings: BackendServer): RoutedServer {
    return {
        settings,
        health: new ServerHealth(),
        running: 0,
        reportedWaiting: 0,
        reportedSlots: undefined,
    };
}
