/**
 * Chooses the server for a request: least predicted time to first token, plus cost and risk.
 *
 * @packageDocumentation
 */
import type { BackendServer } from "@pimentocleat/schema";
import { MeanEstimator } from "../scheduling/estimators.js";
import type { QueuedRequest } from "../scheduling/poolScheduler.js";
import { PrefixIndex } from "./prefixIndex.js";
import { ServerHealth } from "./serverHealth.js";

/** A server as the router sees it. */
export interface RoutedServer {
    settings: BackendServer;
    readonly health: ServerHealth;
    /** Own running requests. */
    running: number;
    /** Waiting requests in its last load report. */
    reportedWaiting: number;
    /** Slots that the server itself reports. */
    reportedSlots: number | undefined;
}

/** What the router needs to know beside the request. */
export interface RoutingContext {
    readonly nowMs: number;
    /** Time left until the request's latest start, in milliseconds. */
    readonly slackMs: number;
    /** First token target of the class, in milliseconds. */
    readonly targetMs: number;
    readonly countFree: CountFree;
    /** Tier of the request. */
    readonly tier: number;
}

/** Counts the free slots of a server for a request of a tier. */
export type CountFree = (server: string, tier: number) => number;

/** Requests that a server on probation may run for this node. */
const probationSlots = 1;
/** A request with less than this share of its target left is nearly late. */
const lowSlackShare = 0.25;
/** Penalties are in milliseconds of time to first token, the unit of the score. */
const reclaimPenaltyMs = { nonRepeatable: 60_000, lowSlack: 2_000 };
const probationPenaltyMs = 5_000;
const loadPenaltyMs = 50;
const costPenaltyShareOfSlack = 0.1;
const maximumCostPenaltyMs = 500;
const initialPrefillMsPerToken = 0.2;
const medianUpdateIntervalMs = 200;

/** Scores servers. */
export class ServerRouter {
    readonly prefixIndex = new PrefixIndex();
    /** Milliseconds of work for one uncached prompt token. */
    private readonly prefillMs = new MeanEstimator(initialPrefillMsPerToken);
    private servers = new Map<string, RoutedServer>();
    private maximumCostPerHour = 1;
    private medianUpdatedMs = -Infinity;
    private medianPaceMs = 0;

    /** @param servers - The servers of the pool; known ones keep their history. */
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

    /**
     * @param name - A server.
     * @returns Its state, or undefined when the pool doesn't have it.
     */
    findServer(name: string): RoutedServer | undefined {
        return this.servers.get(name);
    }

    /**
     * Chooses a server with a free slot.
     *
     * @param request - The request.
     * @param context - Time and slots.
     * @returns The best server, or undefined when none can take the request now.
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

    /**
     * @param request - A request.
     * @returns Whether any server can take it, now or later.
     */
    hasUsableServer(request: QueuedRequest): boolean {
        for (const server of this.servers.values()) {
            if (server.health.readLeavesAtMs() === undefined && !isExcluded(request, server)) {
                return true;
            }
        }
        return false;
    }

    /**
     * @param tier - A tier.
     * @param nowMs - Monotonic time.
     * @param countFree - Counts the free slots of a server.
     * @returns Whether some request of the tier could start now.
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
     * Notes a measured time to first token.
     *
     * @param server - The server.
     * @param request - The request.
     * @param firstTokenMs - From start to first token, in milliseconds.
     */
    recordFirstToken(server: string, request: QueuedRequest, firstTokenMs: number): void {
        const share = this.prefixIndex.estimateCachedShare(server, request.prefixBlocks);
        const uncachedTokens = request.promptTokens * (1 - share);
        if (uncachedTokens >= 1) {
            this.prefillMs.record(firstTokenMs / uncachedTokens);
        }
    }

    /**
     * Compares the servers' pace with the pool's median; cheap enough to call with every decision.
     *
     * @param nowMs - Monotonic time.
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
        // The lower median: with few servers the straggler must not set the measure.
        this.medianPaceMs = paces[Math.floor((paces.length - 1) / 2)] ?? 0;
        for (const { health } of this.servers.values()) {
            health.updateStraggler(this.medianPaceMs);
        }
    }

    private getServer(name: string): RoutedServer {
        const server = this.servers.get(name);
        if (server === undefined) {
            throw new Error(`unknown server ${name}`);
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
        const prefillMs = request.promptTokens * (1 - share) * this.prefillMs.readMean() * slowness;
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
