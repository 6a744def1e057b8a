/**
 * The whole system under random commands and faults: several nodes, callers, operators and the platform.
 */
import fc from "fast-check";
import { describe, expect, inject, it } from "vitest";
import { runHistory } from "./fuzz/runHistory.js";
import { soundSystem, type SystemMutant } from "./fuzz/systemMutant.js";
import { historyArbitrary, type SystemStep } from "./fuzz/systemSteps.js";

const seed = 20_261_203;
const runs = 12;

const waitingWhileCutOff: readonly SystemStep[] = [
    { type: "wire", backend: ["none", "lostBefore"], wire: ["none"] },
    { type: "cut", node: 0 },
    { type: "burst", node: 0, runMs: 2_000 },
    { type: "request", node: 0, key: 0, tier: 1, count: 3 },
    { type: "wait", durationMs: 13_000 },
];

function buildProperty(mutant: SystemMutant): fc.IAsyncProperty<[SystemStep[]]> {
    return fc.asyncProperty(historyArbitrary, async (steps) => {
        await runHistory(mutant, steps);
    });
}

describe("whole system under random faults", () => {
    it("keeps what must always hold", async () => {
        await fc.assert(buildProperty(soundSystem), { seed, numRuns: runs, ...inject("fuzz") });
    });

    // Found by seed 20261203: requests that waited for slots were sent after the node had lost touch.
    it.each([
        { name: "sends nothing that waited while the node lost touch", sendsWhileCutOff: false },
        { name: "mutant: sends what waited while the node lost touch", sendsWhileCutOff: true },
    ])("$name", async ({ sendsWhileCutOff }) => {
        const run = runHistory({ ...soundSystem, sendsWhileCutOff }, waitingWhileCutOff);
        await (sendsWhileCutOff
            ? expect(run).rejects.toThrow("sent a request although it was cut off")
            : expect(run).resolves.toBeDefined());
    });
});
