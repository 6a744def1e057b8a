import { TextMetrics } from "@pimentocleat/telemetry";
import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import type { LimitMessage } from "../../peers/limitMessages.js";
import type { BrittleDirectory } from "../brittleDirectory.js";
import type { LimitDirectory } from "../limitDirectory.js";
import { ServerPermits } from "../serverPermits.js";
import { limitedServer, Simulation } from "./support/limitSimulation.js";

const coldStart = { durationMs: 3_000, requestsPerSecond: 5.2 };
/** Requests that a cold server may get in any one second: its rate times the overage of 1.5, and a slack of 5. */
const allowed = 5.2 * 1.5 + 5;
const downMs = 1_000;
/** Time until a start is known from the server's registration, in milliseconds; two thirds of the time it is cold. */
const rowMs = 2_000;

/** Runs until the server starts again at full load, and returns the time at which it does. */
async function runToRestart(
    simulation: Simulation,
    connectedShare: number,
    onLost: () => void = () => undefined,
): Promise<number> {
    await simulation.run(2_000, 100);
    simulation.nodes.forEach((node, index) => {
        node.isConnected = index < simulation.nodes.length * connectedShare;
    });
    simulation.restartServer(downMs, rowMs, coldStart.durationMs);
    onLost();
    const startMs = simulation.clock.monotonicMs() + downMs;
    await simulation.run(downMs + coldStart.durationMs, 100);
    return startMs;
}

describe.each([9, 80])("requests of %d nodes to a cold server", (count) => {
    // Guards against a server that crashes again on the load that waits for it, before its registration says that it is
    // cold, and against one that is held back for long afterwards.
    it.each([1, 0.1])("stay within its rate when a share of %d of them noticed its crash", async (share) => {
        const simulation = new Simulation(count, count, coldStart);
        const startMs = await runToRestart(simulation, share);
        const most = simulation.countMostInSecond(startMs, startMs + coldStart.durationMs);
        expect(most).toBeLessThanOrEqual(allowed);
        const coldCount = simulation.arrivedMs.filter((atMs) => atMs >= startMs).length;
        expect(coldCount).toBeGreaterThanOrEqual(0.5 * 5.2 * 3 - 1);
        await simulation.run(5_000, 100);
        simulation.stop();
        expect(simulation.countMostInSecond(startMs + 6_000, startMs + 8_000)).toBeGreaterThan(50);
    });

    // Guards against permits of two keepers at once, and against none at all, when the first one dies with the server.
    it("stay within it when the keeper dies", async () => {
        const simulation = new Simulation(count, count + 1, coldStart);
        const [first] = simulation.listKeepers();
        const startMs = await runToRestart(simulation, 1, () => {
            simulation.findNode(first!).isStopped = true;
        });
        simulation.stop();
        const most = simulation.countMostInSecond(startMs, startMs + coldStart.durationMs);
        expect(most).toBeLessThanOrEqual(allowed);
        expect(most).toBeGreaterThan(0);
    });

    // Guards against two keepers whose permits add up to more than the server bears while they cannot hear each other.
    it("stay within it when the keeper is cut off with half of the nodes", async () => {
        const simulation = new Simulation(count, count + 2, coldStart);
        const [first, second] = simulation.listKeepers();
        const startMs = await runToRestart(simulation, 1, () => {
            const others = simulation.nodes
                .map(({ name }) => name)
                .filter((name) => name !== first && name !== second);
            simulation.cutOff = new Set([first!, ...others.filter((...[, index]) => index % 2 === 0)]);
        });
        simulation.stop();
        expect(simulation.countMostInSecond(startMs, startMs + coldStart.durationMs)).toBeLessThanOrEqual(
            allowed,
        );
    });

    // Guards against a service without cold starts whose servers are held back.
    it("are not limited when its service has no cold starts", async () => {
        const simulation = new Simulation(count, count);
        const startMs = await runToRestart(simulation, 1);
        simulation.stop();
        expect(simulation.countMostInSecond(startMs, startMs + 1_000)).toBeGreaterThan(50);
        expect(simulation.nodes.some(({ permits }) => permits.isLimited(limitedServer))).toBe(false);
    });
});

describe("a server that was not lost", () => {
    const isLimitedAt = ({ nodes }: Simulation) =>
        nodes.map(({ permits }) => permits.isLimited(limitedServer));

    // Guards against servers that start while their data centre is evacuated, and get the load of all nodes at its end.
    it("may be cold when its data centre returns to service", () => {
        const simulation = new Simulation(9, 1, coldStart);
        simulation.stop();
        for (const { evacuations } of simulation.nodes) {
            evacuations.mergeStates([{ dataCentre: "a", version: 2, isEvacuated: true }]);
        }
        expect(isLimitedAt(simulation)).not.toContain(true);
        for (const { evacuations } of simulation.nodes) {
            evacuations.mergeStates([{ dataCentre: "a", version: 3, isEvacuated: false }]);
        }
        expect(isLimitedAt(simulation)).not.toContain(false);
    });

    // Guards against a node that acts on what it knew before it was paused.
    it("may be cold for a node that was stalled, and for no other", async () => {
        const simulation = new Simulation(9, 2, coldStart);
        simulation.nodes[0]!.cold.recordStall();
        await simulation.run(1_000, 0);
        simulation.stop();
        expect(isLimitedAt(simulation).filter(Boolean)).toHaveLength(1);
    });

    // Guards against a node that loses its own links and so holds back all servers for all nodes.
    it("is not cold for nodes with an open connection when another one reports it as lost", async () => {
        const simulation = new Simulation(9, 3, coldStart);
        const [reporter, connected] = simulation.nodes;
        connected!.isConnected = true;
        reporter!.cold.recordLoss(limitedServer);
        await simulation.run(2_000, 0);
        simulation.stop();
        const limited = isLimitedAt(simulation);
        expect(limited[1]).toBe(false);
        expect(limited.filter(Boolean)).toHaveLength(8);
    });
});

describe("a permit for a cold server", () => {
    const need = { priority: 0, patienceMs: 50 };
    const createPermits = () => {
        const clock = new ManualClock();
        const sent: LimitMessage[] = [];
        const permits = new ServerPermits({
            name: "a",
            clock,
            metrics: new TextMetrics(),
            limits: { findLimit: () => undefined } as unknown as LimitDirectory,
            brittle: { findAllowed: () => undefined } as unknown as BrittleDirectory,
            cold: { findRate: () => 4, findRateOf: () => 4, mergeReports: () => undefined },
            listKeepers: () => ["b"],
            send: (...[, message]) => sent.push(message) > 0,
        });
        return { clock, sent, permits };
    };

    // Guards against a keeper of an earlier release, which grants requests of the older type at once.
    it("is asked for with a message that earlier releases cannot read", async () => {
        const { sent, permits } = createPermits();
        const granted = permits.requestPermit(limitedServer, need);
        expect(sent).toMatchObject([{ type: "coldPermitRequest", perSecond: 4, request: 1 }]);
        permits.receiveMessage({ type: "permitReply", request: 1 }, "b");
        expect(await granted).toBe(true);
    });

    // Guards against a process that was paused and uses a permit after others have taken its place.
    it("is void when its node was paused before it could use it", async () => {
        const { clock, permits } = createPermits();
        const granted = permits.requestPermit(limitedServer, need);
        permits.receiveMessage({ type: "permitReply", request: 1 }, "b");
        clock.advance(1_000);
        expect(await granted).toBe(false);
    });
});
