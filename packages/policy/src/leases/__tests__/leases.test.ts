import { describe, expect, it } from "vitest";
import { computePreferenceRank } from "../dutyPlacement.js";
import { computeFirstSendMs, defaultLeaseTiming, isTakeoverDue, updateObservation } from "../leaseTiming.js";

const duties = [...Array(200).keys()].map((index) => `ordering/pool-${index}`);
const nodes = [...Array(9).keys()].map((index) => `node-${index}`);

function findPreferred(duty: string, live: readonly string[]): string | undefined {
    return live.find((node) => computePreferenceRank(duty, node, live) === 0);
}

describe("duty placement", () => {
    it("gives each duty one preferred node and every node a share", () => {
        const counts = nodes.map(
            (node) => duties.filter((duty) => findPreferred(duty, nodes) === node).length,
        );
        expect(counts.reduce((sum, count) => sum + count, 0)).toBe(duties.length);
        expect(Math.min(...counts)).toBeGreaterThan(5);
    });

    it("moves only the duties of a node that leaves", () => {
        const rest = nodes.slice(1);
        const moved = duties.filter((duty) => findPreferred(duty, nodes) !== findPreferred(duty, rest));
        expect(moved).toEqual(duties.filter((duty) => findPreferred(duty, nodes) === nodes[0]));
    });
});

describe("lease timing", () => {
    const held = { version: 5, released: false, firstSeenMs: 1_000 };
    const { durationMs, marginMs } = defaultLeaseTiming;

    it.each([
        { name: "just before", observed: held, nowMs: 10_999, delayMs: 0, due: false },
        { name: "duration and margin unchanged", observed: held, nowMs: 11_000, delayMs: 0, due: true },
        { name: "not preferred", observed: held, nowMs: 11_000, delayMs: 1, due: false },
        { name: "released", observed: { ...held, released: true }, nowMs: 1_000, delayMs: 0, due: true },
        { name: "absent", observed: { ...held, version: 0 }, nowMs: 1_000, delayMs: 0, due: true },
    ])("takeover, $name: $due", ({ observed, nowMs, delayMs, due }) => {
        expect(durationMs + marginMs).toBe(10_000);
        expect(isTakeoverDue(observed, nowMs, defaultLeaseTiming, delayMs)).toBe(due);
    });

    it("restarts the wait when the version changes", () => {
        expect(updateObservation(held, { version: 5, released: false }, 9_000).firstSeenMs).toBe(1_000);
        expect(updateObservation(held, { version: 6, released: false }, 9_000).firstSeenMs).toBe(9_000);
    });

    it("waits for orders in transit only if the receiver ignores fencing numbers", () => {
        const receiver = { checksFencing: false, wireBoundMs: 500 };
        expect(computeFirstSendMs(100, receiver, defaultLeaseTiming)).toBe(1_600);
        expect(computeFirstSendMs(100, { ...receiver, checksFencing: true }, defaultLeaseTiming)).toBe(100);
    });
});
