import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { ServerPauses } from "../serverPauses.js";

/** Requests that a server may get from a node while it wants none (BUDGET). */
const allowedRequests = 2;

describe("a server that asks for a long pause", () => {
    // Guards against requests to a server all through a pause that is longer than the node remembers it (BUDGET).
    it("gets no more requests than allowed, although each one is turned away with the time that is left", () => {
        const clock = new ManualClock();
        const pauses = new ServerPauses(clock);
        const endMs = 300_000;
        pauses.recordPause("s1", endMs);
        let requests = 0;
        while (clock.monotonicMs() < endMs) {
            if (pauses.computeRemainingMs("s1") === 0) {
                requests += 1;
                pauses.recordPause("s1", endMs - clock.monotonicMs());
            }
            clock.advance(100);
        }
        expect(requests).toBeLessThanOrEqual(allowedRequests);
    });

    // Guards against a server that is not used any more because of a wrong figure.
    it("is asked again after some time, whatever it asked for", () => {
        const clock = new ManualClock();
        const pauses = new ServerPauses(clock);
        expect(pauses.recordPause("s1", Number.MAX_VALUE)).toBe(false);
        expect(pauses.computeRemainingMs("s1")).toBeLessThanOrEqual(3_600_000);
    });
});
