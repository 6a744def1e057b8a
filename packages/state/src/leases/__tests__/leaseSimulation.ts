/**
 * Simulates several hosts that compete for leases in one table service.
 *
 * @packageDocumentation
 */
import {
    MemoryTableService,
    noStoreClock,
    type EraSource,
    type StoreClock,
    type TableCopy,
    type TableService,
} from "@pimentocleat/services";
import { defaultLeaseTiming, type LeaseTiming } from "@pimentocleat/policy";
import { SilentLogger } from "@pimentocleat/telemetry";
import { ManualClock } from "@pimentocleat/types";
import { HostTableService, flushTasks, SimulatedHost } from "../../retrying/__tests__/simulatedHost.js";
import { SimulatedNetwork, type NetworkTraits } from "../../retrying/__tests__/simulatedNetwork.js";
import { WireTableService } from "../../retrying/__tests__/wireTableService.js";
import { LeaseManager } from "../leaseManager.js";

/** Default maximum time that an order is in flight, in milliseconds. */
export const defaultWireBoundMs = 500;

export interface LeaseNode {
    readonly name: string;
    readonly host: SimulatedHost;
    readonly table: HostTableService;
    readonly manager: LeaseManager;
    readonly stopping: AbortController;
}

export interface LeaseSimulationOptions {
    readonly nodeCount: number;
    readonly leases: readonly string[];
    readonly timing?: LeaseTiming;
    readonly wireBoundMs?: number;
    readonly watchIntervalMs?: number;
    /** Time after its start in which a restarted node acquires no lease, in milliseconds. */
    readonly startDelayMs?: number;
    /** Wraps the table service; mutants return a defective one. */
    readonly wrapTable?: (tableService: TableService) => TableService;
    /** Rates of the hosts' clocks, assigned round robin. */
    readonly rates?: readonly number[];
    /** Whether the table service names eras, and so may come back from an older copy. */
    readonly hasEras?: boolean;
    /** Differences of the hosts' wall clocks from true time in milliseconds, assigned round robin. */
    readonly wallOffsetsMs?: readonly number[];
    /** Additional delay before a takeover for each node that is preferred, in milliseconds. */
    readonly preferenceDelayMs?: number;
    /** Whether no node is preferred for a lease, as on the users' platform. */
    readonly hasNoPreference?: boolean;
    /**
     * The network between the nodes and to the table service; without it, every message arrives at once, and a
     * condition names the era of the version that it was read with.
     */
    readonly network?: NetworkTraits;
    /** Starts the duties of a node. */
    readonly onNode?: (node: LeaseNode) => void;
}

export class LeaseSimulation {
    readonly clock = new ManualClock();
    readonly memory = new MemoryTableService();
    readonly nodes: LeaseNode[] = [];
    /** All nodes ever started, because a frozen one may continue later. */
    readonly allNodes: LeaseNode[] = [];
    readonly network: SimulatedNetwork | undefined;
    /** Indexes of the nodes that cannot reach the table service; has an effect only with a network. */
    readonly cutOff = new Set<number>();
    private tokens = 0;
    private era = 0;

    constructor(readonly options: LeaseSimulationOptions) {
        this.network =
            options.network === undefined ? undefined : new SimulatedNetwork(this.clock, options.network);
        if (options.hasEras === true) {
            this.startEra();
        }
        for (let index = 0; index < options.nodeCount; index += 1) {
            this.startNode(index);
        }
    }

    /** Lets the table service come back from a copy, or from now when absent. */
    startEra(copy?: TableCopy): void {
        this.era += 1;
        this.memory.startEra(copy);
    }

    /** Replaces a node by a new incarnation; the old one never runs again. */
    killNode(index: number): void {
        this.nodes[index]!.host.freeze();
        this.startNode(index);
    }

    /** Starts a new incarnation of the node with an index. */
    startNode(index: number): void {
        const name = `node-${index}-${this.allNodes.length}`;
        const rates = this.options.rates ?? [1];
        const wallOffsetsMs = this.options.wallOffsetsMs ?? [0];
        const host = new SimulatedHost(
            this.clock,
            rates[index % rates.length],
            wallOffsetsMs[index % wallOffsetsMs.length],
        );
        const wrapTable = this.options.wrapTable ?? ((service: TableService): TableService => service);
        const client = this.createClient(index);
        const storeClock: StoreClock = client instanceof WireTableService ? client : noStoreClock;
        const table = new HostTableService(wrapTable(client), host, client, storeClock);
        const manager = new LeaseManager({
            tableService: table,
            eras: table,
            clock: host,
            node: name,
            listNodes: () =>
                this.options.hasNoPreference === true ? [] : this.nodes.map((node) => node.name),
            logger: new SilentLogger(),
            random: () => this.network?.draw() ?? 0.5,
            createToken: () => `token-${(this.tokens += 1)}`,
            timing: this.options.timing ?? defaultLeaseTiming,
            wireBoundMs: this.options.wireBoundMs ?? defaultWireBoundMs,
            watchIntervalMs: this.options.watchIntervalMs,
            preferenceDelayMs: this.options.preferenceDelayMs,
            earliestAcquisitionMs:
                this.allNodes.length < this.options.nodeCount
                    ? 0
                    : host.monotonicMs() + (this.options.startDelayMs ?? 0),
        });
        manager.setDesiredLeases(this.options.leases);
        const node: LeaseNode = { name, host, table, manager, stopping: new AbortController() };
        this.nodes[index] = node;
        this.allNodes.push(node);
        void manager.run(node.stopping.signal);
        this.options.onNode?.(node);
    }

    private createClient(index: number): TableService & EraSource {
        if (this.network === undefined) {
            return this.memory;
        }
        const isReachable = (): boolean => !this.cutOff.has(index);
        return new WireTableService(
            this.memory,
            this.network,
            () => this.era,
            isReachable,
            () => this.clock.monotonicMs(),
        );
    }

    /** Freezes a node after a number of further pauses; pauses are before and after each call. */
    freezeSoon(index: number, pauses: number): void {
        const { host, table } = this.nodes[index]!;
        let left = pauses;
        table.onPause = (): void => {
            if (left === 0) {
                host.freeze();
            }
            left -= 1;
        };
    }

    thaw(index: number): void {
        const { host, table } = this.nodes[index]!;
        table.onPause = (): void => {};
        host.thaw();
    }

    listValidHolders(lease: string): readonly string[] {
        return this.allNodes
            .filter((node) => node.manager.findHeldLease(lease)?.isValid())
            .map((node) => node.name);
    }

    async advance(durationMs: number, check: () => void = () => {}, stepMs = 100): Promise<void> {
        for (let movedMs = 0; movedMs < durationMs; movedMs += stepMs) {
            this.clock.advance(stepMs);
            await flushTasks(2);
            check();
        }
    }

    async recoverAll(durationMs: number, check: () => void = () => {}): Promise<void> {
        this.memory.setFaultPlan(() => "none");
        this.memory.applyDelayedCommits();
        [...this.nodes.keys()].forEach((index) => this.thaw(index));
        await this.advance(durationMs, check);
    }
}
