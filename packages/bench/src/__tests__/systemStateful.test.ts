/**
 * Runs the whole system under random commands and faults: several nodes, callers, operators and the platform.
 * Deliberately broken versions check that the oracle detects each kind of violation.
 */
import fc from "fast-check";
import { describe, expect, inject, it } from "vitest";
import { runHistory } from "./fuzz/runHistory.js";
import { buildMutant, mutants } from "./fuzz/mutants.js";
import * as namedHistories from "./fuzz/namedHistories.js";
import { unmodifiedSystem, type SystemMutant } from "./fuzz/systemMutant.js";
import { historyArbitrary, type SystemStep } from "./fuzz/systemSteps.js";

const seed = 20_261_203;
const runs = 12;
const mutantRuns = 60;

function buildProperty(mutant: SystemMutant): fc.IAsyncProperty<[SystemStep[]]> {
    return fc.asyncProperty(historyArbitrary, async (steps) => {
        await runHistory(mutant, steps);
    });
}

describe("whole system under random faults", () => {
    it("violates no property that must always hold", async () => {
        await fc.assert(buildProperty(unmodifiedSystem), { seed, numRuns: runs, ...inject("fuzz") });
    });

    it.each(mutants)("notices a system that $name", async ({ replaced, expectedViolation, history }) => {
        const mutant = buildMutant(replaced);
        if (history !== undefined) {
            await expect(runHistory(mutant, history)).rejects.toThrow(expectedViolation);
            return;
        }
        const parameters = { seed, numRuns: mutantRuns, endOnFailure: true };
        const details = await fc.check(buildProperty(mutant), parameters);
        expect(String(details.errorInstance)).toMatch(expectedViolation);
    });

    it.each(Object.entries(namedHistories))(
        "violates no property in the history %s",
        async (...[, steps]) => {
            await expect(runHistory(unmodifiedSystem, steps)).resolves.toBeDefined();
        },
    );

    it("detects a node that sends queued requests after it lost contact with the store", async () => {
        const run = runHistory(buildMutant({ sendsWhileIsolated: true }), namedHistories.waitingWhileCutOff);
        await expect(run).rejects.toThrow("sent a request although it was cut off");
    });
});
