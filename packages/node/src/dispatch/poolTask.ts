/**
 * Dispatches the requests of one pool. The task is the only user of the pool's scheduler: it passes events
 * to it, applies its decisions and wakes at the times that it requests.
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

/** Dispatches the requests of one pool by the decisions of its scheduler. */
export class PoolTask {
    /** Limits the pool's retries to a share of its first attempts. */
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

    /** @param options - Configuration, scheduler and clock of the pool. */
    constructor(private readonly options: PoolTaskOptions) {
        this.scheduler = options.scheduler;
        this.poolConfiguration = options.configuration;
        this.retryBudget = new RetryBudget(options.configuration.pool.retryShare);
        this.setServers(options.configuration.pool.servers);
    }

    /** The current configuration of the pool. */
    get pool(): Pool {
        return this.poolConfiguration.pool;
    }

    /**
     * Applies a new configuration of the pool.
     *
     * @param configuration - The new configuration.
     */
    updateConfiguration(configuration: PoolConfiguration): void {
        this.poolConfiguration = configuration;
        this.retryBudget.updateShare(configuration.pool.retryShare);
        this.setServers(configuration.pool.servers);
        this.scheduler.updateConfiguration(configuration);
        this.startDecisions();
    }

    /**
     * Queues a request and waits until the scheduler starts it.
     *
     * @param request - The request.
     * @param active - The active request; its cancellation ends the wait.
     * @returns The server and the priority to send the request with.
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
     * Registers the listener for the cancellation or move of a running request.
     *
     * @param requestId - Identifier of the request.
     * @param listener - The listener.
     */
    setRunningRequestListener(requestId: string, listener: RunningRequestListener): void {
        this.runningRequestListeners.set(requestId, listener);
    }

    /**
     * Checks whether the pool is idle on this node.
     *
     * @returns True when no request of the pool waits or runs.
     */
    isIdle(): boolean {
        return this.waitingRequests.size === 0 && this.runningRequestListeners.size === 0;
    }

    /**
     * Finds a server of the pool.
     *
     * @param name - Name of the server.
     * @returns The server, or undefined when the current configuration does not contain it.
     */
    findServer(name: string): BackendServer | undefined {
        return this.servers.get(name);
    }

    /**
     * Records that the first token of a running request arrived.
     *
     * @param requestId - Identifier of the request.
     */
    recordFirstToken(requestId: string): void {
        this.scheduler.recordFirstToken(requestId);
    }

    /**
     * Records generated tokens of a running request.
     *
     * @param requestId - Identifier of the request.
     * @param tokens - Number of tokens.
     */
    recordTokens(requestId: string, tokens: number): void {
        this.scheduler.recordTokens(requestId, tokens);
    }

    /**
     * Records the outcome of an attempt and releases its slot.
     *
     * @param requestId - Identifier of the request.
     * @param server - Name of the server.
     * @param outcome - Outcome of the attempt.
     */
    recordOutcome(requestId: string, server: string, outcome: AttemptOutcome): void {
        this.runningRequestListeners.delete(requestId);
        this.scheduler.recordOutcome(requestId, server, outcome);
        this.startDecisions();
    }

    /**
     * Records a load report.
     *
     * @param report - The report of a server of the pool.
     */
    recordLoadReport(report: LoadReport): void {
        this.scheduler.recordLoadReport(report);
        this.startDecisions();
    }

    /**
     * Records a cache event.
     *
     * @param event - The event of a server of the pool.
     */
    recordCacheEvent(event: CacheEvent): void {
        this.scheduler.recordCacheEvent(event);
    }

    /**
     * Records that a server will leave.
     *
     * @param notice - The announced departure.
     */
    recordLeaving(notice: LeavingNotice): void {
        this.scheduler.recordLeaving(notice);
        this.startDecisions();
    }

    /**
     * Records the pool's soft state on another node.
     *
     * @param summary - The summary received from that node.
     */
    recordPeerSummary(summary: PoolSummary): void {
        this.scheduler.recordPeerSummary(summary);
        this.startDecisions();
    }

    /**
     * Removes the soft state of a node that was declared dead or has restarted.
     *
     * @param node - Name of the node.
     */
    removePeer(node: string): void {
        this.scheduler.removePeer(node);
        this.startDecisions();
    }

    /**
     * Checks whether a summary should be sent to the other nodes immediately.
     *
     * @returns True when a summary is due.
     */
    isSummaryDue(): boolean {
        return this.scheduler.isSummaryDue?.() ?? false;
    }

    /**
     * Summarizes the pool's soft state on this node for the other nodes.
     *
     * @returns The summary.
     */
    summarizePool(): PoolSummary {
        return this.scheduler.summarizePool();
    }

    /** @returns A snapshot of the pool's state for operators. */
    readStatus(): PoolStatus {
        return this.scheduler.readStatus();
    }

    /** Stops the task and refuses the waiting requests. */
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

    /**
     * Keeps a single wake timer and replaces it when the scheduler asks for an earlier wake. A timer that fires
     * too early only causes an extra run of the scheduler's decisions.
     */
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
