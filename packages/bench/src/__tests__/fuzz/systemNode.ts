/**
 * One node of the whole-system simulation: the real modules from routing to usage reports, on a manual clock and
 * without sockets.
 *
 * @packageDocumentation
 */
import { defaultLeaseTiming } from "@pimentocleat/policy";
import { LeaseManager, OrderSender, UsageLedger, UsageReporter, UsageRowWriter } from "@pimentocleat/state";
import { MemoryMetrics, SilentLogger } from "@pimentocleat/telemetry";
import { RequestRouter } from "../../../../node/src/callerApi/requestRouter.js";
import { GatedConfiguration } from "../../../../node/src/daemon/gatedConfiguration.js";
import { LeavingHostWatcher } from "../../../../node/src/backends/leavingHostWatcher.js";
import { ActiveRequest, ActiveRequests } from "../../../../node/src/dispatch/activeRequest.js";
import { AtMostOnceRunner } from "../../../../node/src/dispatch/atMostOnceRunner.js";
import { PoolTasks } from "../../../../node/src/dispatch/poolTasks.js";
import { RequestRunner, type RunResult } from "../../../../node/src/dispatch/requestRunner.js";
import { TraceRecorder } from "../../../../node/src/explain/traceBuffer.js";
import { CallerLimits } from "../../../../node/src/limits/callerLimits.js";
import { defaultNodeLimits } from "../../../../node/src/limits/nodeLimits.js";
import { buildSecret, ClusterNode } from "../../../../state/src/configuration/__tests__/cluster.js";
import { windowMs } from "../../../../state/src/usage/__tests__/usageSimulation.js";
import { poolName } from "./baseConfiguration.js";
import { FakeConnectionPool } from "./fakeBackend.js";
import type { CallerRequest, SystemEnvironment } from "./systemEnvironment.js";
import { CheckedScheduler } from "./checkedScheduler.js";

export const orderLease = "ordering/pool";
export const usageLease = "usage-reporter";
/** Maximum time that an order or a report is in flight to the platform, in milliseconds. */
export const wireBoundMs = 500;
const callTimeoutMs = 1_000;
const receiver = { checksFencing: false, wireBoundMs };
const logger = new SilentLogger();

/** One incarnation of a node, with its background tasks. */
export class SystemNode extends ClusterNode {
    readonly schedulers: CheckedScheduler[] = [];
    readonly tasks: PoolTasks;
    readonly manager: LeaseManager;
    /** Monotonic time since which the node has been neither paused nor isolated, for the oracle. */
    reachableSinceMs: number;
    private readonly active = new ActiveRequests();
    private readonly router: RequestRouter;
    private readonly runner: RequestRunner;
    private readonly atMostOnceRunner: AtMostOnceRunner;
    private readonly ledger: UsageLedger;
    private readonly knownPeers = new Set<string>();

    constructor(
        private readonly environment: SystemEnvironment,
        index: number,
        seed: number,
        readonly name: string,
    ) {
        super(environment, index, seed);
        const { clock, tableService } = this;
        this.reachableSinceMs = environment.clock.monotonicMs();
        this.tasks = new PoolTasks({
            clock,
            createScheduler: (configuration) => this.createScheduler(configuration),
            onError: (error) => environment.recordViolation(`the scheduler threw ${String(error)}`),
        });
        const isServingAllowed = (): boolean => this.follower.readNotReadyReason() === undefined;
        const configuration = new GatedConfiguration({
            source: this.configuration,
            isServingAllowed,
        });
        this.configuration.onChange(({ configuration: next }) => this.tasks.applyConfiguration(next));
        this.registry.onWithdrawal((keyId) => this.active.cancelKeyRequests(keyId));
        this.router = new RequestRouter({
            configuration,
            keys: environment.mutant.wrapKeys(this.registry),
            clock,
        });
        const writer = new UsageRowWriter({ tableService, clock, callTimeoutMs });
        this.ledger = new UsageLedger({ writer, clock, incarnation: name, windowMs, logger });
        this.runner = this.createRunner();
        this.atMostOnceRunner = this.createAtMostOnceRunner();
        this.manager = this.createManager();
        this.manager.setDesiredLeases([orderLease, usageLease]);
        this.startTasks();
    }

    /** Serves a request as the request handler does; a paused node reads it when it resumes. */
    async serve(request: CallerRequest): Promise<RunResult> {
        await this.gate.waitUntilOpen(Promise.resolve());
        const headers = {
            authorization: `Bearer ${buildSecret(request.keyId)}`,
            ...(request.idempotencyKey === undefined ? {} : { "idempotency-key": request.idempotencyKey }),
        };
        const head = { requestId: request.requestId, method: "POST", url: request.path, headers };
        const routed = this.router.resolveRequest(this.router.resolveHead(head), undefined);
        this.environment.checkCustomer(request, routed.customer);
        const active = new ActiveRequest(routed.requestId, routed.keyId);
        this.active.addRequest(active);
        const trace = new TraceRecorder(routed, this.clock);
        const context = { request: routed, active, trace, caller: undefined, sendDeadlineMs: undefined };
        const runner = routed.repeatable ? this.runner : this.atMostOnceRunner;
        return await (runner.runRequest(context) as Promise<RunResult>).finally(() =>
            this.active.removeRequest(active),
        );
    }

    private createScheduler(
        configuration: ConstructorParameters<typeof CheckedScheduler>[0]["configuration"],
    ) {
        const options = { configuration, clock: this.clock, node: this.name };
        const scheduler = new CheckedScheduler(
            { ...options, ...this.environment.mutant.schedulerOptions?.(this.clock) },
            (violation) => this.environment.recordViolation(violation),
        );
        this.schedulers.push(scheduler);
        return scheduler;
    }

    private createRunner(): RequestRunner {
        const { environment, clock, ledger, tasks } = this;
        return new RequestRunner({
            tasks,
            connections: new FakeConnectionPool(environment, this.name, (wait) =>
                this.gate.waitUntilOpen(wait),
            ),
            usage: { recordUsage: (amount) => environment.recordUsage(ledger, amount) },
            callerLimits: new CallerLimits(clock, this.name),
            metrics: new MemoryMetrics(),
            logger,
            clock,
            limits: defaultNodeLimits,
            readCredential: () => undefined,
            isServingAllowed: () => environment.mutant.sendsWhileIsolated || this.isReady,
        });
    }

    private createAtMostOnceRunner(): AtMostOnceRunner {
        const { clock, tableService, runner, environment } = this;
        const claims = environment.mutant.createClaims({
            tableService,
            clock,
            random: environment.random,
            logger,
            isOwnerDead: () => false,
            createToken: () => environment.createToken(),
        });
        return new AtMostOnceRunner({
            runner,
            claims,
            clock,
            node: this.name,
            outcomeRecordTimeoutMs: 500,
            onError: (error) => environment.recordViolation(String(error)),
        });
    }

    private createManager(): LeaseManager {
        const { environment, clock, name } = this;
        return new LeaseManager({
            tableService: this.tableService,
            clock,
            node: name,
            listNodes: () => environment.nodes.map((node) => node.name),
            logger,
            random: environment.random,
            createToken: () => environment.createToken(),
            timing: defaultLeaseTiming,
            wireBoundMs,
        });
    }

    private startTasks(): void {
        const { environment, clock, tasks } = this;
        const hosts = environment.mutant.hidesLeavingServers
            ? { listHosts: () => Promise.resolve([]) }
            : environment;
        const watcher = new LeavingHostWatcher({ hosts, tasks, clock, logger, hostPollMs: 1_000 });
        void watcher.run();
        this.controller.signal.addEventListener("abort", () => watcher.stop());
        void this.manager.run(this.controller.signal);
        void this.runEvery(100, () => this.exchangeSummaries());
        void this.runEvery(3_000, () => this.ledger.flushOnce());
        void this.runOrders();
        void this.runReports();
    }

    private exchangeSummaries(): Promise<void> {
        const others = this.environment.listReachable(this);
        for (const other of others) {
            this.knownPeers.add(other.name);
            const summary = other.tasks.findTask(poolName)?.summarizePool();
            if (summary !== undefined) {
                this.tasks.findTask(poolName)?.recordPeerSummary(summary);
            }
        }
        const names = new Set(this.environment.nodes.map((node) => node.name));
        const removedPeers = [...this.knownPeers].filter((name) => !names.has(name));
        removedPeers.forEach((name) => {
            this.knownPeers.delete(name);
            this.tasks.findTask(poolName)?.removePeer(name);
        });
        return Promise.resolve();
    }

    private runOrders(): Promise<void> {
        const { environment, clock, name: node, tableService } = this;
        return this.runWhileHolding(orderLease, 300, (lease) => {
            const orderingService = environment.buildOrderingService(this);
            const options = {
                tableService,
                orderingService,
                clock,
                lease: environment.mutant.wrapLease(lease),
            };
            const sender = new OrderSender({
                ...options,
                node,
                pool: poolName,
                receiver,
                marginMs: 1_000,
                callTimeoutMs,
            });
            const desired = { pool: poolName, dataCentre: "one", reclaimable: false };
            return () => sender.sendDesired({ ...desired, count: environment.desiredCount });
        });
    }

    private runReports(): Promise<void> {
        const { environment, clock, name: node } = this;
        return this.runWhileHolding(usageLease, 1_000, (lease) => {
            const reporter = new UsageReporter({
                tableService: this.tableService,
                reportService: environment.buildReportService(this),
                clock,
                logger: new SilentLogger(),
                lease: environment.mutant.wrapLease(lease),
                node,
                receiver,
                windowMs,
                graceMs: 6_000,
                maximumWindowsPerStep: 10,
                retentionMs: 3_600_000,
                callTimeoutMs,
            });
            return () => reporter.advanceOnce();
        });
    }

    /** Runs the action that `start` returns at an interval, while this node holds the lease. */
    private async runWhileHolding(
        name: string,
        intervalMs: number,
        start: (lease: NonNullable<ReturnType<LeaseManager["findHeldLease"]>>) => () => Promise<unknown>,
    ): Promise<void> {
        let lease: ReturnType<LeaseManager["findHeldLease"]>;
        let act: (() => Promise<unknown>) | undefined;
        await this.runEvery(intervalMs, async () => {
            const current = this.manager.findHeldLease(name);
            if (current !== lease) {
                lease = current;
                act = current === undefined ? undefined : start(current);
            }
            await act?.();
        });
    }

    private async runEvery(intervalMs: number, act: () => Promise<unknown>): Promise<void> {
        while (!this.controller.signal.aborted) {
            await this.clock.wait(intervalMs);
            await act();
        }
    }
}
