/**
 * Simulates several nodes of the whole system over one table service, with an oracle that records all externally
 * visible effects: responses, executed requests, orders and usage reports.
 *
 * @packageDocumentation
 */
import {
    PlatformError,
    PlatformErrorKind,
    type ListedHost,
    type OrderingService,
    type TableService,
    type UsageReport,
    type UsageReportService,
} from "@pimentocleat/services";
import type { UsageAmount, UsageRecorder } from "@pimentocleat/state";
import { RouterError } from "@pimentocleat/types";
import {
    Cluster,
    type ClusterNode,
    convergenceBoundMs,
    isolationLimitMs,
} from "../../../../state/src/configuration/__tests__/cluster.js";
import { RecordingReceiver, type WireFault } from "../../../../state/src/orders/__tests__/orderSimulation.js";
import { findReportViolation } from "../../../../state/src/usage/__tests__/reportOracle.js";
import type { BackendFault, FakeBackend, BackendRun } from "./fakeBackend.js";
import type { SystemMutant } from "./systemMutant.js";
import { nodeCount, serverCount } from "./baseConfiguration.js";
import { SystemNode, wireBoundMs } from "./systemNode.js";
import type { CallerRequest } from "./systemEnvironment.js";

/**
 * Maximum time from a server's leaving notice to the last request sent to it, in milliseconds: two polls of the
 * host list.
 */
const maximumLeavingDispatchMs = 2_500;

interface Leaving {
    readonly sinceMs: number;
    readonly host: ListedHost;
}

/** Simulates the nodes and their environment, and records violations of the properties that must hold. */
export class SystemSimulation extends Cluster<SystemNode> implements FakeBackend {
    readonly reports: UsageReport[] = [];
    readonly runs: BackendRun[] = [];
    readonly receiver: RecordingReceiver;
    readonly answered = { complete: 0, refused: 0 };
    desiredCount = 1;
    /** Time that a backend server takes for a request, in milliseconds. */
    runMs = 200;
    planBackend: () => BackendFault = () => "none";
    planReport: () => WireFault = () => "none";
    /** Monotonic time since which the store has answered every call, for the oracle; infinite while it fails. */
    healthySinceMs = 0;
    /** Monotonic times of the accepted withdrawals, by key identifier. */
    readonly withdrawn = new Map<string, number>();
    /** Newest accepted revision and the monotonic time of its acceptance. */
    acceptedRevision = { revision: 0, atMs: 0 };
    recordedRequests = 0;
    hasCrashed = false;
    protected override readonly stepMs = 100;
    private readonly violations: string[] = [];
    /** Requests whose callers were told that no backend server ran them. */
    private readonly notRun = new Set<string>();
    /** Leaving servers, by address. */
    private readonly leaving = new Map<string, Leaving>();
    private tokens = 0;
    private wasHealthy = true;
    /** Monotonic start time of the last answered store read, by node. */
    private readonly contactMs = new WeakMap<object, number>();

    constructor(
        readonly mutant: SystemMutant,
        seed: number,
    ) {
        super(mutant.parts, 0, seed);
        this.receiver = new RecordingReceiver(this.clock, false, wireBoundMs);
        for (let index = 0; index < nodeCount; index += 1) {
            this.nodes.push(this.createNode(index));
        }
    }

    override createNode(index: number): SystemNode {
        this.incarnationCount += 1;
        const incarnationSeed = this.seed * 1_000 + this.incarnationCount;
        return new SystemNode(this, index, incarnationSeed, `node-${index}-${this.incarnationCount}`);
    }

    get runsRejected(): boolean {
        return this.mutant.runsRejected;
    }

    /** Crashes a node without a graceful stop and starts a new incarnation in its place. */
    crashNode(index: number): void {
        this.hasCrashed = true;
        this.nodes[index]!.gate.close();
        this.restartNode(index);
    }

    override buildNodeTable(inner: TableService, node: { isCut: boolean }): TableService {
        const table = super.buildNodeTable(inner, node);
        return {
            readRow: (...call) => table.readRow(...call),
            scanRows: async (...call) => {
                const startedMs = this.clock.monotonicMs();
                const rows = await table.scanRows(...call);
                this.contactMs.set(node, startedMs);
                return rows;
            },
            commitTransaction: (...call) => table.commitTransaction(...call),
        };
    }

    freezeNode(index: number): void {
        if (!this.nodes[index]!.gate.isClosed) {
            this.nodes[index]!.gate.close();
        }
    }

    /** Ends all faults of store, network, backend servers and nodes. */
    recoverAll(): void {
        this.isStoreDown = false;
        this.lostReplyShare = 0;
        this.delayedEffectShare = 0;
        this.table.applyDelayedCommits();
        this.planBackend = () => "none";
        this.planReport = () => "none";
        this.receiver.planWire = () => "none";
        this.runMs = 200;
        this.nodes.forEach((node) => {
            node.isCut = false;
            node.gate.open();
        });
        this.recordStoreHealth();
    }

    /** Records since when the store answers every call; must be called when its faults may have changed. */
    recordStoreHealth(): void {
        const isHealthy = !this.isStoreDown && this.lostReplyShare + this.delayedEffectShare === 0;
        if (isHealthy !== this.wasHealthy) {
            this.wasHealthy = isHealthy;
            this.healthySinceMs = isHealthy ? this.clock.monotonicMs() : Number.POSITIVE_INFINITY;
        }
    }

    acceptRevision(revision: number): void {
        if (revision > this.acceptedRevision.revision) {
            this.acceptedRevision = { revision, atMs: this.clock.monotonicMs() };
        }
    }

    createToken(): string {
        this.tokens += 1;
        return `token-${this.tokens}`;
    }

    recordViolation(violation: string): void {
        this.violations.push(`${violation} at ${this.clock.monotonicMs()} ms`);
    }

    listReachable(self: ClusterNode): readonly SystemNode[] {
        const others = this.nodes.filter((node) => node !== self && !node.isCut && !node.gate.isClosed);
        return self.isCut || !this.arePeersReachable ? [] : others;
    }

    /** Sends a request through a node and checks the response to its caller. */
    async request(index: number, request: CallerRequest): Promise<void> {
        try {
            const answer = await this.nodes[index]!.serve(request);
            this.answered.complete += 1;
            if (answer === "streamed" || answer.body.toString() !== JSON.stringify(request.path)) {
                this.recordViolation("a caller received another response");
            }
        } catch (error) {
            if (!(error instanceof RouterError)) {
                this.recordViolation(
                    `a caller received an error that is not a RouterError: ${String(error)}`,
                );
                return;
            }
            this.answered.refused += 1;
            if (error.executed === "no") {
                this.notRun.add(request.requestId);
                this.checkNotRun(request.requestId);
            }
        }
    }

    checkCustomer(request: CallerRequest, customer: string): void {
        if (customer !== `customer-${request.keyId}`) {
            this.recordViolation("a request runs for another customer");
        }
    }

    recordUsage(recorder: UsageRecorder, amount: UsageAmount): void {
        this.recordedRequests += amount.requests;
        recorder.recordUsage(amount);
    }

    planFault(): BackendFault {
        return this.planBackend();
    }

    readDurationMs(): number {
        return this.runMs;
    }

    recordRun(run: BackendRun): void {
        this.runs.push(run);
        this.checkNotRun(run.requestId);
        this.checkOnce(run.path);
        const nowMs = this.clock.monotonicMs();
        const node = this.nodes.find(({ name }) => name === run.node);
        const { sinceMs } = this.leaving.get(run.address) ?? { sinceMs: Number.POSITIVE_INFINITY };
        if (node === undefined) {
            this.recordViolation("a node that crashed sent a request");
            return;
        }
        if (nowMs - Math.max(sinceMs, node.reachableSinceMs) > maximumLeavingDispatchMs) {
            this.recordViolation("a leaving server got work");
        }
        const contactMs = Math.max(node.lastReachableMs, this.contactMs.get(node) ?? 0);
        if (nowMs - contactMs > isolationLimitMs + this.stepMs) {
            this.recordViolation("a node sent a request although it was cut off");
        }
    }

    /** Announces that a server leaves, unless no other server would remain. */
    startLeaving(index: number): void {
        if (this.leaving.size + 1 < serverCount) {
            const address = `127.0.0.1:${9_000 + index}`;
            const host = { name: `server-${index}`, dataCentre: "one", address, role: "backend" } as const;
            const leavesAtMs = this.clock.wallMs() + 20_000;
            const sinceMs = this.clock.monotonicMs();
            this.leaving.set(address, { sinceMs, host: { ...host, state: "leaving", leavesAtMs } });
        }
    }

    listHosts(): Promise<readonly ListedHost[]> {
        return Promise.resolve([...this.leaving.values()].map(({ host }) => host));
    }

    buildOrderingService(node: ClusterNode): OrderingService {
        return {
            orderServers: async (...[order, , isSendAllowed]) => {
                ensureSendAllowed(isSendAllowed);
                return node.gate.waitUntilOpen(this.receiver.deliver(order));
            },
        };
    }

    buildReportService(node: ClusterNode): UsageReportService {
        return {
            reportUsage: async (...[report, , isSendAllowed]) => {
                ensureSendAllowed(isSendAllowed);
                await node.gate.waitUntilOpen(this.deliverReport(report));
            },
        };
    }

    override check(keys: readonly string[]): void {
        super.check(keys);
        const nowMs = this.clock.monotonicMs();
        for (const node of this.nodes) {
            if (node.isCut || node.gate.isClosed) {
                node.reachableSinceMs = nowMs;
                node.schedulers.forEach((scheduler) => scheduler.resetStarvation());
            } else {
                node.schedulers.forEach((scheduler) => scheduler.checkStarvation());
                this.checkConvergence(node);
            }
        }
        this.checkOrders();
        const violation = findReportViolation(this.reports);
        if (violation !== undefined) {
            this.recordViolation(`usage reports: ${violation}`);
        }
        if (this.violations.length > 0) {
            throw new Error(this.violations.join("\n"));
        }
    }

    /** Sums the requests in the first report of each usage window. */
    sumReportedRequests(): number {
        const windows = new Map([...this.reports].reverse().map((report) => [report.windowStartMs, report]));
        const customers = [...windows.values()].flatMap((report) => report.customers);
        return customers.reduce((sum, { requests }) => sum + requests, 0);
    }

    private async deliverReport(report: UsageReport): Promise<void> {
        const fault = this.planReport();
        if (fault === "lostOrder") {
            throw new PlatformError(PlatformErrorKind.Ambiguous, "report lost");
        }
        await this.clock.wait(fault === "slow" ? wireBoundMs : 10);
        this.reports.push(structuredClone(report));
        if (fault === "lostAnswer") {
            throw new PlatformError(PlatformErrorKind.Ambiguous, "answer lost");
        }
    }

    private checkNotRun(requestId: string): void {
        if (this.notRun.has(requestId) && this.runs.some((run) => run.requestId === requestId)) {
            this.recordViolation(`request ${requestId} ran although its caller heard "not run"`);
        }
    }

    private checkOnce(path: string): void {
        if (path.startsWith("/orders/") && this.runs.filter((run) => run.path === path).length > 1) {
            this.recordViolation(`${path} ran twice`);
        }
    }

    /** Checks that accepted changes are active on a node that has been in contact for the convergence bound. */
    private checkConvergence(node: SystemNode): void {
        const nowMs = this.clock.monotonicMs();
        const sinceMs = Math.max(this.healthySinceMs, node.reachableSinceMs);
        const isDue = (atMs: number): boolean =>
            nowMs - Math.max(sinceMs, atMs) > convergenceBoundMs + this.stepMs;
        const { revision, atMs } = this.acceptedRevision;
        if (isDue(atMs) && (node.configuration.readCurrent()?.revision ?? 0) < revision) {
            this.recordViolation(`revision ${revision} is not in force on ${node.name}`);
        }
        for (const [keyId, withdrawnMs] of this.withdrawn) {
            if (isDue(withdrawnMs) && node.accepts(keyId)) {
                this.recordViolation(`withdrawn key ${keyId} works on ${node.name}`);
            }
        }
    }

    private checkOrders(): void {
        const { accepted } = this.receiver;
        const [before, last] = accepted.slice(-2);
        if (before === undefined || last === undefined) {
            return;
        }
        if (last.fencingNumber < before.fencingNumber || last.generation < before.generation) {
            this.recordViolation("orders of two holders interleaved");
        }
    }
}

function ensureSendAllowed(isSendAllowed?: () => boolean): void {
    if (isSendAllowed?.() === false) {
        throw new PlatformError(PlatformErrorKind.Unavailable, "sending is no longer allowed");
    }
}
