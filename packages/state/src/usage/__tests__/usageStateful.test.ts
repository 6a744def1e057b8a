/**
 * Runs random faults and checks the oracle: each window is reported with one figure, and the reported usage equals the
 * recorded usage except for the permitted loss.
 */
import fc from "fast-check";
import { describe, expect, inject, it } from "vitest";
import { nodeCount, runLeaseStep, stepArbitrary, type LeaseStep } from "../../leases/__tests__/leaseSteps.js";
import { UsageLedger, type UsageLedgerOptions } from "../usageLedger.js";
import { UsageRowWriter, type UsageRowId, type UsageWriteResult } from "../usageRowWriter.js";
import { findReportViolation } from "./reportOracle.js";
import { UsageSimulation, type ReportFault, type UsageSimulationOptions } from "./usageSimulation.js";

const seed = 20_261_206;
const reportFaults: readonly ReportFault[] = ["none", "none", "slow", "lostReport", "lostAnswer"];

interface UsageStep {
    readonly fault: LeaseStep;
    readonly records: readonly { readonly node: number; readonly tokens: number }[];
    readonly wire: readonly ReportFault[];
}

const stepsArbitrary = fc.array(
    fc.record({
        fault: stepArbitrary.filter((step) => step.type !== "stop"),
        records: fc.array(
            fc.record({ node: fc.nat(nodeCount - 1), tokens: fc.integer({ min: 1, max: 99 }) }),
            {
                maxLength: 4,
            },
        ),
        wire: fc.array(fc.constantFrom(...reportFaults), { minLength: 1, maxLength: 5 }),
    }),
    { minLength: 10, maxLength: 40 },
);

async function checkHistory(steps: readonly UsageStep[], options: UsageSimulationOptions): Promise<void> {
    const simulation = new UsageSimulation(options);
    const check = (): void => expect(findReportViolation(simulation.reports), "report").toBeUndefined();
    await simulation.leases.advance(1_000);
    for (const step of steps) {
        step.records.forEach(({ node, tokens }) => simulation.record(node, tokens));
        let reportCount = 0;
        simulation.chooseReportFault = (): ReportFault => step.wire[(reportCount += 1) % step.wire.length]!;
        await runLeaseStep(simulation.leases, step.fault, check);
        if (step.fault.type === "crash") {
            simulation.recordCrash(step.fault.node);
        }
    }
    simulation.chooseReportFault = (): ReportFault => "none";
    await simulation.leases.recoverAll(90_000, check);
    const missing = simulation.sumRecorded() - simulation.sumReported();
    expect(missing, "reported twice").toBeGreaterThanOrEqual(0);
    expect(missing, "lost beyond the bound").toBeLessThanOrEqual(simulation.sumAtRisk());
}

/** Treats a write that was refused because of a seal as written. */
class SealIgnoringWriter extends UsageRowWriter {
    override async writeUsage(rowId: UsageRowId, ...rest: [number, never]): Promise<UsageWriteResult> {
        const result = await super.writeUsage(rowId, ...rest);
        return result.type === "sealed" ? { type: "written", version: 0 } : result;
    }
}

/** Records usage again after a failed write, although it may have been stored. */
class RepeatingLedger extends UsageLedger {
    override async flushOnce(): Promise<boolean> {
        const succeeded = await super.flushOnce();
        if (!succeeded) {
            this.recordUsage({ customer: "customer-0", requests: 0, promptTokens: 0, completionTokens: 1 });
        }
        return succeeded;
    }
}

/** Creates a ledger that reports its copies as stored but drops them. */
function createCopyDroppingLedger(options: UsageLedgerOptions): UsageLedger {
    return new UsageLedger({ ...options, copySink: { storeCopy: () => Promise.resolve() } });
}

const mutants: readonly {
    readonly name: string;
    readonly options: UsageSimulationOptions;
    readonly failure: string;
}[] = [
    {
        name: "treats a write to a sealed window as written",
        options: {
            createLedger: (options) => {
                const { options: writerOptions } = options.writer as unknown as {
                    options: ConstructorParameters<typeof UsageRowWriter>[0];
                };
                return new UsageLedger({ ...options, writer: new SealIgnoringWriter(writerOptions) });
            },
        },
        failure: "lost beyond the bound",
    },
    {
        name: "records usage again that may be stored",
        options: { createLedger: (options) => new RepeatingLedger(options) },
        failure: "reported twice",
    },
    {
        name: "drops its copies",
        options: { createLedger: createCopyDroppingLedger },
        failure: "lost beyond the bound",
    },
    {
        name: "replies to forwarded usage before writing it",
        options: { forwards: "mutant" },
        failure: "lost beyond the bound",
    },
    {
        name: "writes without conditions",
        options: {
            wrapTable: (service) => ({
                readRow: (table, key) => service.readRow(table, key),
                scanRows: (table, options) => service.scanRows(table, options),
                commitTransaction: ({ conditions, writes }) =>
                    service.commitTransaction({
                        conditions: conditions.filter(({ table }) => !table.startsWith("usage")),
                        writes,
                    }),
            }),
        },
        failure: "lost beyond the bound",
    },
];

function createProperty(options: UsageSimulationOptions): fc.IAsyncProperty<[UsageStep[]]> {
    return fc.asyncProperty(stepsArbitrary, (steps) => checkHistory(steps, options));
}

describe("usage under random faults", () => {
    it("is reported once, with one figure a window", async () => {
        await fc.assert(createProperty({}), { seed, numRuns: 100, ...inject("fuzz") });
    });

    it("is reported once when nodes forward it to a node that writes it", async () => {
        await fc.assert(createProperty({ forwards: "honest" }), { seed, numRuns: 100, ...inject("fuzz") });
    });

    it.each(mutants)("detects a node that $name", async ({ options, failure }) => {
        const details = await fc.check(createProperty(options), { seed, numRuns: 100, endOnFailure: true });
        expect(details.failed).toBe(true);
        expect(String(details.errorInstance)).toContain(failure);
    });
});
