/**
 * The baseline scheduler: one first-in, first-out queue and round-robin choice of servers.
 *
 * @packageDocumentation
 */
import type { BackendServer } from "@pimentocleat/schema";
import { ErrorKind } from "@pimentocleat/types";
import type {
    CancelReason,
    Decision,
    LeavingNotice,
    OfferResult,
    PoolConfiguration,
    PoolScheduler,
    PoolStatus,
    PoolSummary,
    QueuedRequest,
    ServerStatus,
} from "./poolScheduler.js";
import type { SchedulerOptions } from "./schedulerOptions.js";

const noServerRetryAfterMs = 1_000;

/** Starts requests in order of arrival on servers chosen round-robin, without classes, deadlines or peers. */
export class FifoScheduler implements PoolScheduler {
    private configuration: PoolConfiguration;
    private queue: QueuedRequest[] = [];
    private decisions: Decision[] = [];
    private nextServerIndex = 0;
    private sequence = 0;
    private readonly running = new Map<string, { request: QueuedRequest; server: string }>();
    private readonly runningByServer = new Map<string, number>();
    private readonly leaving = new Set<string>();

    /** @param options - The configuration, clock and node name. */
    constructor(private readonly options: SchedulerOptions) {
        this.configuration = options.configuration;
    }

    updateConfiguration(configuration: PoolConfiguration): void {
        this.configuration = configuration;
    }

    offerRequest(request: QueuedRequest): OfferResult {
        if (!this.hasUsableServer(request)) {
            return {
                type: "refused",
                kind: ErrorKind.NoBackendServer,
                retryAfterMs: noServerRetryAfterMs,
            };
        }
        this.queue.push(request);
        return { type: "queued" };
    }

    cancelRequest(requestId: string, reason: CancelReason): void {
        const running = this.running.get(requestId);
        if (running !== undefined) {
            this.decisions.push({ type: "cancel", requestId, server: running.server, reason });
            return;
        }
        this.queue = this.queue.filter((request) => request.requestId !== requestId);
    }

    recordFirstToken(): void {}

    recordTokens(): void {}

    recordOutcome(requestId: string, server: string): void {
        if (this.running.get(requestId)?.server !== server) {
            return;
        }
        this.running.delete(requestId);
        this.runningByServer.set(server, this.countRunning(server) - 1);
    }

    recordLoadReport(): void {}

    recordCacheEvent(): void {}

    recordLeaving(notice: LeavingNotice): void {
        this.leaving.add(notice.server);
    }

    recordPeerSummary(): void {}

    removePeer(): void {}

    takeDecisions(): readonly Decision[] {
        const kept: QueuedRequest[] = [];
        for (const request of this.queue) {
            this.handleRequest(request, kept);
        }
        this.queue = kept;
        const decisions = this.decisions;
        this.decisions = [];
        return decisions;
    }

    readNextWakeMs(): number | undefined {
        return undefined;
    }

    summarizePool(): PoolSummary {
        this.sequence += 1;
        const waiting: Record<string, number> = {};
        for (const request of this.queue) {
            waiting[request.requestClass] = (waiting[request.requestClass] ?? 0) + 1;
        }
        return {
            pool: this.configuration.pool.name,
            node: this.options.node,
            sequence: this.sequence,
            waiting,
            running: Object.fromEntries(this.runningByServer),
            demand: {},
            servedTokens: {},
            stragglers: [],
        };
    }

    readStatus(): PoolStatus {
        return {
            waiting: this.queue.length,
            running: this.running.size,
            servers: this.configuration.pool.servers.map((server) => this.readServerStatus(server)),
        };
    }

    private readServerStatus(server: BackendServer): ServerStatus {
        return {
            name: server.name,
            running: this.countRunning(server.name),
            slots: server.slots,
            state: this.leaving.has(server.name) ? "leaving" : "normal",
        };
    }

    private handleRequest(request: QueuedRequest, kept: QueuedRequest[]): void {
        const server = this.chooseServer(request);
        if (server !== undefined) {
            this.startRequest(request, server);
        } else if (this.hasUsableServer(request)) {
            kept.push(request);
        } else {
            this.decisions.push({
                type: "refuse",
                requestId: request.requestId,
                kind: ErrorKind.NoBackendServer,
                retryAfterMs: noServerRetryAfterMs,
            });
        }
    }

    private startRequest(request: QueuedRequest, server: string): void {
        this.running.set(request.requestId, { request, server });
        this.runningByServer.set(server, this.countRunning(server) + 1);
        this.decisions.push({ type: "start", requestId: request.requestId, server, priority: 0 });
    }

    private chooseServer(request: QueuedRequest): string | undefined {
        const servers = this.configuration.pool.servers;
        for (let offset = 0; offset < servers.length; offset += 1) {
            const index = (this.nextServerIndex + offset) % servers.length;
            const server = servers[index];
            if (server !== undefined && this.hasFreeSlot(server, request)) {
                this.nextServerIndex = index + 1;
                return server.name;
            }
        }
        return undefined;
    }

    private hasFreeSlot(server: BackendServer, request: QueuedRequest): boolean {
        return this.isUsable(server, request) && this.countRunning(server.name) < server.slots;
    }

    private hasUsableServer(request: QueuedRequest): boolean {
        return this.configuration.pool.servers.some((server) => this.isUsable(server, request));
    }

    private isUsable(server: BackendServer, request: QueuedRequest): boolean {
        return !this.leaving.has(server.name) && !request.excludedServers.includes(server.name);
    }

    private countRunning(server: string): number {
        return this.runningByServer.get(server) ?? 0;
    }
}
