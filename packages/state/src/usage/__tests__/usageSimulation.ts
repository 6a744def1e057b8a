/**
 * Simulates nodes that record usage and report it under a lease, and a receiver that records every report.
 *
 * @packageDocumentation
 */
import { noEras, PlatformError, PlatformErrorKind, type UsageReport } from "@pimentocleat/services";
import { createRandom } from "@pimentocleat/policy";
import { SilentLogger } from "@pimentocleat/telemetry";
import type { LeaseHandle } from "../../leases/heldLease.js";
import {
    LeaseSimulation,
    type LeaseNode,
    type LeaseSimulationOptions,
} from "../../leases/__tests__/leaseSimulation.js";
import { SimulatedHost } from "../../retrying/__tests__/simulatedHost.js";
import { UsageCollector } from "../usageCollector.js";
import { EraObservation } from "../eraObservation.js";
import type { UsageCopy } from "../usageCopySink.js";
import { UsageCopyStore } from "../usageCopyStore.js";
import { UsageLedger, type UsageLedgerOptions } from "../usageLedger.js";
import { UsageReporter, type UsageReporterOptions } from "../usageReporter.js";
import { UsageRowWriter } from "../usageRowWriter.js";
import type { ArrivedReport } from "./reportOracle.js";
import { defaultDurations, type UsageDurations } from "./usageDurations.js";
import { runUsersWrites } from "./usersWrites.js";

export const usageLease = "usage-reporter";
export const windowMs = defaultDurations.windowMs;
const callTimeoutMs = 1_000;
const copyIntervalMs = 500;
const replyTimeoutMs = 400;
/** Number of windows whose counts are written again in a new era. */
const rewrittenWindows = 4;

/** The fault that affects a report or its answer on the network. */
export type ReportFault = "none" | "lostReport" | "lostAnswer" | "slow";

export interface UsageSimulationOptions extends Partial<LeaseSimulationOptions> {
    readonly createLedger?: (options: UsageLedgerOptions) => UsageLedger;
    readonly createReporter?: (options: UsageReporterOptions) => UsageReporter;
    /** Time for which rows of reported windows are kept, in milliseconds; one hour when absent. */
    readonly retentionMs?: number;
    /**
     * Whether nodes forward usage to another node, which writes it; some messages and replies are lost. A mutant
     * replies before it has written the usage. Nodes do not forward when absent.
     */
    readonly forwards?: "honest" | "mutant";
    /** Whether reporters take the copy's word for what was reported; a mutant for stores with eras. */
    readonly trustsCopies?: boolean;
    readonly durations?: UsageDurations;
}

interface Recorded {
    readonly ledger: UsageLedger;
    readonly atMs: number;
    readonly tokens: number;
}

export class UsageSimulation {
    readonly leases: LeaseSimulation;
    readonly reports: ArrivedReport[] = [];
    chooseReportFault: () => ReportFault = () => "none";
    /** Called when a report has arrived, before its sender learns so. */
    onReport: (node: LeaseNode) => void = () => undefined;
    private readonly durations: UsageDurations;
    private readonly random = createRandom(1);
    private readonly ledgers = new Map<LeaseNode, UsageLedger>();
    private readonly eraObservations = new Map<LeaseNode, EraObservation>();
    private readonly collectors = new Map<LeaseNode, UsageCollector>();
    private messageCount = 0;
    private readonly recorded: Recorded[] = [];
    private readonly deadIncarnations = new Set<string>();
    /** Time at which the copy of each ledger was last complete, in monotonic milliseconds. */
    private readonly lastCompleteCopyMs = new Map<UsageLedger, number>();
    private copyStore: UsageCopyStore;

    constructor(private readonly options: UsageSimulationOptions = {}) {
        this.durations = options.durations ?? defaultDurations;
        this.leases = new LeaseSimulation({
            nodeCount: 3,
            ...options,
            leases: [usageLease],
            onNode: (node) => queueMicrotask(() => this.startNode(node)),
        });
        this.copyStore = this.createCopyStore();
        void this.runCopyRecovery();
    }

    /** Records usage on the node at an index. */
    record(index: number, tokens: number): void {
        const ledger = this.ledgers.get(this.leases.nodes[index]!);
        ledger?.recordUsage({
            customer: `customer-${tokens % 2}`,
            requests: 1,
            promptTokens: 0,
            completionTokens: tokens,
        });
        if (ledger !== undefined) {
            this.recorded.push({ ledger, atMs: this.leases.clock.monotonicMs(), tokens });
        }
    }

    /** Marks the previous incarnation of a node as dead; called right after the node was replaced. */
    recordCrash(index: number): void {
        const old = this.leases.allNodes.filter((node) => node.name.startsWith(`node-${index}-`)).at(-2);
        if (old !== undefined) {
            this.deadIncarnations.add(old.name);
        }
    }

    /** Kills all nodes at one moment, with the copies of usage, and starts new ones. */
    killAll(): void {
        this.copyStore = this.createCopyStore();
        [...this.leases.nodes.keys()].forEach((index) => this.leases.killNode(index));
    }

    sumRecorded(): number {
        return this.recorded.reduce((sum, { tokens }) => sum + tokens, 0);
    }

    /** Sums the usage that dead nodes recorded after their last complete copy. */
    sumAtRisk(): number {
        const deadLedgers = [...this.ledgers].filter(([node]) => this.deadIncarnations.has(node.name));
        const lastCompleteCopies = new Map(
            deadLedgers.map(([, ledger]) => [ledger, this.lastCompleteCopyMs.get(ledger) ?? -1]),
        );
        return this.recorded
            .filter(
                ({ ledger, atMs }) => atMs >= (lastCompleteCopies.get(ledger) ?? Number.POSITIVE_INFINITY),
            )
            .reduce((sum, { tokens }) => sum + tokens, 0);
    }

    /** Sums the first report of each window. */
    sumReported(): number {
        const windows = new Map([...this.reports].reverse().map((report) => [report.windowStartMs, report]));
        return [...windows.values()]
            .flatMap((report) => report.customers)
            .reduce((sum, { completionTokens }) => sum + completionTokens, 0);
    }

    /** The host of the copies fails only in {@link UsageSimulation.killAll}. */
    private createCopyStore(): UsageCopyStore {
        const { clock, memory } = this.leases;
        return new UsageCopyStore({
            writer: new UsageRowWriter({ tableService: memory, clock, callTimeoutMs }),
            clock,
            isIncarnationDead: (incarnation) =>
                this.durations.users !== undefined || this.deadIncarnations.has(incarnation),
            windowMs: this.durations.windowMs,
            retentionMs: 7_200_000,
            logger: new SilentLogger(),
        });
    }

    private startNode(node: LeaseNode): void {
        const { table: tableService, host: clock, name: incarnation } = node;
        this.eraObservations.set(node, this.createEraObservation(node));
        const writer = new UsageRowWriter({ tableService, clock, callTimeoutMs });
        const options = {
            writer,
            clock,
            incarnation,
            windowMs: this.durations.windowMs,
            logger: new SilentLogger(),
            copySink: { storeCopy: (copy: UsageCopy) => this.copyStore.storeCopy(copy) },
            eras: node.table,
            retentionMs: rewrittenWindows * this.durations.windowMs,
        };
        const ledger = this.options.createLedger?.(options) ?? new UsageLedger(options);
        this.ledgers.set(node, ledger);
        const collector = new UsageCollector({
            writer,
            clock,
            logger: new SilentLogger(),
            collectionDelayMs: replyTimeoutMs / 2,
        });
        this.collectors.set(node, collector);
        void this.runReporter(node);
        if (this.durations.users !== undefined) {
            void runUsersWrites(clock, ledger, this.durations, this.random);
            return;
        }
        void this.runEvery(clock, this.durations.flushIntervalMs, async () => {
            await this.forwardUsage(ledger, incarnation);
            await ledger.flushOnce();
        });
        void this.runEvery(clock, copyIntervalMs, async () => {
            const startedMs = this.leases.clock.monotonicMs();
            if (await ledger.copyOnce()) {
                this.lastCompleteCopyMs.set(ledger, startedMs);
            }
        });
    }

    /** Forwards usage; every third message or reply is lost, and replies are delayed while the collector is frozen. */
    private async forwardUsage(ledger: UsageLedger, incarnation: string): Promise<void> {
        const { forwards } = this.options;
        if (forwards === undefined) {
            return;
        }
        const collector = this.collectors.get(this.leases.nodes[0]!);
        for (const usage of ledger.listUnstored() ?? []) {
            if (forwards === "mutant") {
                ledger.recordStored(usage, usage.version + 1);
            }
            if ((this.messageCount += 1) % 3 > 0) {
                collector?.addUsage({ ...usage, incarnation }, (version) => {
                    if ((this.messageCount += 1) % 3 > 0) {
                        ledger.recordStored(usage, version);
                    }
                });
            }
        }
        await this.leases.clock.wait(replyTimeoutMs);
    }

    private async runReporter(node: LeaseNode): Promise<void> {
        let lease: LeaseHandle | undefined;
        let reporter: UsageReporter | undefined;
        await this.runEvery(node.host, this.durations.stepMs, async () => {
            this.eraObservations.get(node)?.update();
            if ((await reporter?.recordHandover()) === false) {
                return;
            }
            const current = node.manager.findHeldLease(usageLease);
            if (current !== lease) {
                lease = current;
                reporter = current === undefined ? undefined : this.createReporter(node, current);
            }
            await reporter?.advanceOnce();
        });
    }

    private createEraObservation({ table, host }: LeaseNode): EraObservation {
        const eras = this.options.trustsCopies === true ? noEras : table;
        // The second clock keeps its time when a test delays the first one.
        const observation = new EraObservation(eras, [host, { wallMs: host.wallMs.bind(host) }], table);
        observation.update();
        return observation;
    }

    private createReporter(node: LeaseNode, lease: LeaseHandle): UsageReporter {
        const options: UsageReporterOptions = {
            tableService: node.table,
            reportService: {
                reportUsage: (report, ...[, allowed]) => this.deliverReport(node, report, allowed),
            },
            clock: node.host,
            lease,
            node: node.name,
            logger: new SilentLogger(),
            receiver: { checksFencing: false, wireBoundMs: this.durations.wireBoundMs },
            windowMs: this.durations.windowMs,
            graceMs: this.durations.graceMs,
            ...this.buildSealDelays(node),
            maximumWindowsPerStep: 10,
            retentionMs: this.options.retentionMs ?? 3_600_000,
            callTimeoutMs,
            eraObservation: this.eraObservations.get(node)!,
            storeClock: node.table,
        };
        return this.options.createReporter?.(options) ?? new UsageReporter(options);
    }

    private buildSealDelays(
        node: LeaseNode,
    ): Pick<UsageReporterOptions, "firstSealDelayMs" | "maximumSealDelayMs"> {
        const { users, graceMs } = this.durations;
        return users === undefined
            ? {}
            : {
                  firstSealDelayMs: Math.max(0, graceMs - node.manager.getContactDurationMs()),
                  maximumSealDelayMs: users.maximumSealDelayMs,
              };
    }

    private async deliverReport(
        node: LeaseNode,
        report: UsageReport,
        isSendAllowed?: () => boolean,
    ): Promise<void> {
        if (isSendAllowed?.() === false) {
            throw new PlatformError(PlatformErrorKind.Unavailable, "send no longer allowed");
        }
        const fault = this.chooseReportFault();
        if (fault === "lostReport") {
            throw new PlatformError(PlatformErrorKind.Ambiguous, "report lost");
        }
        await this.leases.clock.wait(fault === "slow" ? this.durations.wireBoundMs : 10);
        this.reports.push({ ...structuredClone(report), arrivedMs: this.leases.clock.monotonicMs() });
        this.onReport(node);
        await node.host.waitUntilThawed();
        if (fault === "lostAnswer") {
            throw new PlatformError(PlatformErrorKind.Ambiguous, "answer lost");
        }
    }

    private async runCopyRecovery(): Promise<void> {
        await this.runEvery(new SimulatedHost(this.leases.clock), 500, () => this.copyStore.recoverOnce());
    }

    private async runEvery(
        host: SimulatedHost,
        intervalMs: number,
        action: () => Promise<unknown>,
    ): Promise<void> {
        for (;;) {
            await host.wait(intervalMs);
            await action();
        }
    }
}
