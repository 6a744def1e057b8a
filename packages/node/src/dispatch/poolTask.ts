/**
 * The dispatch task of one pool. It alone owns the pool's scheduler: it passes events in, takes
 * decisions and wakes when the scheduler asks for it.
 *
 * @packageDocumentation
 */
import {
    RetryBudget,
    type AttemptOutcome,
    type CacheEvent,
    type CancelReason,
    type Decision,
    type LeavingNotice,
    type LoadReport,
    type PoolConfiguration,
    type PoolScheduler,
    type PoolStatus,
    type PoolSummary,
    type QueuedRequest,
} from "@pimentocleat/policy";
import type { BackendServer, Pool } from "@pimentocleat/schema";
import { ErrorKind, RouterError } from "@pimentocleat/types";
import { buildCancelError, type ActiveRequest } from "./activeRequest.js";
import type { PoolTaskOptions, RunningRequestListener, StartGrant } from "./poolTaskOptions.js";

interface WaitingRequest {
    readonly resolve: (grant: StartGrant) => void;
    readonly reject: (error: RouterError) => void;
}

/** Dispatches the requests of one pool. */
export class PoolTask {
    /** Bounds the retries of the pool to a share of its first tries. */
    readonly retryBudget: RetryBudget;
    private readonly scheduler: PoolScheduler;
    private readonly waitingRequests = new Map<string, WaitingRequest>();
    private readonly runningRequestListeners = new Map<string, RunningRequestListener>();
    private servers = new Map<string, BackendServer>();
    private poolConfiguration: PoolConfiguration;
    private hasPendingDecisions = false;
    private wakeAtMs = Number.POSITIVE_INFINITY;
    private wakeAbort = new AbortController();
    private stopped = false;

    /** @param options - Configuration, scheduler and clock. */
    constructor(private readonly options: PoolTaskOptions) {
        this.scheduler = options.scheduler;
        this.poolConfiguration = options.configuration;
        this.retryBudget = new RetryBudget(options.configuration.pool.retryShare);
        this.setServers(options.configuration.pool.servers);
    }

    /** The pool as configured. */
    get pool(): Pool {
        return this.poolConfiguration.pool;
    }

    /** @param configuration - The new configuration of the pool. */
    updateConfiguration(configuration: PoolConfiguration): void {
        this.poolConfiguration = configuration;
        this.retryBudget.updateShare(configuration.pool.retryShare);
        this.setServers(configuration.pool.servers);
        this.scheduler.updateConfiguration(configuration);
        this.startDecisions();
    }

    /**
     * Waits until the request may be sent.
     *
     * @param request - The request.
     * @param active - Ends the wait when it is cancelled.
     * @returns The server to send it to.
     * @throws RouterError when the request is refused or cancelled.
     */
    waitForStart(request: QueuedRequest, active: ActiveRequest): Promise<StartGrant> {
        if (active.cancelReason !== undefined) {
            return Promise.reject(buildCancelError(active.cancelReason, false));
        }
        const result = this.scheduler.offerRequest(request);
        if (result.type === "refused") {
            return Promise.reject(
                new RouterError(result.kind, undefined, {
                    executed: "no",
                    retryAfterMs: result.retryAfterMs,
                }),
            );
        }
        active.setCancelListener((reason) => this.cancelWaitingRequest(request.requestId, reason));
        return new Promise((resolve, reject) => {
            this.waitingRequests.set(request.requestId, { resolve, reject });
            this.startDecisions();
        });
    }

    /**
     * Registers the receiver of a running request's cancellation.
     *
     * @param requestId - The request.
     * @param listener - The receiver.
     */
    setRunningRequestListener(requestId: string, listener: RunningRequestListener): void {
        this.runningRequestListeners.set(requestId, listener);
    }

    /** @returns Whether no request of the pool waits or runs on this node. */
    isIdle(): boolean {
        return this.waitingRequests.size === 0 && this.runningRequestListeners.size === 0;
    }

    /**
     * Finds a server of the pool.
     *
     * @param name - Name of the server.
     * @returns The server, or undefined when the configuration no longer has it.
     */
    findServer(name: string): BackendServer | undefined {
        return this.servers.get(name);
    }

    /** @param requestId - A running request whose first token arrived. */
    recordFirstToken(requestId: string): void {
        this.scheduler.recordFirstToken(requestId);
    }

    /**
     * Notes generated tokens.
     *
     * @param requestId - The running request.
     * @param tokens - How many.
     */
    recordTokens(requestId: string, tokens: number): void {
        this.scheduler.recordTokens(requestId, tokens);
    }

    /**
     * Notes how a try ended and frees its slot.
     *
     * @param requestId - The request.
     * @param server - The server's name.
     * @param outcome - How it ended.
     */
    recordOutcome(requestId: string, server: string, outcome: AttemptOutcome): void {
        this.runningRequestListeners.delete(requestId);
        this.scheduler.recordOutcome(requestId, server, outcome);
        this.startDecisions();
    }

    /** @param report - A load report of a server. */
    recordLoadReport(report: LoadReport): void {
        this.scheduler.recordLoadReport(report);
        this.startDecisions();
    }

    /** @param event - A cache event of a server. */
    recordCacheEvent(event: CacheEvent): void {
        this.scheduler.recordCacheEvent(event);
    }

    /** @param notice - A server that leaves. */
    recordLeaving(notice: LeavingNotice): void {
        this.scheduler.recordLeaving(notice);
        this.startDecisions();
    }

    /** @param summary - The soft state of another node. */
    recordPeerSummary(summary: PoolSummary): void {
        this.scheduler.recordPeerSummary(summary);
        this.startDecisions();
    }

    /** @param node - A node that is gone. */
    removePeer(node: string): void {
        this.scheduler.removePeer(node);
        this.startDecisions();
    }

    /** @returns Whether the other nodes should get a summary without delay. */
    isSummaryDue(): boolean {
        return this.scheduler.isSummaryDue?.() ?? false;
    }

    /** @returns The soft state of this node about the pool. */
    summarizePool(): PoolSummary {
        return this.scheduler.summarizePool();
    }

    /** @returns A snapshot for operators. */
    readStatus(): PoolStatus {
        return this.scheduler.readStatus();
    }

    /** Ends the task; waiting requests are refused. */
    stop(): void {
        this.stopped = true;
        this.wakeAbort.abort();
        for (const requestId of [...this.waitingRequests.keys()]) {
            this.refuseWaitingRequest(requestId, new RouterError(ErrorKind.NoBackendServer));
        }
    }

    private setServers(servers: readonly BackendServer[]): void {
        this.servers = new Map(servers.map((server) => [server.name, server]));
    }

    private cancelWaitingRequest(requestId: string, reason: CancelReason): void {
        this.scheduler.cancelRequest(requestId, reason);
        this.refuseWaitingRequest(requestId, buildCancelError(reason, false));
        this.startDecisions();
    }

    private refuseWaitingRequest(requestId: string, error: RouterError): void {
        const request = this.waitingRequests.get(requestId);
        this.waitingRequests.delete(requestId);
        request?.reject(error);
    }

    private startDecisions(): void {
        if (this.hasPendingDecisions || this.stopped) {
            return;
        }
        this.hasPendingDecisions = true;
        queueMicrotask(() => this.runDecisions());
    }

    private runDecisions(): void {
        this.hasPendingDecisions = false;
        if (this.stopped) {
            return;
        }
        try {
            this.scheduler.takeDecisions().forEach((decision) => this.applyDecision(decision));
            this.startWakeTimer();
        } catch (error) {
            this.options.onError(error);
        }
    }

    private applyDecision(decision: Decision): void {
        switch (decision.type) {
            case "start":
                this.startRequest(decision.requestId, decision.server, decision.priority);
                break;
            case "refuse":
                this.refuseWaitingRequest(
                    decision.requestId,
                    new RouterError(decision.kind, undefined, {
                        executed: "no",
                        retryAfterMs: decision.retryAfterMs,
                    }),
                );
                break;
            case "cancel":
                this.runningRequestListeners.get(decision.requestId)?.onCancel(decision.reason);
                break;
            case "move":
                this.runningRequestListeners.get(decision.requestId)?.onMove(decision.server);
                break;
        }
    }

    private startRequest(requestId: string, serverName: string, priority: number): void {
        const request = this.waitingRequests.get(requestId);
        this.waitingRequests.delete(requestId);
        const server = this.servers.get(serverName);
        if (request !== undefined && server !== undefined) {
            request.resolve({ server, priority });
            return;
        }
        this.recordOutcome(requestId, serverName, "cancelled");
        request?.reject(new RouterError(ErrorKind.NoBackendServer));
    }

    /** Keeps one timer; one that fires early only takes decisions once more. */
    private startWakeTimer(): void {
        const nextMs = this.scheduler.readNextWakeMs();
        if (nextMs === undefined || nextMs >= this.wakeAtMs) {
            return;
        }
        this.wakeAbort.abort();
        this.wakeAbort = new AbortController();
        this.wakeAtMs = nextMs;
        const { signal } = this.wakeAbort;
        const durationMs = Math.max(1, nextMs - this.options.clock.monotonicMs());
        void this.options.clock.wait(durationMs, signal).then(() => {
            if (!signal.aborted) {
                this.wakeAtMs = Number.POSITIVE_INFINITY;
                this.startDecisions();
            }
        });
    }
}
