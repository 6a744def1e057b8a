import { describe, expect, it } from "vitest";
import { defaultLeaseTiming } from "@pimentocleat/policy";
import { formatLeaseKey, leaseTable } from "../leaseRecord.js";
import { defaultWireBoundMs, LeaseSimulation } from "./leaseSimulation.js";

const lease = "duty";
const { durationMs, marginMs, renewIntervalMs } = defaultLeaseTiming;
const stepMs = 100;

/** Advances until another node holds the lease; returns the elapsed time in milliseconds. */
async function measureTakeoverMs(
    simulation: LeaseSimulation,
    from: string,
    maximumMs: number,
): Promise<number> {
    let passedMs = 0;
    while (passedMs < maximumMs && simulation.listValidHolders(lease).every((name) => name === from)) {
        await simulation.advance(stepMs);
        passedMs += stepMs;
    }
    return passedMs;
}

describe("takeover of a lease", () => {
    it("polls again when the lease expires, even with a long poll interval", async () => {
        const watchIntervalMs = 4 * renewIntervalMs;
        const simulation = new LeaseSimulation({ nodeCount: 2, leases: [lease], watchIntervalMs });
        await simulation.advance(20_000);
        const [holder = ""] = simulation.listValidHolders(lease);
        const index = simulation.nodes.findIndex(({ name }) => name === holder);
        simulation.nodes[index]!.host.freeze();
        const delayMs = 1_000;
        const takeoverMs = await measureTakeoverMs(simulation, holder, 60_000);
        expect(takeoverMs).toBeLessThanOrEqual(
            watchIntervalMs + durationMs + marginMs + delayMs + 2 * stepMs,
        );
    });

    it("observes leases before it may acquire them, and acquires afterwards", async () => {
        const startDelayMs = 30_000;
        const simulation = new LeaseSimulation({ nodeCount: 1, leases: [lease], startDelayMs });
        await simulation.advance(5_000);
        const [holder = ""] = simulation.listValidHolders(lease);
        expect(holder).not.toBe("");
        simulation.nodes[0]!.host.freeze();
        simulation.startNode(0);
        await simulation.advance(startDelayMs - stepMs);
        expect(simulation.listValidHolders(lease)).not.toContain(simulation.nodes[0]!.name);
        await simulation.advance(5 * stepMs);
        expect(simulation.listValidHolders(lease)).toContain(simulation.nodes[0]!.name);
    });

    it.each([
        { name: "released the lease: immediately", stops: true },
        { name: "stopped responding: only after its last order must have arrived", stops: false },
    ])("lets the next holder send orders after a holder that $name", async ({ stops }) => {
        const simulation = new LeaseSimulation({ nodeCount: 2, leases: [lease] });
        await simulation.advance(20_000);
        const index = simulation.nodes.findIndex(({ manager }) => manager.findHeldLease(lease)?.isValid());
        const next = simulation.nodes[1 - index]!.manager;
        if (stops) {
            void simulation.nodes[index]!.manager.releaseAll();
        } else {
            simulation.nodes[index]!.host.freeze();
        }
        while (next.findHeldLease(lease) === undefined) {
            await simulation.advance(stepMs);
        }
        const receiver = { checksFencing: false, wireBoundMs: defaultWireBoundMs };
        expect(next.findHeldLease(lease)?.isReadyFor(receiver)).toBe(stops);
    });

    it("releases a lease only after its last order must have arrived", async () => {
        const simulation = new LeaseSimulation({ nodeCount: 2, leases: [lease] });
        await simulation.advance(20_000);
        const index = simulation.nodes.findIndex(({ manager }) => manager.findHeldLease(lease)?.isValid());
        const next = simulation.nodes[1 - index]!.manager;
        void simulation.nodes[index]!.manager.releaseAll();
        let passedMs = 0;
        while (next.findHeldLease(lease) === undefined) {
            await simulation.advance(stepMs);
            passedMs += stepMs;
        }
        expect(passedMs).toBeGreaterThanOrEqual(defaultWireBoundMs);
    });

    it("is possible right after the stop of a node that acquired the lease but lost the response", async () => {
        const simulation = new LeaseSimulation({ nodeCount: 1, leases: [lease] });
        const [node] = simulation.nodes;
        simulation.memory.setFaultPlan((call) => (call === "commit" ? "lostReply" : "none"));
        while ((await simulation.memory.readRow(leaseTable, formatLeaseKey(lease))) === undefined) {
            await simulation.advance(stepMs);
        }
        simulation.memory.setFaultPlan(() => "none");
        expect(node!.manager.findHeldLease(lease)).toBeUndefined();
        void node!.manager.releaseAll();
        await simulation.advance(defaultWireBoundMs + marginMs + stepMs);
        const row = await simulation.memory.readRow(leaseTable, formatLeaseKey(lease));
        expect(row?.value).toMatchObject({ released: true });
    });
});
