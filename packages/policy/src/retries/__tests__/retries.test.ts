import { ErrorKind } from "@pimentocleat/types";
import { describe, expect, test } from "vitest";
import type { FailedAttempt } from "../retryTable.js";
import { maximumAttempts, chooseRetryAction } from "../retryTable.js";
import { RetryBudget } from "../retryBudget.js";

const base: FailedAttempt = {
    outcome: "failed",
    repeatable: true,
    bytesSent: true,
    tokensStreamed: 0,
    resumable: true,
    attempt: 1,
    serverLeaving: false,
};
const outcomes = ["failed", "rejected", "timedOut", "mismatched"] as const;
const flags = [false, true];

describe("chooseRetryAction", () => {
    test.each([
        [
            { bytesSent: false, repeatable: false },
            { type: "retryElsewhere", isBudgeted: true },
        ],
        [{ repeatable: false }, { type: "fail", kind: ErrorKind.BackendFailed, executed: "unknown" }],
        [
            { repeatable: false, outcome: "rejected" },
            { type: "fail", kind: ErrorKind.BackendRefused, executed: "no" },
        ],
        [
            { repeatable: false, outcome: "timedOut" },
            { type: "fail", kind: ErrorKind.BackendTimeout, executed: "unknown" },
        ],
        [{}, { type: "retryElsewhere", isBudgeted: true }],
        [{ serverLeaving: true }, { type: "retryElsewhere", isBudgeted: false }],
        [{ outcome: "mismatched" }, { type: "retryElsewhere", isBudgeted: true }],
        [{ tokensStreamed: 4 }, { type: "resumeElsewhere", isBudgeted: true }],
        [
            { tokensStreamed: 4, resumable: false },
            { type: "fail", kind: ErrorKind.StreamInterrupted, executed: "unknown" },
        ],
        [
            { attempt: maximumAttempts, bytesSent: false },
            { type: "fail", kind: ErrorKind.BackendFailed, executed: "no" },
        ],
    ] as const)("%j gives %j", (change, action) => {
        expect(chooseRetryAction({ ...base, ...change })).toEqual(action);
    });

    test("never runs a non-repeatable request again once a byte may have left", () => {
        for (const outcome of outcomes) {
            for (const resumable of flags) {
                for (const tokensStreamed of [0, 3]) {
                    const failed = { ...base, outcome, resumable, tokensStreamed, repeatable: false };
                    expect(chooseRetryAction(failed).type).toBe("fail");
                }
            }
        }
    });

    test("claims not to have run only before a byte left or when the server rejected it", () => {
        for (const outcome of outcomes) {
            for (const bytesSent of flags) {
                const failed = { ...base, outcome, bytesSent, attempt: maximumAttempts };
                const action = chooseRetryAction(failed);
                const didNotRun = !bytesSent || outcome === "rejected";
                expect(action).toMatchObject({ executed: didNotRun ? "no" : "unknown" });
            }
        }
    });
});

describe("RetryBudget", () => {
    test("keeps retries under their share of first tries when everything fails", () => {
        const budget = new RetryBudget(0.1);
        let retries = 0;
        for (let tries = 0; tries < 1_000; tries += 1) {
            budget.recordFirstAttempt();
            while (budget.tryTake()) {
                retries += 1;
            }
        }
        expect(retries).toBeLessThanOrEqual(101);
        expect(retries).toBeGreaterThanOrEqual(99);
    });

    test("saves up only a bounded number in a calm", () => {
        const budget = new RetryBudget(0.1);
        for (let tries = 0; tries < 10_000; tries += 1) {
            budget.recordFirstAttempt();
        }
        const taken = Array.from(Array(100).keys(), () => budget.tryTake()).filter(Boolean);
        expect(taken.length).toBe(10);
    });
});
