import fastCheck from "fast-check";
import { describe, expect, inject, it } from "vitest";
import { RetryAllowance } from "../retryAllowance.js";

const settings = { windowMs: 10_000, share: 0.2, slack: 2 };

describe("RetryAllowance", () => {
    it("retry storm: keeps every sliding window under the share of first tries and the slack", () => {
        const steps = fastCheck.array(
            fastCheck.record({ afterMs: fastCheck.nat(2_000), isRetry: fastCheck.boolean() }),
            { maxLength: 300 },
        );
        fastCheck.assert(
            fastCheck.property(steps, (history) => {
                const allowance = new RetryAllowance(settings);
                const firstTries: number[] = [];
                const retries: number[] = [];
                let nowMs = 0;
                for (const { afterMs, isRetry } of history) {
                    nowMs += afterMs;
                    if (!isRetry) {
                        firstTries.push(nowMs);
                        allowance.recordFirstAttempt(nowMs);
                    } else if (allowance.takeRetry(nowMs)) {
                        retries.push(nowMs);
                    }
                    const isRecent = (time: number): boolean => time > nowMs - settings.windowMs;
                    const bound = settings.share * firstTries.filter(isRecent).length + settings.slack;
                    if (retries.at(-1) === nowMs) {
                        expect(retries.filter(isRecent).length).toBeLessThanOrEqual(bound);
                    }
                }
            }),
            { seed: 20261204, ...inject("fuzz") },
        );
    });
});
