import { describe, expect, it } from "vitest";
import { computeReturnAfterMs } from "../returnTime.js";

const remainingMs = 12_163;

describe("the time to come back", () => {
    // Guards against times that callers do not honour, or at which they are refused by the same backlog.
    it("is within a third of the time left and not before the backlog is done", () => {
        for (let index = 0; index < 1_000; index += 1) {
            const returnMs = computeReturnAfterMs(`request-${String(index)}`, 500, remainingMs);
            expect(returnMs).toBeGreaterThanOrEqual(500);
            expect(returnMs).toBeLessThanOrEqual(remainingMs / 3);
        }
        expect(computeReturnAfterMs("request", 60_000, 300)).toBeLessThanOrEqual(100);
        expect(computeReturnAfterMs("request", 0, 60)).toBe(20);
        expect(computeReturnAfterMs("request", 0, -5)).toBe(0);
    });

    // Guards against callers that are refused together and return together.
    it("spreads callers evenly, alike on every node", () => {
        const counts = Array.from({ length: 10 }, () => 0);
        const [fromMs, spanMs] = [500, remainingMs / 3 - 500];
        for (let index = 0; index < 1_000; index += 1) {
            const id = `request-${String(index)}`;
            const returnMs = computeReturnAfterMs(id, fromMs, remainingMs);
            expect(computeReturnAfterMs(id, fromMs, remainingMs)).toBe(returnMs);
            const part = Math.min(9, Math.floor(((returnMs - fromMs) / spanMs) * 10));
            counts[part] = counts[part]! + 1;
        }
        // Twice the even share; collisions would put all of them into one part.
        expect(Math.max(...counts)).toBeLessThan(200);
        expect(Math.min(...counts)).toBeGreaterThan(0);
    });
});
