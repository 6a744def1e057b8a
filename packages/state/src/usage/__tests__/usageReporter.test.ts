import { describe, expect, it } from "vitest";
import { maximumTransactionEntries, type TableService } from "@pimentocleat/services";
import { computeWindowStartMs } from "@pimentocleat/policy";
import { formatWindowKey, usageSealTable, usageTable } from "../usageTables.js";
import { UsageRowWriter } from "../usageRowWriter.js";
import { findReportViolation } from "./reportOracle.js";
import { UsageSimulation, usageLease, windowMs, type ReportFault } from "./usageSimulation.js";

/** Drops the writes of window seals. */
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

/** Fails the test on a transaction with more entries than the table service accepts. */
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

function findReporter(simulation: UsageSimulation): number {
    return simulation.leases.nodes.findIndex((node) => node.manager.findHeldLease(usageLease) !== undefined);
}

describe("a usage row written after its window was sealed", () => {
    it.each([
        { name: "is moved to a later window", wrapTable: undefined, violation: undefined },
        {
            name: "mutant without seals: changes the figures",
            wrapTable: withoutSeals,
            violation: "two figures",
        },
    ])("$name", async ({ wrapTable, violation }) => {
        const simulation = new UsageSimulation({ wrapTable });
        await simulation.leases.advance(5_000);
        const lateIndex = (findReporter(simulation) + 1) % 3;
        [0, 1, 2].forEach((index) => simulation.record(index, 10));
        simulation.leases.nodes[lateIndex]!.host.freeze();
        simulation.chooseReportFault = (): ReportFault => "lostAnswer";
        await simulation.leases.advance(2 * windowMs);
        expect(simulation.reports.length).toBeGreaterThan(1);
        simulation.leases.thaw(lateIndex);
        await simulation.leases.advance(windowMs);
        simulation.chooseReportFault = (): ReportFault => "none";
        await simulation.leases.advance(4 * windowMs);
        expect(findReportViolation(simulation.reports)).toBe(violation);
        if (violation === undefined) {
            expect(simulation.sumReported()).toBe(30);
        }
    });
});

describe("a reporter that is frozen before, between or after its calls", () => {
    // The calls are seal, scan and progress; the host can be frozen before and after each of them.
    it.each([...Array(12).keys()])("at pause %i: its successor reports the same figures", async (pauses) => {
        const simulation = new UsageSimulation();
        await simulation.leases.advance(5_000);
        [0, 1, 2].forEach((index) => simulation.record(index, 10));
        const reporter = findReporter(simulation);
        const before = Math.ceil(simulation.leases.clock.wallMs() / windowMs) * windowMs + 5_000;
        await simulation.leases.advance(before - simulation.leases.clock.wallMs());
        simulation.leases.freezeSoon(reporter, pauses);
        await simulation.leases.advance(40_000);
        simulation.leases.thaw(reporter);
        await simulation.leases.advance(40_000);
        expect(findReportViolation(simulation.reports)).toBeUndefined();
        expect(simulation.sumReported()).toBe(30);
    });

    it("a store outage delays reports but loses no usage", async () => {
        const simulation = new UsageSimulation();
        await simulation.leases.advance(5_000);
        simulation.record(0, 10);
        simulation.leases.memory.setFaultPlan(() => "unavailable");
        await simulation.leases.advance(5 * windowMs);
        simulation.record(1, 10);
        expect(simulation.reports).toEqual([]);
        await simulation.leases.recoverAll(60_000);
        expect(simulation.sumReported()).toBe(20);
        expect(findReportViolation(simulation.reports)).toBeUndefined();
    });
});

describe("rows of reported windows", () => {
    it("are removed even if more nodes wrote than fit into one transaction", async () => {
        const simulation = new UsageSimulation({ retentionMs: windowMs, wrapTable: withLimitedTransactions });
        await simulation.leases.advance(5_000);
        const { clock, memory } = simulation.leases;
        const writer = new UsageRowWriter({ tableService: memory, clock, callTimeoutMs: 1_000 });
        const windowStartMs = computeWindowStartMs(clock.wallMs(), windowMs);
        const nodes = [...Array(maximumTransactionEntries).keys()].map((index) => `many-${String(index)}`);
        const usage = { customer: { requests: 1, promptTokens: 0, completionTokens: 1 } };
        for (const incarnation of nodes) {
            await writer.writeUsage({ windowStartMs, incarnation }, 0, usage);
        }
        await simulation.leases.advance(6 * windowMs);
        expect(simulation.sumReported()).toBe(nodes.length);
        const left = await memory.scanRows(usageTable, { prefix: `${formatWindowKey(windowStartMs)}/` });
        expect(left).toEqual([]);
    });
});

describe("usage that is written late", () => {
    it("is reported even if it was counted before the first reporter began", async () => {
        const simulation = new UsageSimulation();
        const { leases } = simulation;
        leases.memory.setFaultPlan(() => "unavailable");
        await leases.advance(500);
        simulation.record(0, 10);
        await leases.advance(2 * windowMs);
        leases.nodes[0]!.host.freeze();
        leases.memory.setFaultPlan(() => "none");
        await leases.advance(4 * windowMs);
        leases.thaw(0);
        await leases.advance(4 * windowMs);
        expect(simulation.sumReported()).toBe(10);
    });

    it("is moved to a later window from its copy when its node was frozen until the seal and then died", async () => {
        const simulation = new UsageSimulation();
        const { leases } = simulation;
        await leases.advance(5_000);
        const index = (findReporter(simulation) + 1) % 3;
        leases.memory.setFaultPlan(() => "unavailable");
        simulation.record(index, 10);
        await leases.advance(1_500);
        leases.nodes[index]!.host.freeze();
        leases.memory.setFaultPlan(() => "none");
        await leases.advance(4 * windowMs);
        expect(simulation.sumReported()).toBe(0);
        leases.startNode(index);
        simulation.recordCrash(index);
        await leases.advance(4 * windowMs);
        expect(simulation.sumReported()).toBe(10);
        leases.thaw(index);
        leases.allNodes.forEach(({ host }) => host.thaw());
        await leases.advance(4 * windowMs);
        expect(simulation.sumReported()).toBe(10);
        expect(findReportViolation(simulation.reports)).toBeUndefined();
    });
});
