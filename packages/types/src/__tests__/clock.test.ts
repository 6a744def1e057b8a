import { describe, expect, it } from "vitest";
import { ManualClock } from "../clock.js";

describe("ManualClock", () => {
    it("ends waits in the order of their due time", async () => {
        const clock = new ManualClock();
        const ended: string[] = [];
        const waits = [
            clock.wait(20).then(() => ended.push("late")),
            clock.wait(10).then(() => ended.push("early")),
        ];
        clock.advance(20);
        await Promise.all(waits);
        expect(ended).toEqual(["early", "late"]);
    });

    it("ends an aborted wait without advancing the time", async () => {
        const clock = new ManualClock();
        const controller = new AbortController();
        const wait = clock.wait(1_000, controller.signal);
        controller.abort();
        await wait;
        expect(clock.monotonicMs()).toBe(0);
    });
});
