import type { Clock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { SuspendAwareClock } from "../suspendAwareClock.js";

class TwoClocks implements Clock {
    monotonic = 0;
    wall = 1_000_000;

    monotonicMs(): number {
        return this.monotonic;
    }

    wallMs(): number {
        return this.wall;
    }

    advance(monotonicMs: number, wallMs = monotonicMs): void {
        this.monotonic += monotonicMs;
        this.wall += wallMs;
    }
}

describe("ValidityClock", () => {
    it("counts the time in which the host was suspended", () => {
        const clocks = new TwoClocks();
        const clock = new SuspendAwareClock(clocks);
        clocks.advance(1_000);
        expect(clock.monotonicMs()).toBe(1_000);
        clocks.advance(10, 5_010);
        expect(clock.monotonicMs()).toBe(6_010);
        clocks.advance(1_000);
        expect(clock.monotonicMs()).toBe(7_010);
    });

    it("never goes back when the wall clock is stepped back", () => {
        const clocks = new TwoClocks();
        const clock = new SuspendAwareClock(clocks);
        clocks.advance(1_000, -4_000);
        expect(clock.monotonicMs()).toBe(1_000);
        clocks.advance(100, 5_100);
        expect(clock.monotonicMs()).toBeGreaterThanOrEqual(1_100);
    });

    it("tolerates small differences of the clocks' rates", () => {
        const clocks = new TwoClocks();
        const clock = new SuspendAwareClock(clocks);
        clocks.advance(1_000, 1_100);
        expect(clock.monotonicMs()).toBe(1_000);
    });
});
