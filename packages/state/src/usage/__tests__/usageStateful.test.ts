/**
 * Random faults against the oracle: one figure a window, and reported equals recorded less the stated loss.
 */
import fc from "fast-check";
import { describe, expect, inject, it } from "vitest";
import { nodeCount, runLeaseStep, stepArbitrary, type LeaseStep } from "../../leases/__tests__/leaseSteps.js";
import { UsageLedger, type UsageLedgerOptions } from "../usageLedger.js";
import { UsageRowWriter, type UsageRowId, type UsageWriteResult } from "../usageRowWriter.js";
import {
    findReportViolation,
    UsageSimulation,
    type ReportFault,
    type UsageSimulationOptions,
} from "./usageSimulation.js";

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
    const world = new UsageSimulation(options);
    const check = (): void => expect(findReportViolation(world.reports), "report").toBeUndefined();
    await world.leases.advance(1_000);
    for (const step of steps) {
        step.records.forEach(({ node, tokens }) => world.record(node, tokens));
        let sends = 0;
        world.chooseReportFault = (): ReportFault => step.wire[(sends += 1) % step.wire.length]!;
        await runLeaseStep(world.leases, step.fault, check);
        if (step.fault.type === "crash") {
            world.recordCrash(step.fault.node);
        }
    }
    world.chooseReportFault = (): ReportFault => "none";
    await world.leases.recoverAll(90_000, check);
    const missing = world.sumRecorded() - world.sumReported();
    expect(missing, "reported twice").toBeGreaterThanOrEqual(0);
    expect(missing, "lost beyond the bound").toBeLessThanOrEqual(world.sumAtRisk());
}

/** Writes into sealed windows. */
class SealIgnoringWriter extends UsageRowWriter {
    override async writeUsage(name: UsageRowId, ...rest: [number, never]): Promise<UsageWriteResult> {
        const result = await super.writeUsage(name, ...rest);
        return result.type === "sealed" ? { type: "written", version: 0 } : result;
    }
}

/** Writes increments instead of cumulative counters: records again what may have been stored. */
class RepeatingLedger extends UsageLedger {
    override async flushOnce(): Promise<boolean> {
        const succeeded = await super.flushOnce();
        if (!succeeded) {
            this.recordUsage({ customer: "customer-0", requests: 0, promptTokens: 0, completionTokens: 1 });
        }
        return succeeded;
    }
}

/** Claims that copies arrive although they are dropped. */
function createCopylessLedger(options: UsageLedgerOptions): UsageLedger {
    return new UsageLedger({ ...options, copySink: { storeCopy: () => Promise.resolve() } });
}

const mutants: readonly {
    readonly name: string;
    readonly options: UsageSimulationOptions;
    readonly failure: string;
}[] = [
    {
        name: "takes a sealed window for written",
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
        name: "records again what may be stored",
        options: { createLedger: (options) => new RepeatingLedger(options) },
        failure: "reported twice",
    },
    {
        name: "drops its copies",
        options: { createLedger: createCopylessLedger },
        failure: "lost beyond the bound",
    },
    {
        name: "says that it wrote for others before it did",
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

    it("is reported once when nodes send it to one that writes for them", async () => {
        await fc.assert(createProperty({ forwards: "honest" }), { seed, numRuns: 100, ...inject("fuzz") });
    });

    it.each(mutants)("catches a node that $name", async ({ options, failure }) => {
        const details = await fc.check(createProperty(options), { seed, numRuns: 100, endOnFailure: true });
        expect(details.failed).toBe(true);
        expect(String(details.errorInstance)).toContain(failure);
    });
});
