/**
 * Checks that the table service calls of the duties and claims of all nodes stay within a share of the budget
 * that the platform allows.
 */
import { MemoryTableService, type TableCallCounts } from "@pimentocleat/services";
import { poolSchema } from "@pimentocleat/schema";
import { TableClaimStore } from "@pimentocleat/state";
import { SilentLogger } from "@pimentocleat/telemetry";
import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { NodeDuties } from "../nodeDuties.js";

/** The platform allows several hundred writes and about two thousand reads a second for all callers together. */
const maximumWritesPerSecond = 400;
const maximumReadsPerSecond = 1_000;
const coarseStepMs = 50;
/** Shorter than the time between two transactions of a node. */
const fineStepMs = 5;
const pools = ["one", "two"].map((name) =>
    poolSchema.parse({
        name,
        kind: "model",
        ordering: { maximumServers: 20 },
        servers: [{ name, address: "127.0.0.1:9000", dataCentre: "catania" }],
    }),
);

class Cluster {
    readonly clock = new ManualClock();
    readonly table = new MemoryTableService();
    readonly duties: NodeDuties[] = [];
    readonly claims: TableClaimStore[] = [];
    private requests = 0;

    constructor(nodeCount: number) {
        let state = 1;
        // A linear congruential generator, so that runs repeat.
        const random = (): number => (state = (state * 16_807) % 2_147_483_647) / 2_147_483_647;
        const names = [...Array(nodeCount).keys()].map((index) => `node-${index}`);
        const { clock, table: tableService } = this;
        const common = { tableService, clock, random, logger: new SilentLogger() };
        for (const name of names) {
            const duties = new NodeDuties({
                ...common,
                name,
                incarnation: 1,
                orderingService: { orderServers: () => Promise.resolve({ outcome: "accepted" }) },
                reportService: { reportUsage: () => Promise.resolve() },
                hostList: { listHosts: () => Promise.resolve([]) },
                listMembers: () =>
                    names.filter((other) => other !== name).map((other) => ({ name: other, incarnation: 1 })),
                copyUsage: () => Promise.resolve(true),
                listPools: () => pools,
                listSummaries: () => [],
            });
            void duties.run(new AbortController().signal);
            this.duties.push(duties);
            this.claims.push(
                new TableClaimStore({ ...common, isOwnerDead: () => false, countNodes: () => nodeCount }),
            );
        }
    }

    /**
     * Advances the clock by steps, in which each node records usage and claims keys at the given rate per node;
     * returns the table calls per second.
     */
    async measure(durationMs: number, claimsPerSecond: number, stepMs: number): Promise<TableCallCounts> {
        const before = this.table.getCallCounts();
        let due = 0;
        for (let movedMs = 0; movedMs < durationMs; movedMs += stepMs) {
            due += (claimsPerSecond * stepMs) / 1_000;
            for (; due >= 1; due -= 1) {
                this.claims.forEach((store, index) => void this.serveRequest(store, index));
            }
            this.duties.forEach((duty) =>
                duty.usage.recorder.recordUsage({
                    customer: "chain",
                    requests: 1,
                    promptTokens: 1,
                    completionTokens: 1,
                }),
            );
            this.clock.advance(stepMs);
            await new Promise((resolve) => setImmediate(resolve));
        }
        const { reads, writes } = this.table.getCallCounts();
        const seconds = durationMs / 1_000;
        return { reads: (reads - before.reads) / seconds, writes: (writes - before.writes) / seconds };
    }

    private async serveRequest(store: TableClaimStore, index: number): Promise<void> {
        const result = await store.claimKey({
            customer: "chain",
            route: "/orders",
            idempotencyKey: `key-${(this.requests += 1)}`,
            requestDigest: "digest",
            requestId: "request",
            node: `node-${index}`,
        });
        if (result.type === "claimed") {
            await store.recordOutcome(result.claim, {
                type: "answered",
                answer: { status: 200, headers: {}, body: "" },
            });
        }
    }
}

describe.each([3, 9, 27])("store budget of %i nodes", (nodeCount) => {
    it("holds under light load, in a burst of claims and right after an outage", async () => {
        const cluster = new Cluster(nodeCount);
        await cluster.measure(60_000, 0, coarseStepMs);
        const duties = await cluster.measure(120_000, 0, coarseStepMs);
        const calm = await cluster.measure(20_000, 1, fineStepMs);
        const burst = await cluster.measure(5_000, 100, fineStepMs);
        cluster.table.setFaultPlan(() => "unavailable");
        await cluster.measure(60_000, 10, coarseStepMs);
        cluster.table.setFaultPlan(() => "none");
        const recovery = await cluster.measure(5_000, 10, fineStepMs);
        console.info(`${nodeCount} nodes: ${JSON.stringify({ duties, calm, burst, recovery })}`);
        for (const { reads, writes } of [calm, burst, recovery]) {
            expect(writes).toBeLessThanOrEqual(maximumWritesPerSecond);
            expect(reads).toBeLessThanOrEqual(maximumReadsPerSecond);
        }
    });
});
