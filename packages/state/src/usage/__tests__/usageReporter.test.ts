import { describe, expect, it } from "vitest";
import type { TableService } from "@pimentocleat/services";
import { usageSealTable } from "../usageRecord.js";
import { findBrokenReport, UsageWorld, usageLease, windowMs, type ReportFault } from "./usageWorld.js";

/** Loses the seals of windows. */
function withoutSeals(service: TableService): TableService {
    return {
        readRow: (table, key) => service.readRow(table, key),
        scanRows: (table, options) => service.scanRows(table, options),
        commitTransaction: ({ conditions, writes }) =>
            service.commitTransaction({
                conditions,
                writes: writes.filter(({ table }) => table !== usageSealTable),
            }),
    };
}

function findReporter(world: UsageWorld): number {
    return world.leases.nodes.findIndex((node) => node.manager.findHeld(usageLease) !== undefined);
}

describe("a usage row that comes after its window was sealed", () => {
    it.each([
        { name: "moves to a later window", wrapTable: undefined, broken: undefined },
        { name: "mutant without seals: changes the figures", wrapTable: withoutSeals, broken: "two figures" },
    ])("$name", async ({ wrapTable, broken }) => {
        const world = new UsageWorld({ wrapTable });
        await world.leases.advance(5_000);
        const late = (findReporter(world) + 1) % 3;
        [0, 1, 2].forEach((index) => world.record(index, 10));
        world.leases.nodes[late]!.host.freeze();
        world.planReport = (): ReportFault => "lostAnswer";
        await world.leases.advance(2 * windowMs);
        expect(world.reports.length).toBeGreaterThan(1);
        world.leases.thaw(late);
        await world.leases.advance(windowMs);
        world.planReport = (): ReportFault => "none";
        await world.leases.advance(4 * windowMs);
        expect(findBrokenReport(world.reports)).toBe(broken);
        if (broken === undefined) {
            expect(world.sumReported()).toBe(30);
        }
    });
});

describe("a reporter frozen before, between and after its calls", () => {
    // Seal, scan and progress: each call has a pause before and one after it.
    it.each([...Array(12).keys()])("at pause %i: its successor repeats the same figures", async (pauses) => {
        const world = new UsageWorld();
        await world.leases.advance(5_000);
        [0, 1, 2].forEach((index) => world.record(index, 10));
        const reporter = findReporter(world);
        const before = Math.ceil(world.leases.clock.wallMs() / windowMs) * windowMs + 5_000;
        await world.leases.advance(before - world.leases.clock.wallMs());
        world.leases.freezeSoon(reporter, pauses);
        await world.leases.advance(40_000);
        world.leases.thaw(reporter);
        await world.leases.advance(40_000);
        expect(findBrokenReport(world.reports)).toBeUndefined();
        expect(world.sumReported()).toBe(30);
    });

    it("an outage of the store delays reports and loses nothing", async () => {
        const world = new UsageWorld();
        await world.leases.advance(5_000);
        world.record(0, 10);
        world.leases.memory.setFaultPlan(() => "unavailable");
        await world.leases.advance(5 * windowMs);
        world.record(1, 10);
        expect(world.reports).toEqual([]);
        await world.leases.calm(60_000);
        expect(world.sumReported()).toBe(20);
        expect(findBrokenReport(world.reports)).toBeUndefined();
    });
});
