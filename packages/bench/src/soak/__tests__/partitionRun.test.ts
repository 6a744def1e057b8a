import { fileURLToPath } from "node:url";
import { expect, it } from "vitest";
import { planPartitions } from "../partitionPlan.js";
import { isServedAlike, PartitionRun } from "../partitionRun.js";

const seed = 46;
const adapterPath = fileURLToPath(new URL("../../../../../platform/lib/index.js", import.meta.url));

it("plans the same partitions for the same seed and different ones for another seed", () => {
    expect(planPartitions(seed)).toEqual(planPartitions(seed));
    expect(planPartitions(seed)).not.toEqual(planPartitions(seed + 1));
});

// Guards against processes of one data centre without links to the servers that serve hardly anybody (RECOVER).
it("serves callers of a partitioned data centre like those of another one", async () => {
    const plan = planPartitions(seed, {
        failure: "reset",
        scope: "dataCentre",
        dataCentreSizes: [11, 11],
        partitionCount: 1,
        durationMs: 9_000,
    });
    const records = await new PartitionRun(plan, adapterPath).run();
    expect(records.map((record) => isServedAlike(record))).toEqual([true]);
    expect(records[0]!.calls.filter(({ isCut }) => isCut).length).toBeGreaterThan(100);
}, 180_000);
