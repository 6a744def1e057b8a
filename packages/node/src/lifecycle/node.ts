/**
 * Builds a node from its components and controls its life cycle.
 *
 * @packageDocumentation
 */
import { once } from "node:events";
import type { Server as HttpServer } from "node:http";
import { Server as NetServer, type AddressInfo } from "node:net";
import type { FastifyInstance } from "fastify";
import type { LimitSummary, PoolStatus, PoolSummary } from "@pimentocleat/policy";
import type { Configuration } from "@pimentocleat/schema";
import { BackendPollers } from "../backends/backendPollers.js";
import { LeavingHostWatcher } from "../backends/leavingHostWatcher.js";
import { buildCallerServer } from "../callerApi/callerServer.js";
import { RequestHandler } from "../callerApi/requestHandler.js";
import { RequestRouter } from "../callerApi/requestRouter.js";
import { ActiveRequests } from "../dispatch/activeRequest.js";
import { AtMostOnceRunner } from "../dispatch/atMostOnceRunner.js";
import { PoolTasks } from "../dispatch/poolTasks.js";
import { RequestRunner } from "../dispatch/requestRunner.js";
import { TraceBuffer, type RequestTrace } from "../explain/traceBuffer.js";
import { CallerLimits } from "../limits/callerLimits.js";
import type { NodeLimits } from "../limits/nodeLimits.js";
import { WorkCounter } from "./workCounter.js";
import { ConnectionPool } from "@pimentocleat/upstream";
import type { NodeHandle, NodeOptions } from "./nodeOptions.js";

/** Serves callers and shares its state with the other nodes. */
export class Node implements NodeHandle {
    private readonly activeRequests = new ActiveRequests();
    private readonly pendingAnswers = new WorkCounter();
    private readonly callerLimits: CallerLimits;
    private readonly traces: TraceBuffer;
    private readonly connections: ConnectionPool;
    private readonly tasks: PoolTasks;
    private readonly atMostOnceRunner: AtMostOnceRunner;
    private readonly pollers: BackendPollers;
    private readonly leavingHostWatcher: LeavingHostWatcher | undefined;
    private readonly server: FastifyInstance;
    private readonly unsubscribeCallbacks: (() => void)[] = [];
    private readonly drainDelayAbort = new AbortController();
    private draining = false;
    private stopPromise: Promise<void> | undefined;
    private boundAddress = "";

    /**
     * @param options - Addresses and dependencies of the node.
     * @param limits - All limits, with defaults applied.
     */
    constructor(
        private readonly options: NodeOptions,
        private readonly limits: NodeLimits,
    ) {
        const onError = (error: unknown): void => this.reportError(error);
        const { clock } = options;
        this.traces = new TraceBuffer(limits.maximumTraces);
        this.callerLimits = new CallerLimits(clock, options.name);
        this.connections = new ConnectionPool(limits);
        this.tasks = new PoolTasks({ createScheduler: options.createScheduler, clock, onError });
        const { logger, hosts } = options;
        const readCredential = this.getCredentialReader();
        this.pollers = new BackendPollers({ ...limits, tasks: this.tasks, clock, logger, readCredential });
        const { hostPollMs } = limits;
        this.leavingHostWatcher =
            hosts && new LeavingHostWatcher({ hosts, tasks: this.tasks, clock, logger, hostPollMs });
        const runner = this.createRunner();
        this.atMostOnceRunner = new AtMostOnceRunner({
            runner,
            claims: options.claims,
            clock,
            node: options.name,
            outcomeRecordTimeoutMs: limits.outcomeRecordTimeoutMs,
            onError,
        });
        this.server = this.createServer(runner);
    }

    get callerAddress(): string {
        return this.boundAddress;
    }

    get name(): string {
        return this.options.name;
    }

    get dataCentre(): string {
        return this.options.dataCentre;
    }

    /** Applies the current configuration, subscribes to changes and listens for callers. */
    async start(): Promise<void> {
        const { configuration, keys, logger } = this.options;
        const applied = configuration.readCurrent();
        if (applied !== undefined) {
            this.applyConfiguration(applied.configuration);
        }
        this.unsubscribeCallbacks.push(
            configuration.onChange((next) => this.applyConfiguration(next.configuration)),
            keys.onWithdrawal((keyId) => this.cancelRequestsOfKey(keyId)),
        );
        void this.leavingHostWatcher?.run();
        await this.server.ready();
        this.httpServer.listen({ ...this.options.callerAddress });
        await once(this.httpServer, "listening");
        const { address, port } = this.httpServer.address() as AddressInfo;
        this.boundAddress = `${address}:${port}`;
        logger.writeEvent("nodeStarted", { node: this.name, address: this.boundAddress });
    }

    isReady(): boolean {
        return !this.draining && this.options.configuration.readCurrent() !== undefined;
    }

    countRequests(): number {
        return this.activeRequests.countRequests();
    }

    findTrace(requestId: string): RequestTrace | undefined {
        return this.traces.findTrace(requestId);
    }

    listPoolStatuses(): ReadonlyMap<string, PoolStatus> {
        return new Map(this.tasks.listTasks().map((task) => [task.pool.name, task.readStatus()]));
    }

    takePoolSummaries(isSelected: (pool: string, isDue: boolean) => boolean): readonly PoolSummary[] {
        const selected = this.tasks
            .listTasks()
            .filter((task) => isSelected(task.pool.name, task.isSummaryDue()));
        return selected.map((task) => task.summarizePool());
    }

    recordPeerSummary(summary: PoolSummary): void {
        this.tasks.findTask(summary.pool)?.recordPeerSummary(summary);
    }

    summarizeLimits(): LimitSummary {
        return this.callerLimits.summarizeUsage();
    }

    recordPeerLimits(summary: LimitSummary): void {
        this.callerLimits.recordPeerSummary(summary);
    }

    removePeer(node: string): void {
        this.callerLimits.removePeer(node);
        this.tasks.listTasks().forEach((task) => task.removePeer(node));
    }

    stop(): Promise<void> {
        this.stopPromise ??= this.drain();
        return this.stopPromise;
    }

    async abort(): Promise<void> {
        this.draining = true;
        this.drainDelayAbort.abort();
        this.connections.close();
        this.httpServer.closeAllConnections();
        await this.stop();
    }

    private applyConfiguration(configuration: Configuration): void {
        this.callerLimits.applyConfiguration(configuration);
        this.tasks.applyConfiguration(configuration);
        this.pollers.applyConfiguration(configuration);
    }

    private getCredentialReader(): (variable: string) => string | undefined {
        return this.options.readCredential ?? ((variable) => process.env[variable]);
    }

    private get httpServer(): HttpServer {
        return this.server.server;
    }

    private async drain(): Promise<void> {
        const { logger, clock, flushUsage } = this.options;
        this.draining = true;
        logger.writeEvent("nodeStopping", { node: this.name, requests: this.countRequests() });
        await clock.wait(this.limits.drainDelayMs, this.drainDelayAbort.signal);
        await this.closeListener();
        await this.atMostOnceRunner.waitForOutcomeRecords();
        this.unsubscribeCallbacks.forEach((unsubscribe) => unsubscribe());
        this.leavingHostWatcher?.stop();
        this.pollers.stop();
        this.tasks.stop();
        this.connections.close();
        await flushUsage?.();
        logger.writeEvent("nodeStopped", { node: this.name });
    }

    /**
     * Stops accepting connections and waits until every response is sent. The HTTP server's own `close` comes
     * last, because it destroys connections whose response has ended but is still in the write buffer.
     */
    private async closeListener(): Promise<void> {
        const closed = once(this.httpServer, "close");
        NetServer.prototype.close.call(this.httpServer);
        await this.activeRequests.waitUntilIdle();
        await this.pendingAnswers.waitUntilIdle();
        this.httpServer.close();
        await closed;
    }

    private createRunner(): RequestRunner {
        const { usage, metrics, logger, clock, configuration } = this.options;
        return new RequestRunner({
            isServingAllowed: () => configuration.readCurrent() !== undefined,
            tasks: this.tasks,
            connections: this.connections,
            usage,
            callerLimits: this.callerLimits,
            metrics,
            logger,
            clock,
            limits: this.limits,
            readCredential: this.getCredentialReader(),
        });
    }

    private createServer(runner: RequestRunner): FastifyInstance {
        const { configuration, keys, clock, logger, metrics } = this.options;
        const router = new RequestRouter({ configuration, keys, clock });
        const isDraining = (): boolean => this.draining;
        const handler = new RequestHandler({
            router,
            runner,
            atMostOnceRunner: this.atMostOnceRunner,
            activeRequests: this.activeRequests,
            callerLimits: this.callerLimits,
            traces: this.traces,
            logger,
            metrics,
            clock,
            limits: this.limits,
            isDraining,
        });
        const isReady = (): boolean => this.isReady();
        const { limits, pendingAnswers } = this;
        return buildCallerServer({
            router,
            handler,
            logger,
            metrics,
            limits,
            isReady,
            isDraining,
            pendingAnswers,
        });
    }

    private cancelRequestsOfKey(keyId: string): void {
        const requests = this.activeRequests.cancelKeyRequests(keyId);
        this.options.logger.writeEvent("keyRequestsEnded", { keyId, requests });
    }

    private reportError(error: unknown): void {
        this.options.logger.writeEvent("unexpectedError", { message: String(error) });
    }
}
