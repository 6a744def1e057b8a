import {
    MemoryTableService,
    type ListedHost,
    type ServerOrder,
    type UsageReport,
} from "@pimentocleat/services";
import type { PoolSummary } from "@pimentocleat/policy";
import { poolSchema } from "@pimentocleat/schema";
import { SilentLogger } from "@pimentocleat/telemetry";
import { ManualClock } from "@pimentocleat/types";
import { beforeEach, describe, expect, it } from "vitest";
import { NodeDuties } from "../nodeDuties.js";

const servers = ["catania", "ragusa"].flatMap((dataCentre, index) => [
    { name: `${dataCentre}-1`, address: `127.0.0.1:900${index}`, dataCentre, slots: 4 },
    { name: `${dataCentre}-2`, address: `127.0.0.1:901${index}`, dataCentre, slots: 4, reclaimable: true },
]);
const pool = poolSchema.parse({ name: "copy", kind: "model", ordering: { maximumServers: 20 }, servers });

interface RunningNode {
    readonly name: string;
    readonly duties: NodeDuties;
    readonly stopping: AbortController;
    readonly stopped: Promise<void>;
    isPresent: boolean;
}

describe("NodeDuties", () => {
    let clock: ManualClock;
    let table: MemoryTableService;
    let nodes: RunningNode[];
    let orders: ServerOrder[];
    let reports: UsageReport[];
    let hosts: ListedHost[];

    beforeEach(() => {
        clock = new ManualClock();
        table = new MemoryTableService();
        hosts = [];
        [nodes, orders, reports] = [[], [], []];
        ["a", "b", "c"].forEach(startNode);
    });

    function startNode(name: string): void {
        const duties = new NodeDuties({
            name,
            incarnation: 1,
            tableService: table,
            orderingService: {
                orderServers: (order) => {
                    orders.push(order);
                    return Promise.resolve({ outcome: "accepted" });
                },
            },
            reportService: { reportUsage: (report) => Promise.resolve(void reports.push(report)) },
            clock,
            random: () => 0.5,
            logger: new SilentLogger(),
            listMembers: () =>
                nodes
                    .filter((node) => node.isPresent && node.name !== name)
                    .map((node) => ({ name: node.name, incarnation: 1 })),
            copyUsage: (copy) => {
                const peer = nodes.find((node) => node.isPresent && node.name !== name);
                peer?.duties.usage.storeCopy(copy);
                return Promise.resolve(peer !== undefined);
            },
            listPools: () => [pool],
            listSummaries: () => [],
            hostList: { listHosts: () => Promise.resolve(hosts) },
        });
        const stopping = new AbortController();
        nodes.push({ name, duties, stopping, stopped: duties.run(stopping.signal), isPresent: true });
    }

    async function advance(durationMs: number): Promise<void> {
        for (let movedMs = 0; movedMs < durationMs; movedMs += 250) {
            clock.advance(250);
            await new Promise((resolve) => setImmediate(resolve));
        }
    }

    function setDemand(waiting: number): void {
        const counts = {
            waiting: { quick: waiting },
            running: {},
            demand: {},
            servedTokens: {},
            stragglers: [],
        };
        const summary: PoolSummary = { pool: "copy", node: "elsewhere", sequence: 1, ...counts };
        nodes.forEach((node) => node.duties.recordSummary(summary));
    }

    function sumDesiredServers(): number {
        const latest = new Map(
            orders.map((order) => [`${order.dataCentre}/${order.reclaimable}`, order.count]),
        );
        return [...latest.values()].reduce((sum, count) => sum + count, 0);
    }

    it("orders by demand from one node at a time, without reclaimable servers under notice", async () => {
        await advance(20_000);
        expect(sumDesiredServers()).toBe(1);
        setDemand(30);
        await advance(5_000);
        expect(sumDesiredServers()).toBe(9);
        const { name, address, dataCentre } = servers[3]!;
        hosts = [{ name, address, dataCentre, role: "backend", state: "leaving" }];
        await advance(5_000);
        expect(sumDesiredServers()).toBe(9);
        const last = orders.filter((order) => order.reclaimable && order.dataCentre === "ragusa").at(-1);
        expect(last?.count).toBe(0);
        expect(new Set(orders.map((order) => order.sender)).size).toBe(1);
    });

    it("hands the duty over at a graceful stop and keeps the desired state", async () => {
        setDemand(30);
        await advance(20_000);
        const holder = nodes.find((node) => node.name === orders[0]?.sender)!;
        holder.stopping.abort();
        holder.isPresent = false;
        await holder.stopped;
        const released = holder.duties.releaseLeases();
        await advance(20_000);
        await released;
        expect(new Set(orders.map((order) => order.sender)).size).toBe(2);
        expect(orders.map((order) => order.fencingNumber).at(-1)).toBe(2);
        expect(sumDesiredServers()).toBe(9);
    });

    it("reports what a dead node recorded, from the copy on a peer", async () => {
        await advance(10_000);
        const amount = { customer: "chain", requests: 1, promptTokens: 5, completionTokens: 10 };
        table.setFaultPlan(() => "unavailable");
        nodes.forEach((node) => node.duties.usage.recorder.recordUsage(amount));
        await advance(2_000);
        const dead = nodes.at(-1)!;
        dead.stopping.abort();
        dead.isPresent = false;
        table.setFaultPlan(() => "none");
        await advance(150_000);
        expect(reports).toHaveLength(1);
        expect(reports[0]?.customers).toEqual([
            { customer: "chain", requests: 3, promptTokens: 15, completionTokens: 30 },
        ]);
    });

    it("flushes usage at a stop", async () => {
        const [node] = nodes;
        const amount = { customer: "chain", requests: 1, promptTokens: 5, completionTokens: 10 };
        node!.duties.usage.recorder.recordUsage(amount);
        await node!.duties.usage.flush();
        expect(await table.scanRows("usage")).toHaveLength(1);
    });
});
