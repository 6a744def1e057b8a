import { describe, expect, test } from "vitest";
import { computeMaxMinShares } from "../measures.js";
import { formatReport } from "../formatReport.js";
import { runExperiment } from "../../experiments/runExperiment.js";

describe("computeMaxMinShares", () => {
    test.each([
        { demands: [10, 10], amount: 10, shares: [5, 5] },
        { demands: [2, 100, 100], amount: 12, shares: [2, 5, 5] },
        { demands: [1, 2, 3], amount: 100, shares: [1, 2, 3] },
    ])("divides $amount over $demands", ({ demands, amount, shares }) => {
        const demandsByCustomer = new Map(demands.map((demand, index) => [`customer-${index}`, demand]));
        const result = computeMaxMinShares(demandsByCustomer, amount);
        expect([...demandsByCustomer.keys()].map((name) => result.get(name))).toEqual(shares);
    });
});

test("a report has a column for each policy and a row for each class", () => {
    const report = runExperiment({ name: "unloaded", seed: 1, deployment: "peachtree" });
    const text = formatReport(report);
    expect(text.split("\n")[1]).toMatch(/measure +fifo +two-choices +queue-owner +lent-slots/);
    expect(text).toMatch(/attained question +1\.000 of \d+/);
});

test.each([
    { name: "nothing", deployment: "volantino", message: /unknown experiment nothing; use one of unloaded/ },
    { name: "burst", deployment: "nowhere", message: /unknown deployment nowhere/ },
])("rejects experiment $name on deployment $deployment", ({ name, deployment, message }) => {
    expect(() => runExperiment({ name, seed: 1, deployment })).toThrow(message);
});
