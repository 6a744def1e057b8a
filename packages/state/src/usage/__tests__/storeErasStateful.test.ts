/**
 * Runs random faults on a table service that comes back from older copies, and checks the oracle: one valid holder of a
 * lease at a time, fencing numbers that only grow, and one figure for each reported window.
 */
import fc from "fast-check";
import { afterEach, describe, expect, inject, it, vi } from "vitest";
import type { TableCopy } from "@pimentocleat/services";
import { LeaseManager } from "../../leases/leaseManager.js";
import { nodeCount, runLeaseStep, stepArbitrary, type LeaseStep } from "../../leases/__tests__/leaseSteps.js";
import { findReportViolation } from "./reportOracle.js";
import { usageLease, UsageSimulation, type UsageSimulationOptions } from "./usageSimulation.js";

const seed = 20_261_204;

/** The store is copied, or comes back from the last copy, or from now. */
type EraStep = { readonly type: "copy" } | { readonly type: "goBack" };
interface HistoryStep {
    readonly step: LeaseStep | EraStep;
    readonly records: readonly { readonly node: number; readonly tokens: number }[];
}

const eraStepArbitrary: fc.Arbitrary<EraStep> = fc.constantFrom({ type: "copy" }, { type: "goBack" });
const historyArbitrary: fc.Arbitrary<HistoryStep[]> = fc.array(
    fc.record({
        step: fc.oneof({ weight: 3, arbitrary: stepArbitrary }, { weight: 1, arbitrary: eraStepArbitrary }),
        records: fc.array(
            fc.record({ node: fc.nat(nodeCount - 1), tokens: fc.integer({ min: 1, max: 99 }) }),
            { maxLength: 4 },
        ),
    }),
    { minLength: 10, maxLength: 40 },
);

async function checkHistory(
    history: readonly HistoryStep[],
    options: Partial<UsageSimulationOptions>,
): Promise<void> {
    const simulation = new UsageSimulation({ hasEras: true, ...options });
    const { leases } = simulation;
    let highest = 0;
    let copy: TableCopy | undefined;
    const check = (): void => {
        expect(leases.listValidHolders(usageLease).length, "valid holders").toBeLessThanOrEqual(1);
        for (const { manager } of leases.allNodes) {
            const held = manager.findHeldLease(usageLease);
            if (held?.isValid() === true) {
                expect(held.fencingNumber, "fencing number").toBeGreaterThanOrEqual(highest);
                highest = held.fencingNumber;
            }
        }
        expect(findReportViolation(simulation.reports), "report").toBeUndefined();
    };
    await leases.advance(1_000);
    for (const { step, records } of history) {
        records.forEach(({ node, tokens }) => simulation.record(node, tokens));
        switch (step.type) {
            case "copy":
                copy = leases.memory.copyTables();
                break;
            case "goBack":
                leases.startEra(copy);
                await leases.advance(100, check);
                break;
            default:
                await runLeaseStep(leases, step, check);
                if (step.type === "crash") {
                    simulation.recordCrash(step.node);
                }
        }
    }
    await leases.recoverAll(60_000, check);
    expect(leases.listValidHolders(usageLease), "holder after recovery").toHaveLength(1);
}

function createProperty(options: Partial<UsageSimulationOptions>): fc.IAsyncProperty<[HistoryStep[]]> {
    return fc.asyncProperty(historyArbitrary, (history) => checkHistory(history, options));
}

describe("duties on a store that comes back from older copies", () => {
    afterEach(() => vi.restoreAllMocks());

    it("have one holder at a time and one figure for each window", async () => {
        await fc.assert(createProperty({}), { seed, numRuns: 60, ...inject("fuzz") });
    });

    it("are found to break this by nodes that forget what was reported", async () => {
        const details = await fc.check(createProperty({ forgetsReports: true }), {
            seed,
            numRuns: 200,
            endOnFailure: true,
        });
        expect(String(details.errorInstance)).toContain("two figures");
    });

    it("are found to break this by nodes that go on in a new era", async () => {
        vi.spyOn(LeaseManager.prototype as never, "recordEra").mockImplementation(() => undefined);
        const details = await fc.check(createProperty({}), { seed, numRuns: 200, endOnFailure: true });
        expect(String(details.errorInstance)).toMatch(/valid holders|fencing number|holders interleaved/);
    });
});
