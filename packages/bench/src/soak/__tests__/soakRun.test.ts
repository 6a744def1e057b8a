import { expect, it } from "vitest";
import { planFaults } from "../soakPlan.js";
import { SoakRun } from "../soakRun.js";
import { findGuaranteeViolations } from "../soakRecord.js";

const seed = 20_261_204;

it("plans the same faults for the same seed and different faults for another seed", () => {
    expect(planFaults(seed, 30_000)).toEqual(planFaults(seed, 30_000));
    expect(planFaults(seed, 30_000)).not.toEqual(planFaults(seed + 1, 30_000));
});

it("keeps every guarantee with real processes under seeded faults", async () => {
    const record = await new SoakRun().run(seed, 6_000);
    expect(findGuaranteeViolations(record)).toEqual([]);
    expect(record.calls.filter(({ answer }) => answer?.status === 200).length).toBeGreaterThan(0);
    expect(record.duties.length).toBeGreaterThan(0);
}, 120_000);
