import fastCheck from "fast-check";
import { describe, expect, inject, it } from "vitest";
import { computeSlackPart, RetryAllowance } from "../retryAllowance.js";

const settings = { windowMs: 10_000, share: 0.2, slack: 2 };

describe("RetryAllowance", () => {
    it("retry storm: keeps every sliding window within the share of first attempts plus the slack", () => {
        const steps = fastCheck.array(
            fastCheck.record({ afterMs: fastCheck.nat(2_000), isRetry: fastCheck.boolean() }),
            { maxLength: 300 },
        );
        fastCheck.assert(
            fastCheck.property(steps, (history) => {
                const allowance = new RetryAllowance(() => settings);
                const firstAttempts: number[] = [];
                const retries: number[] = [];
                let nowMs = 0;
                for (const { afterMs, isRetry } of history) {
                    nowMs += afterMs;
                    if (!isRetry) {
                        firstAttempts.push(nowMs);
                        allowance.recordFirstAttempt(nowMs);
                    } else if (allowance.takeRetry(nowMs)) {
                        retries.push(nowMs);
                    }
                    const isRecent = (time: number): boolean => time > nowMs - settings.windowMs;
                    const bound = settings.share * firstAttempts.filter(isRecent).length + settings.slack;
                    if (retries.at(-1) === nowMs) {
                        expect(retries.filter(isRecent).length).toBeLessThanOrEqual(bound);
                    }
                }
            }),
            { seed: 20261204, ...inject("fuzz") },
        );
    });

    it.each([
        [3, 54],
        [30, 60],
        [195, 430],
        [200, 430],
    ])("all servers grey, %i nodes: the retries of all nodes stay within the budget", (nodes, slack) => {
        const share = settings.share;
        const allowances = Array.from(
            { length: nodes },
            () =>
                new RetryAllowance(() => ({
                    windowMs: settings.windowMs,
                    share,
                    slack: computeSlackPart(slack, nodes),
                })),
        );
        let firstAttempts = 0;
        let retries = 0;
        for (let nowMs = 0; nowMs < settings.windowMs; nowMs += 10) {
            const allowance = allowances[nowMs % nodes]!;
            allowance.recordFirstAttempt(nowMs);
            firstAttempts += 1;
            retries += Array.from({ length: 5 }).filter(() => allowance.takeRetry(nowMs)).length;
        }
        expect(retries).toBeLessThanOrEqual(share * firstAttempts + slack);
        expect(retries).toBeGreaterThan(share * firstAttempts - nodes);
    });
});
