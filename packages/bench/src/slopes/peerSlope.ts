/**
 * Measures the cost of membership and soft state per node, with peers that run in one process and communicate
 * over loopback.
 *
 * @packageDocumentation
 */
import { defaultPeerNetworkSettings, PeerNetwork, type PeerHandlers } from "@pimentocleat/node";
import type { HostList } from "@pimentocleat/services";
import { createRandom } from "@pimentocleat/policy";
import { SilentLogger } from "@pimentocleat/telemetry";
import { SystemClock } from "@pimentocleat/types";
import { setMaxListeners } from "node:events";
import type { Slope, SlopeOptions, SlopePoint, SlopeResult } from "./slope.js";

/** Size of a typical pool summary, in bytes. */
const summaryBytes = 300;
/** Delay before the measurement, in which the members discover each other, in milliseconds. */
const settleMs = 8_000;

const emptyHostList: HostList = { listHosts: () => Promise.resolve([]) };

class CountingPeerHandlers implements PeerHandlers {
    recordsReceived = 0;

    readConfiguration(): undefined {
        return undefined;
    }

    handleHigherRevision(): void {}

    addWithdrawals(): readonly string[] {
        return [];
    }

    listWithdrawals(): readonly string[] {
        return [];
    }

    storeUsageCopy(): void {}

    handleRecord(): void {
        this.recordsReceived += 1;
    }

    handleMemberRemoved(): void {}
}

interface MeasuredNode {
    readonly network: PeerNetwork;
    readonly handlers: CountingPeerHandlers;
}

/** Node counts to measure, and how the nodes send each other their summaries. */
export interface PeerLoad {
    readonly name: string;
    readonly description: string;
    readonly nodeCounts: readonly number[];
    readonly summaryIntervalMs: number;
    /** Whether summaries are sent immediately, as in a pool under load, or with the next exchange. */
    readonly isPushed: boolean;
}

/** Summaries are sent with the regular exchanges; this cost must not grow with the number of nodes. */
export const exchangedSummaries: PeerLoad = {
    name: "peers",
    description: "membership and soft state, per node and second",
    nodeCounts: [3, 9, 27, 81],
    summaryIntervalMs: 1_000,
    isPushed: false,
};

/** Summaries are sent immediately, at the rate of two pools under load that each send one every 200 ms. */
export const pushedSummaries: PeerLoad = {
    name: "busy-peers",
    description: "summaries sent immediately, per node and second",
    nodeCounts: [3, 9, 16],
    summaryIntervalMs: 100,
    isPushed: true,
};

/** Measures bytes, exchanges and processor time per node and second. */
export class PeerSlope implements Slope {
    readonly name: string;
    readonly description: string;

    /** @param load - Node counts to measure, and how the nodes send their summaries. */
    constructor(private readonly load: PeerLoad) {
        this.name = load.name;
        this.description = load.description;
    }

    async measureSlope(options: SlopeOptions): Promise<SlopeResult> {
        const points: SlopePoint[] = [];
        for (const size of this.load.nodeCounts) {
            points.push(await this.measurePoint(size, options));
        }
        return { name: this.name, sizeName: "nodes", seed: options.seed, points };
    }

    private async measurePoint(size: number, options: SlopeOptions): Promise<SlopePoint> {
        const clock = new SystemClock();
        const nodes = await startNodes(size, options.seed, clock);
        const stopping = new AbortController();
        setMaxListeners(size + 1, stopping.signal);
        const sending = nodes.map((node) => sendSummaries(node, this.load, clock, stopping.signal));
        await clock.wait(settleMs);
        const before = readTotals(nodes);
        const startMs = clock.monotonicMs();
        await clock.wait(options.durationMs);
        const after = readTotals(nodes);
        const nodeSeconds = (size * (clock.monotonicMs() - startMs)) / 1_000;
        const memberCounts = nodes.map((node) => node.network.listMembers().length);
        stopping.abort();
        await Promise.all(sending);
        await Promise.all(nodes.map((node) => node.network.close()));
        return {
            size,
            figures: {
                // Each byte is sent by one node and received by another.
                bytesPerNodeSecond: (2 * (after.bytes - before.bytes)) / nodeSeconds,
                datagramBytesPerNodeSecond: (after.datagramBytes - before.datagramBytes) / nodeSeconds,
                exchangesPerNodeSecond: (after.exchanges - before.exchanges) / nodeSeconds,
                recordsPerNodeSecond: (after.records - before.records) / nodeSeconds,
                // One percent of a core is 10 ms of processor time per second.
                processorPercentPerNode: (after.processorMs - before.processorMs) / nodeSeconds / 10,
                leastMembersKnown: Math.min(...memberCounts),
            },
        };
    }
}

async function startNodes(size: number, seed: number, clock: SystemClock): Promise<readonly MeasuredNode[]> {
    const nodes: MeasuredNode[] = [];
    let seedAddress: string | undefined;
    for (let index = 0; index < size; index += 1) {
        const handlers = new CountingPeerHandlers();
        const network = new PeerNetwork({
            name: `node-${index}`,
            dataCentre: `dc-${index % 3}`,
            listenAddress: "127.0.0.1:0",
            secret: "slopes",
            clock,
            random: createRandom(seed + index),
            hostList: emptyHostList,
            seedAddresses: seedAddress === undefined ? [] : [seedAddress],
            handlers,
            logger: new SilentLogger(),
            settings: defaultPeerNetworkSettings,
        });
        const address = await network.open();
        seedAddress ??= address;
        nodes.push({ network, handlers });
    }
    return nodes;
}

async function sendSummaries(
    node: MeasuredNode,
    load: PeerLoad,
    clock: SystemClock,
    signal: AbortSignal,
): Promise<void> {
    const payload = new Uint8Array(summaryBytes);
    while (!signal.aborted) {
        if (load.isPushed) {
            node.network.sendRecords(new Map([["pool:answers", payload]]));
        } else {
            node.network.setRecord("pool:answers", payload);
        }
        await clock.wait(load.summaryIntervalMs, signal);
    }
}

interface Totals {
    readonly bytes: number;
    readonly datagramBytes: number;
    readonly exchanges: number;
    readonly records: number;
    readonly processorMs: number;
}

function readTotals(nodes: readonly MeasuredNode[]): Totals {
    const traffic = nodes.map((node) => node.network.readTraffic());
    const usage = process.cpuUsage();
    return {
        bytes: traffic.reduce((sum, entry) => sum + entry.bytes, 0),
        datagramBytes: traffic.reduce((sum, entry) => sum + entry.datagramBytes, 0),
        exchanges: traffic.reduce((sum, entry) => sum + entry.exchanges, 0),
        records: nodes.reduce((sum, node) => sum + node.handlers.recordsReceived, 0),
        processorMs: (usage.user + usage.system) / 1_000,
    };
}
