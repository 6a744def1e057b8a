import { describe, expect, test } from "vitest";
import { PrefixIndex } from "../prefixIndex.js";
import { ServerHealth } from "../serverHealth.js";

const event = { server: "alpha", stored: [], removed: [], cleared: false };

describe("PrefixIndex", () => {
    test("counts only the blocks of the unbroken prefix", () => {
        const index = new PrefixIndex();
        index.recordEvent({ ...event, sequence: 1, stored: ["a", "b", "d"] });
        expect(index.estimateCachedShare("alpha", ["a", "b", "c", "d"])).toBe(0.5);
        expect(index.estimateCachedShare("beta", ["a"])).toBe(0);
    });

    test.each([
        { gaps: 1, confidence: 0.5 },
        { gaps: 2, confidence: 0.25 },
        { gaps: 6, confidence: 0 },
    ])(
        "gives older blocks a confidence of $confidence after $gaps gaps and new blocks full confidence",
        ({ gaps, confidence }) => {
            const index = new PrefixIndex();
            index.recordEvent({ ...event, sequence: 1, stored: ["old"] });
            for (let gap = 1; gap <= gaps; gap += 1) {
                index.recordEvent({ ...event, sequence: 1 + 2 * gap, stored: ["new"] });
            }
            expect(index.estimateCachedShare("alpha", ["old"])).toBe(confidence);
            expect(index.estimateCachedShare("alpha", ["new"])).toBe(1);
        },
    );

    test("ignores late events and drops removed and cleared blocks", () => {
        const index = new PrefixIndex();
        index.recordEvent({ ...event, sequence: 2, stored: ["a", "b"] });
        index.recordEvent({ ...event, sequence: 1, cleared: true });
        expect(index.estimateCachedShare("alpha", ["a"])).toBe(1);
        index.recordEvent({ ...event, sequence: 3, removed: ["a"] });
        expect(index.estimateCachedShare("alpha", ["a"])).toBe(0);
        index.recordEvent({ ...event, sequence: 4, cleared: true });
        expect(index.estimateCachedShare("alpha", ["b"])).toBe(0);
    });
});

describe("ServerHealth", () => {
    test("pauses for increasing times after consecutive failures, then goes on probation", () => {
        const health = new ServerHealth();
        health.recordOutcome("failed", 0);
        expect(health.readCondition(1)).toBe("normal");
        health.recordOutcome("failed", 10);
        expect(health.readCondition(1_009)).toBe("down");
        expect(health.readCondition(1_010)).toBe("probation");
        health.recordOutcome("timedOut", 1_010);
        expect(health.readCondition(3_009)).toBe("down");
        health.recordOutcome("completed", 3_100);
        expect(health.readCondition(3_100)).toBe("normal");
    });

    test("restores a server that reports again well after its announced departure", () => {
        const health = new ServerHealth();
        health.recordLeaving(5_000);
        expect(health.recordReturn(5_500)).toBe(false);
        expect(health.readCondition(6_000)).toBe("leaving");
        expect(health.recordReturn(600_000)).toBe(true);
        expect(health.readCondition(600_000)).toBe("normal");
    });

    test("is on probation as a straggler until its pace recovers", () => {
        const health = new ServerHealth();
        const recordPaces = (paceMs: number): void => {
            Array.from(Array(60).keys()).forEach(() => health.recordPace(paceMs));
            health.updateStraggler(20);
        };
        recordPaces(100);
        expect(health.readCondition(0)).toBe("probation");
        recordPaces(35);
        expect(health.readCondition(0)).toBe("probation");
        recordPaces(20);
        expect(health.readCondition(0)).toBe("normal");
    });
});
