import { fileURLToPath } from "node:url";
import { expect, it } from "vitest";
import { planStoreReturns, type StoreReturn } from "../storeReturnPlan.js";
import { StoreReturnRun } from "../storeReturnRun.js";

const seed = 20_261_205;
const programPath = fileURLToPath(new URL("../../../../../platform/lib/main.js", import.meta.url));

it("plans the same returns for the same seed and different returns for another seed", () => {
    expect(planStoreReturns(seed, 20)).toEqual(planStoreReturns(seed, 20));
    expect(planStoreReturns(seed, 20)).not.toEqual(planStoreReturns(seed + 1, 20));
});

/** Copies from before the first row of the store. */
const oldestCopies: readonly StoreReturn[] = planStoreReturns(seed, 2).map((planned) => ({
    ...planned,
    ageMs: 20_000,
}));

// Guards against a second figure for a window by processes that take over after the store has come back from a copy.
it.each([
    { name: "copies", planned: planStoreReturns(seed, 2) },
    { name: "copies without any row", planned: oldestCopies },
])(
    "reports each window with one figure when the store comes back from $name",
    async ({ planned }) => {
        const deployment = {
            programPath,
            nodeCount: 5,
            dataCentreCount: 5,
            usageWindowSeconds: 1,
            leaseMs: 1_000,
        };
        const record = await new StoreReturnRun(deployment).run(planned);
        expect(record.violations).toEqual([]);
        expect(record.exitedNodes).toEqual([]);
        expect(record.returnCount).toBe(2);
        expect(record.answeredCount).toBeGreaterThan(0);
    },
    180_000,
);
