import { describe, expect, it } from "vitest";
import { contactMs, limitedServer, Simulation, spanMs } from "./support/limitSimulation.js";

describe("requests of many nodes to a server that names a limit", () => {
    const cases = [9, 80, 200].flatMap((count) => [0.5, 1, 20].map((limit) => ({ count, limit })));

    // Guards against an excess that grows with the number of nodes (LIMIT).
    it.each(cases)(
        "stay within $limit a second at $count nodes, and use most of it",
        async ({ count, limit }) => {
            const simulation = new Simulation(count, count + limit);
            simulation.namedLimit = limit;
            await simulation.run(15_000, 100);
            simulation.stop();
            expect(simulation.countMost(contactMs)).toBeLessThanOrEqual((1.5 * limit * spanMs) / 1_000 + 5);
            const used = simulation.arrivedMs.filter((atMs) => atMs >= contactMs).length;
            expect(used).toBeGreaterThanOrEqual(0.5 * limit * 12 - 1);
        },
    );

    // Guards against permits of several nodes at once, or of none, when the node that grants them stops.
    it.each([9, 80, 200])("stay within it while keepers stop and return at %d nodes", async (count) => {
        const simulation = new Simulation(count, count);
        simulation.namedLimit = 10;
        const [first, second] = simulation.listKeepers().map((name) => simulation.findNode(name));
        await simulation.run(5_000, 100);
        first!.isStopped = true;
        await simulation.run(5_000, 100);
        second!.isStopped = true;
        await simulation.run(5_000, 100);
        first!.isStopped = false;
        const returnedMs = simulation.clock.monotonicMs();
        await simulation.run(5_000, 100);
        simulation.stop();
        expect(simulation.countMost(contactMs)).toBeLessThanOrEqual(1.5 * 10 * 4 + 5);
        const countBetween = (fromMs: number, toMs: number) =>
            simulation.arrivedMs.filter((atMs) => atMs >= fromMs && atMs < toMs).length;
        expect(countBetween(7_500, 10_000)).toBeGreaterThan(5);
        expect(countBetween(12_500, 15_000)).toBeGreaterThan(5);
        expect(countBetween(returnedMs + 2_500, returnedMs + 5_000)).toBeGreaterThan(5);
    });

    // Guards against two nodes that both grant because some nodes have not read of a new one.
    it.each([9, 80])("stay within it while half of %d nodes do not know a new keeper", async (count) => {
        const simulation = new Simulation(count, count + 3);
        simulation.namedLimit = 10;
        const [first, second] = simulation.listKeepers();
        const names = simulation.nodes.map(({ name }) => name).filter((name) => name !== first);
        simulation.newcomer = first;
        simulation.uninformed = new Set([second!, ...names.filter((...[, index]) => index % 2 === 0)]);
        await simulation.run(15_000, 100);
        simulation.stop();
        expect(simulation.countMost(contactMs)).toBeLessThanOrEqual(1.5 * 10 * 4 + 5);
        expect(simulation.arrivedMs.filter((atMs) => atMs >= contactMs).length).toBeGreaterThan(40);
    });

    // Guards against a limit that holds at some nodes after the server has ended it.
    it("are not held back once an answer names no limit", async () => {
        const simulation = new Simulation(80, 7);
        simulation.namedLimit = 1;
        await simulation.run(4_000, 100);
        simulation.namedLimit = undefined;
        await simulation.run(4_000, 100);
        simulation.stop();
        expect(simulation.nodes.filter(({ permits }) => permits.isLimited(limitedServer))).toEqual([]);
        expect(simulation.countMost(contactMs)).toBeGreaterThan(100);
    });
});
