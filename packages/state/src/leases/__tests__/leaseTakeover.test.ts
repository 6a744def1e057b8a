import { describe, expect, it } from "vitest";
import { defaultLeaseTiming } from "@pimentocleat/policy";
import { formatLeaseKey, leaseTable } from "../leaseRecord.js";
import { defaultWireBoundMs, LeaseSimulation } from "./leaseSimulation.js";

const lease = "duty";
const { durationMs, marginMs, renewIntervalMs } = defaultLeaseTiming;
const stepMs = 100;

/** Advances until a node holds the lease; returns how long it took, in milliseconds. */
async function measureTakeoverMs(world: LeaseSimulation, from: string, maximumMs: number): Promise<number> {
    let passedMs = 0;
    while (passedMs < maximumMs && world.listValidHolders(lease).every((name) => name === from)) {
        await world.advance(stepMs);
        passedMs += stepMs;
    }
    return passedMs;
}

describe("takeover of a lease", () => {
    it("looks again when the lease lapses, however seldom it looks otherwise", async () => {
        const watchIntervalMs = 4 * renewIntervalMs;
        const world = new LeaseSimulation({ nodeCount: 2, leases: [lease], watchIntervalMs });
        await world.advance(20_000);
        const [holder = ""] = world.listValidHolders(lease);
        const index = world.nodes.findIndex(({ name }) => name === holder);
        world.nodes[index]!.host.freeze();
        const delayMs = 1_000;
        const takeoverMs = await measureTakeoverMs(world, holder, 60_000);
        expect(takeoverMs).toBeLessThanOrEqual(
            watchIntervalMs + durationMs + marginMs + delayMs + 2 * stepMs,
        );
    });

    it("observes while it may not acquire yet, and acquires when it may", async () => {
        const startDelayMs = 30_000;
        const world = new LeaseSimulation({ nodeCount: 1, leases: [lease], startDelayMs });
        await world.advance(5_000);
        const [holder = ""] = world.listValidHolders(lease);
        expect(holder).not.toBe("");
        world.nodes[0]!.host.freeze();
        world.startNode(0);
        await world.advance(startDelayMs - stepMs);
        expect(world.listValidHolders(lease)).not.toContain(world.nodes[0]!.name);
        await world.advance(5 * stepMs);
        expect(world.listValidHolders(lease)).toContain(world.nodes[0]!.name);
    });

    it.each([
        { name: "gave the lease up: at once", stops: true },
        { name: "fell silent: once its last order must have arrived", stops: false },
    ])("lets the next holder act after one that $name", async ({ stops }) => {
        const world = new LeaseSimulation({ nodeCount: 2, leases: [lease] });
        await world.advance(20_000);
        const index = world.nodes.findIndex(({ manager }) => manager.findHeldLease(lease)?.isValid());
        const next = world.nodes[1 - index]!.manager;
        if (stops) {
            void world.nodes[index]!.manager.releaseAll();
        } else {
            world.nodes[index]!.host.freeze();
        }
        while (next.findHeldLease(lease) === undefined) {
            await world.advance(stepMs);
        }
        const receiver = { checksFencing: false, wireBoundMs: defaultWireBoundMs };
        expect(next.findHeldLease(lease)?.isReadyFor(receiver)).toBe(stops);
    });

    it("gives a lease up only once its last order must have arrived", async () => {
        const world = new LeaseSimulation({ nodeCount: 2, leases: [lease] });
        await world.advance(20_000);
        const index = world.nodes.findIndex(({ manager }) => manager.findHeldLease(lease)?.isValid());
        const next = world.nodes[1 - index]!.manager;
        void world.nodes[index]!.manager.releaseAll();
        let passedMs = 0;
        while (next.findHeldLease(lease) === undefined) {
            await world.advance(stepMs);
            passedMs += stepMs;
        }
        expect(passedMs).toBeGreaterThanOrEqual(defaultWireBoundMs);
    });

    it("is possible at once after a stop of a node that did not know that it had acquired the lease", async () => {
        const world = new LeaseSimulation({ nodeCount: 1, leases: [lease] });
        const [node] = world.nodes;
        world.memory.setFaultPlan((call) => (call === "commit" ? "lostReply" : "none"));
        while ((await world.memory.readRow(leaseTable, formatLeaseKey(lease))) === undefined) {
            await world.advance(stepMs);
        }
        world.memory.setFaultPlan(() => "none");
        expect(node!.manager.findHeldLease(lease)).toBeUndefined();
        void node!.manager.releaseAll();
        await world.advance(defaultWireBoundMs + marginMs + stepMs);
        const row = await world.memory.readRow(leaseTable, formatLeaseKey(lease));
        expect(row?.value).toMatchObject({ released: true });
    });
});
