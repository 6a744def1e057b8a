import { describe, expect, it } from "vitest";
import { maximumTransactionEntries, type TableService } from "@pimentocleat/services";
import { computeWindowStartMs } from "@pimentocleat/policy";
import { formatWindowKey, usageSealTable, usageTable } from "../usageTables.js";
import { UsageRowWriter } from "../usageRowWriter.js";
import {
    findReportViolation,
    UsageSimulation,
    usageLease,
    windowMs,
    type ReportFault,
} from "./usageSimulation.js";

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

/** Refuses transactions with more entries than some deployments take. */
function withLimitedTransactions(service: TableService): TableService {
    return {
        readRow: (table, key) => service.readRow(table, key),
        scanRows: (table, options) => service.scanRows(table, options),
        commitTransaction: (transaction) => {
            const entries = transaction.conditions.length + transaction.writes.length;
            expect(entries).toBeLessThanOrEqual(maximumTransactionEntries);
            return service.commitTransaction(transaction);
        },
    };
}

function findReporter(world: UsageSimulation): number {
    return world.leases.nodes.findIndex((node) => node.manager.findHeldLease(usageLease) !== undefined);
}

describe("a usage row that comes after its window was sealed", () => {
    it.each([
        { name: "moves to a later window", wrapTable: undefined, broken: undefined },
        { name: "mutant without seals: changes the figures", wrapTable: withoutSeals, broken: "two figures" },
    ])("$name", async ({ wrapTable, broken }) => {
        const world = new UsageSimulation({ wrapTable });
        await world.leases.advance(5_000);
        const late = (findReporter(world) + 1) % 3;
        [0, 1, 2].forEach((index) => world.record(index, 10));
        world.leases.nodes[late]!.host.freeze();
        world.chooseReportFault = (): ReportFault => "lostAnswer";
        await world.leases.advance(2 * windowMs);
        expect(world.reports.length).toBeGreaterThan(1);
        world.leases.thaw(late);
        await world.leases.advance(windowMs);
        world.chooseReportFault = (): ReportFault => "none";
        await world.leases.advance(4 * windowMs);
        expect(findReportViolation(world.reports)).toBe(broken);
        if (broken === undefined) {
            expect(world.sumReported()).toBe(30);
        }
    });
});

describe("a reporter frozen before, between and after its calls", () => {
    // Seal, scan and progress: each call has a pause before and one after it.
    it.each([...Array(12).keys()])("at pause %i: its successor repeats the same figures", async (pauses) => {
        const world = new UsageSimulation();
        await world.leases.advance(5_000);
        [0, 1, 2].forEach((index) => world.record(index, 10));
        const reporter = findReporter(world);
        const before = Math.ceil(world.leases.clock.wallMs() / windowMs) * windowMs + 5_000;
        await world.leases.advance(before - world.leases.clock.wallMs());
        world.leases.freezeSoon(reporter, pauses);
        await world.leases.advance(40_000);
        world.leases.thaw(reporter);
        await world.leases.advance(40_000);
        expect(findReportViolation(world.reports)).toBeUndefined();
        expect(world.sumReported()).toBe(30);
    });

    it("an outage of the store delays reports and loses nothing", async () => {
        const world = new UsageSimulation();
        await world.leases.advance(5_000);
        world.record(0, 10);
        world.leases.memory.setFaultPlan(() => "unavailable");
        await world.leases.advance(5 * windowMs);
        world.record(1, 10);
        expect(world.reports).toEqual([]);
        await world.leases.recoverAll(60_000);
        expect(world.sumReported()).toBe(20);
        expect(findReportViolation(world.reports)).toBeUndefined();
    });
});

describe("rows of reported windows", () => {
    it("are removed also when more nodes wrote than one transaction takes", async () => {
        const world = new UsageSimulation({ retentionMs: windowMs, wrapTable: withLimitedTransactions });
        await world.leases.advance(5_000);
        const { clock, memory } = world.leases;
        const writer = new UsageRowWriter({ tableService: memory, clock, callTimeoutMs: 1_000 });
        const windowStartMs = computeWindowStartMs(clock.wallMs(), windowMs);
        const nodes = [...Array(maximumTransactionEntries).keys()].map((index) => `many-${String(index)}`);
        const usage = { customer: { requests: 1, promptTokens: 0, completionTokens: 1 } };
        for (const incarnation of nodes) {
            await writer.writeUsage({ windowStartMs, incarnation }, 0, usage);
        }
        await world.leases.advance(6 * windowMs);
        expect(world.sumReported()).toBe(nodes.length);
        const left = await memory.scanRows(usageTable, { prefix: `${formatWindowKey(windowStartMs)}/` });
        expect(left).toEqual([]);
    });
});

describe("usage that is written late", () => {
    it("is reported also when it was counted before the first reporter began", async () => {
        const world = new UsageSimulation();
        const { leases } = world;
        leases.memory.setFaultPlan(() => "unavailable");
        await leases.advance(500);
        world.record(0, 10);
        await leases.advance(2 * windowMs);
        leases.nodes[0]!.host.freeze();
        leases.memory.setFaultPlan(() => "none");
        await leases.advance(4 * windowMs);
        leases.thaw(0);
        await leases.advance(4 * windowMs);
        expect(world.sumReported()).toBe(10);
    });

    it("moves to a later window from the copy of a node that was frozen until the seal and then lost", async () => {
        const world = new UsageSimulation();
        const { leases } = world;
        await leases.advance(5_000);
        const index = (findReporter(world) + 1) % 3;
        leases.memory.setFaultPlan(() => "unavailable");
        world.record(index, 10);
        await leases.advance(1_500);
        leases.nodes[index]!.host.freeze();
        leases.memory.setFaultPlan(() => "none");
        await leases.advance(4 * windowMs);
        expect(world.sumReported()).toBe(0);
        leases.startNode(index);
        world.recordCrash(index);
        await leases.advance(4 * windowMs);
        expect(world.sumReported()).toBe(10);
        leases.thaw(index);
        leases.allNodes.forEach(({ host }) => host.thaw());
        await leases.advance(4 * windowMs);
        expect(world.sumReported()).toBe(10);
        expect(findReportViolation(world.reports)).toBeUndefined();
    });
});
