/** Windows before the first reporter's first one, whose usage was written only later. */
import { PlatformError, PlatformErrorKind, type TableService } from "@pimentocleat/services";
import { computeWindowStartMs } from "@pimentocleat/policy";
import { describe, expect, it } from "vitest";
import { usageTable } from "../usageTables.js";
import { UsageRowWriter } from "../usageRowWriter.js";
import { findReportViolation } from "./reportOracle.js";
import { usageLease, UsageSimulation, windowMs } from "./usageSimulation.js";

/** More rows than one transaction removes. */
const manyRows = 60;
const usage = { customer: { requests: 1, promptTokens: 0, completionTokens: 1 } };
/** Longer than the takeover of a lease and the end of the next window, in milliseconds. */
const takeoverMs = 40_000;

/** Lets the first removal of usage rows succeed and makes the others fail while a test says so. */
class FailingRemovals {
    isFailing = true;
    private removals = 0;

    wrapTable(service: TableService): TableService {
        return {
            readRow: (table, key) => service.readRow(table, key),
            scanRows: (table, options) => service.scanRows(table, options),
            commitTransaction: async (transaction) => {
                const isRemoval = transaction.writes.some(
                    ({ table, value }) => table === usageTable && value === undefined,
                );
                this.removals += isRemoval ? 1 : 0;
                if (isRemoval && this.isFailing && this.removals > 1) {
                    throw new PlatformError(PlatformErrorKind.Unavailable, "table service: unavailable");
                }
                return service.commitTransaction(transaction);
            },
        };
    }
}

function findReporter({ leases }: UsageSimulation): number {
    return leases.nodes.findIndex(({ manager }) => manager.findHeldLease(usageLease)?.isValid() === true);
}

/** Starts nodes and writes usage of a window that had ended before they started. */
async function startWithEarlierRows(simulation: UsageSimulation, rows: number): Promise<number> {
    const { leases } = simulation;
    await leases.advance(5_000);
    const windowStartMs = computeWindowStartMs(leases.clock.wallMs(), windowMs) - 3 * windowMs;
    for (let index = 0; index < rows; index += 1) {
        await writeRow(simulation, windowStartMs, `many-${String(index)}`);
    }
    return windowStartMs;
}

async function writeRow(
    { leases: { clock, memory } }: UsageSimulation,
    windowStartMs: number,
    incarnation: string,
): Promise<void> {
    const writer = new UsageRowWriter({ tableService: memory, clock, callTimeoutMs: 1_000 });
    expect(await writer.writeUsage({ windowStartMs, incarnation }, 0, usage)).toMatchObject({
        type: "written",
    });
}

describe("a window before the first reporter's first one", () => {
    // Guards against a second figure summed from the rows that an interrupted removal has left.
    it("keeps its figure when its rows were removed in part", async () => {
        const removals = new FailingRemovals();
        const simulation = new UsageSimulation({
            retentionMs: windowMs,
            wrapTable: (service) => removals.wrapTable(service),
        });
        await startWithEarlierRows(simulation, manyRows);
        await simulation.leases.advance(2 * windowMs);
        expect(simulation.reports).toHaveLength(1);
        simulation.leases.killNode(findReporter(simulation));
        removals.isFailing = false;
        await simulation.leases.advance(takeoverMs);
        expect(findReportViolation(simulation.reports)).toBeUndefined();
    });

    // Guards against a second figure from a row that was written after the seal of its window had expired.
    it("keeps its figure when a row is written after the others were removed", async () => {
        const simulation = new UsageSimulation({ retentionMs: windowMs });
        const windowStartMs = await startWithEarlierRows(simulation, 2);
        await simulation.leases.advance(2 * windowMs);
        expect(simulation.reports).toHaveLength(1);
        simulation.leases.killNode(findReporter(simulation));
        await writeRow(simulation, windowStartMs, "late");
        await simulation.leases.advance(takeoverMs);
        expect(findReportViolation(simulation.reports)).toBeUndefined();
    });

    // Guards against a report of the current era that hides which windows were reported in the former one.
    it("keeps its figure when the store has forgotten its report and a later window was reported", async () => {
        const simulation = new UsageSimulation({ hasEras: true });
        const { leases } = simulation;
        await leases.advance(500);
        const copy = leases.memory.copyTables();
        await leases.advance(4_500);
        const late = (findReporter(simulation) + 1) % 3;
        [0, 1, 2].forEach((index) => simulation.record(index, 10));
        leases.nodes[late]!.host.freeze();
        await leases.advance(3 * windowMs);
        expect(simulation.reports).toHaveLength(1);
        leases.startEra(copy);
        for (let window = 0; window < 5; window += 1) {
            [0, 1, 2].forEach((index) => simulation.record(index, 20 + window));
            await leases.advance(windowMs);
        }
        expect(simulation.reports.length).toBeGreaterThan(1);
        leases.thaw(late);
        await leases.advance(takeoverMs);
        expect(findReportViolation(simulation.reports)).toBeUndefined();
    });
});
