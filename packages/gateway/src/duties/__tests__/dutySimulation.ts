/**
 * Simulates the duties of all nodes of a deployment: most of them forward their counts to the collector of their data
 * centre and know the store and each other only by messages, which get lost and are read late.
 *
 * @packageDocumentation
 */
import { PlatformError, PlatformErrorKind, type UsageReport } from "@pimentocleat/services";
import { createRandom } from "@pimentocleat/policy";
import type { ForwardedUsage, UsageCopy } from "@pimentocleat/state";
import { SilentLogger, type Logger } from "@pimentocleat/telemetry";
import { ManualClock } from "@pimentocleat/types";
import { flushTasks, SimulatedHost } from "../../../../state/src/retrying/__tests__/simulatedHost.js";
import {
    findHolderViolation,
    findReportViolation,
    type ArrivedReport,
    type HolderAct,
} from "../../../../state/src/usage/__tests__/reportOracle.js";
import { MedianClock } from "../../peers/medianClock.js";
import { buildDutySettings } from "../dutySettings.js";
import { NodeDuties } from "../nodeDuties.js";
import { DutyStore } from "./dutyStore.js";

export const usageWindowMs = 5_000;
const usageDueMs = 10_000;
const leaseMs = 3_000;
const settings = buildDutySettings(leaseMs);
const receiver = { checksFencing: false, wireBoundMs: settings.wireBoundMs };
const usageLease = "usage";
const stepMs = 100;
const maximumDataCentres = 5;
const nodesPerDataCentre = 4;
/** Number of nodes that make lease calls, and their maximum number in a data centre. */
const candidates = 4;
const maximumCandidatesPerDataCentre = 2;
/** Interval at which nodes send messages with their time, in milliseconds. */
const messageIntervalMs = 500;
/** Maximum number of nodes to which a node sends its messages. */
const maximumPeers = 24;
/** Time after which a node that sent no message counts as gone, in milliseconds. */
const peerLifetimeMs = 1_500;
/** Number of messages that wait for a frozen node; later ones are dropped, as by a socket whose buffer is full. */
const queuedMessages = 400;
const ordinaryLossShare = 0.1;
const ordinaryDelayMs = 60;
/** Largest difference of an ordinary wall clock from true time, in milliseconds. */
const clockErrorMs = 100;
/** Share of the nodes that hear almost no peers, and the share of messages that they miss. */
const deafShare = 0.1;
const deafLossShare = 0.95;
/** Time in which only the first node reaches the store, in milliseconds. */
const firstLeaseMs = 2_000;
/** Chance that a node records usage in one step, and the number of its customers. */
const recordShare = 0.3;
const customers = 3;

/** The fault that affects a report or its answer. */
export type ReportFault = "none" | "lostReport" | "lostAnswer" | "slow";

export interface DutySimulationOptions {
    readonly nodeCount: number;
    readonly seed: number;
    /** Error of the first node's clock in milliseconds; that node hears no peers and is the first reporter. */
    readonly firstClockErrorMs?: number;
    readonly createLogger?: (node: string, clock: ManualClock) => Logger;
}

/** A host whose wall clock can be stepped. */
class SteppedHost extends SimulatedHost {
    clockErrorMs = 0;

    override wallMs(): number {
        return super.wallMs() + this.clockErrorMs;
    }
}

export interface DutyNode {
    readonly index: number;
    readonly name: string;
    readonly host: SteppedHost;
    readonly agreedClock: MedianClock;
    readonly duties: NodeDuties;
    /** When this node last heard of a node, by index, in monotonic milliseconds. */
    readonly heardMs: Map<number, number>;
    readonly lossShare: number;
    /** Number of messages that wait because the host is frozen. */
    waiting: number;
}

export class DutySimulation {
    readonly clock = new ManualClock();
    readonly store: DutyStore;
    readonly nodes: DutyNode[] = [];
    readonly reports: ArrivedReport[] = [];
    readonly random: () => number;
    lossShare = ordinaryLossShare;
    reportFault: ReportFault = "none";
    /** Called when a report has arrived, before its sender learns so. */
    onReport: (index: number) => void = () => undefined;
    private readonly acts: HolderAct[] = [];
    private readonly dataCentres: number;
    private started = 0;

    constructor(readonly options: DutySimulationOptions) {
        const { nodeCount, seed } = options;
        this.random = createRandom(seed);
        this.store = new DutyStore(this.clock, seed);
        this.clock.advance(usageWindowMs - (this.clock.wallMs() % usageWindowMs));
        this.dataCentres = Math.min(
            maximumDataCentres,
            Math.max(1, Math.floor(nodeCount / nodesPerDataCentre)),
        );
        this.listIndexes().forEach((index) => this.startNode(index));
        if (options.firstClockErrorMs !== undefined) {
            this.cutOffOthers();
        }
    }

    listIndexes(): readonly number[] {
        return [...Array(this.options.nodeCount).keys()];
    }

    /** Lets time pass, in which nodes record usage, tell each other their time, and the store is copied. */
    async advance(durationMs: number): Promise<void> {
        for (let movedMs = 0; movedMs < durationMs; movedMs += stepMs) {
            this.recordRequests();
            if (this.clock.monotonicMs() % messageIntervalMs === 0) {
                this.sendTimes();
            }
            this.clock.advance(stepMs);
            await flushTasks(2);
            this.recordActs();
            this.store.keepCopy();
        }
    }

    /** Ends the processes of nodes at one moment and starts new ones. */
    killNodes(indexes: readonly number[]): void {
        indexes.forEach((index) => this.nodes[index]!.host.freeze());
        indexes.forEach((index) => this.startNode(index));
    }

    /** Suspends the processes of nodes; those that still run when the time is over go on. */
    freezeNodes(indexes: readonly number[], durationMs: number): void {
        const hosts = indexes.map((index) => this.nodes[index]!.host);
        hosts.forEach((host) => host.freeze());
        void this.clock.wait(durationMs).then(() => {
            hosts
                .filter((host) => this.nodes.some((node) => node.host === host))
                .forEach((host) => host.thaw());
        });
    }

    /** Steps the clocks of nodes for a time. */
    stepClocks(indexes: readonly number[], errorMs: number, durationMs: number): void {
        const change = (differenceMs: number): void =>
            indexes.forEach((index) => (this.nodes[index]!.host.clockErrorMs += differenceMs));
        change(errorMs);
        void this.clock.wait(durationMs).then(() => change(-errorMs));
    }

    /** @returns The index of the node that may send reports; -1 when none may. */
    findReporter(): number {
        return this.nodes.findIndex((node) => isEntitled(node));
    }

    listDataCentre(index: number): readonly number[] {
        return this.listIndexes().filter((other) => other % this.dataCentres === index % this.dataCentres);
    }

    /** @returns What is wrong with the reports and the holders of the lease. */
    findViolations(): readonly string[] {
        const { wireBoundMs } = settings;
        const holders = findHolderViolation(this.acts, { leaseMs, wireBoundMs });
        const reports = findReportViolation(this.reports, usageWindowMs, leaseMs);
        return [
            ...(reports === undefined ? [] : [`report: ${reports}`]),
            ...(holders === undefined ? [] : [`holder: ${holders}`]),
        ];
    }

    /** Lets the first node acquire the lease. */
    private cutOffOthers(): void {
        const { cutOff } = this.store;
        this.listIndexes().forEach((index) => cutOff.add(index));
        cutOff.delete(0);
        void this.clock.wait(firstLeaseMs).then(() => cutOff.clear());
    }

    private startNode(index: number): void {
        const { createLogger, firstClockErrorMs, nodeCount } = this.options;
        const isFirstStart = this.started < nodeCount;
        const name = `node-${String(index)}-${String(this.started)}`;
        this.started += 1;
        const host = new SteppedHost(this.clock, 1, (2 * this.random() - 1) * clockErrorMs);
        const hasWrongClock = index === 0 && firstClockErrorMs !== undefined;
        host.clockErrorMs =
            (hasWrongClock && firstClockErrorMs) || (this.nodes[index]?.host.clockErrorMs ?? 0);
        const agreedClock = new MedianClock(host);
        const client = this.store.createClient(index, host);
        const duties = new NodeDuties({
            node: name,
            incarnation: name,
            tableService: client,
            eras: client,
            storeClock: client,
            reportService: {
                reportUsage: (report, ...[, isAllowed]) => this.deliverReport(index, host, report, isAllowed),
            },
            orderingService: undefined,
            clock: host,
            usageClock: agreedClock,
            random: this.random,
            logger: createLogger?.(name, this.clock) ?? new SilentLogger(),
            usageWindowMs,
            usageDueMs,
            settings,
            isFirstStart,
            configuration: undefined as never,
            directory: undefined as never,
            evacuations: undefined as never,
            sendCopy: (copy) => this.sendCopy(index, copy),
            findCollector: () => this.findCollector(index)?.name,
            forwardUsage: (usage, collector) => this.forwardUsage(index, usage, collector),
            isCandidate: () => this.isCandidate(index),
            countNodes: () => nodeCount,
        });
        const isDeaf = hasWrongClock || this.random() < deafShare;
        const lossShare = hasWrongClock ? 1 : isDeaf ? deafLossShare : 0;
        this.nodes[index] = {
            index,
            name,
            host,
            agreedClock,
            duties,
            lossShare,
            heardMs: new Map(),
            waiting: 0,
        };
        void duties.run(new AbortController().signal);
    }

    private recordRequests(): void {
        for (const { host, duties } of this.nodes) {
            if (!host.isFrozen && this.random() < recordShare) {
                duties.usage.recordRequest(`customer-${String(Math.floor(this.random() * customers))}`);
            }
        }
    }

    /** Each node sends its time to the nodes of its data centre first. */
    private sendTimes(): void {
        for (const sender of this.nodes) {
            const wallMs = sender.host.wallMs();
            for (const target of sender.host.isFrozen ? [] : this.listPeers(sender.index)) {
                this.sendMessage(target, () => {
                    target.heardMs.set(sender.index, this.clock.monotonicMs());
                    target.agreedClock.recordPeerTime(String(sender.index), wallMs);
                });
            }
        }
    }

    private listPeers(index: number): readonly DutyNode[] {
        const neighbours = this.listDataCentre(index);
        const others = this.nodes.length > maximumPeers ? [] : this.listIndexes();
        return [...new Set([...neighbours, ...others])]
            .filter((other) => other !== index)
            .map((other) => this.nodes[other]!);
    }

    /** Sends a message, which may get lost; a frozen node reads it when it goes on. */
    private sendMessage(target: DutyNode, receive: () => void): void {
        if (this.random() < Math.max(this.lossShare, target.lossShare)) {
            return;
        }
        void this.clock.wait(this.random() * ordinaryDelayMs).then(async () => {
            if (!target.host.isFrozen) {
                receive();
                return;
            }
            target.waiting += 1;
            if (target.waiting <= queuedMessages) {
                await target.host.waitUntilThawed();
                target.waiting = 0;
                receive();
            }
        });
    }

    /** The first node of the data centre that was heard lately; the node itself when it ranks before those. */
    private findCollector(index: number): DutyNode | undefined {
        const { heardMs } = this.nodes[index]!;
        const sinceMs = this.clock.monotonicMs() - peerLifetimeMs;
        const first = this.listDataCentre(index).find(
            (other) => other === index || (heardMs.get(other) ?? Number.NEGATIVE_INFINITY) >= sinceMs,
        );
        return first === undefined ? undefined : this.nodes[first];
    }

    private isCandidate(index: number): boolean {
        const count = Math.min(maximumCandidatesPerDataCentre, Math.ceil(candidates / this.dataCentres));
        return (
            this.findCollector(index)?.index === index ||
            this.listDataCentre(index).slice(0, count).includes(index)
        );
    }

    private forwardUsage(index: number, usage: ForwardedUsage, collector: string): boolean {
        const sender = this.nodes[index]!;
        const target = this.nodes.find(({ name }) => name === collector);
        if (target === undefined) {
            return false;
        }
        this.sendMessage(target, () =>
            target.duties.usage.addForwardedUsage(usage, (newVersion) =>
                this.sendMessage(sender, () => sender.duties.usage.recordStored({ ...usage, newVersion })),
            ),
        );
        return true;
    }

    private sendCopy(index: number, copy: UsageCopy): boolean {
        const [first, second] = this.listPeers(index);
        [first, second].forEach((peer) => {
            if (peer !== undefined) {
                this.sendMessage(peer, () => peer.duties.usage.storeCopy(copy));
            }
        });
        return first !== undefined;
    }

    private async deliverReport(
        index: number,
        host: SteppedHost,
        report: UsageReport,
        isSendAllowed?: () => boolean,
    ): Promise<void> {
        if (isSendAllowed?.() === false) {
            throw new PlatformError(PlatformErrorKind.Unavailable, "send no longer allowed");
        }
        const fault = this.reportFault;
        if (fault === "lostReport") {
            throw new PlatformError(PlatformErrorKind.Ambiguous, "report lost");
        }
        await this.clock.wait(fault === "slow" ? settings.wireBoundMs : 10);
        this.reports.push({ ...structuredClone(report), arrivedMs: this.clock.monotonicMs() });
        this.onReport(index);
        await host.waitUntilThawed();
        if (fault === "lostAnswer") {
            throw new PlatformError(PlatformErrorKind.Ambiguous, "answer lost");
        }
    }

    /** A node that is entitled to send an order in this step may do so. */
    private recordActs(): void {
        for (const node of this.nodes) {
            if (isEntitled(node)) {
                const { fencingNumber } = node.duties["leases"].findHeldLease(usageLease)!;
                this.acts.push({ sender: node.name, fencingNumber, atMs: this.clock.monotonicMs() });
            }
        }
    }
}

function isEntitled({ host, duties }: DutyNode): boolean {
    return !host.isFrozen && duties["leases"].findHeldLease(usageLease)?.isReadyFor(receiver) === true;
}
