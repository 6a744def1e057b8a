import { describe, expect, it } from "vitest";
import { RelayTiming } from "../relayTiming.js";

const ranks = Array.from({ length: 60 }, (...[, rank]) => rank);

describe("RelayTiming", () => {
    const small = new RelayTiming({ configurationApplyMs: 2_000, leavingNoticeMs: 2_000 });
    const large = new RelayTiming({ configurationApplyMs: 4_000, leavingNoticeMs: 6_000 });

    it("store turning a third away: every node reads in time to apply a change, the deputies first", () => {
        for (const [timing, boundMs] of [
            [small, 2_000],
            [large, 4_000],
        ] as const) {
            const ages = ranks.map((rank) => timing.computeMaximumAgeMs(rank));
            expect(Math.max(...ages)).toBeLessThan(0.7 * boundMs);
            expect(ages).toEqual([...ages].sort((left, right) => left - right));
        }
        expect(large.computeMaximumAgeMs(1)).toBeLessThan(large.computeMaximumAgeMs(8));
    });

    it("failing store: the calls of all nodes of a data centre grow less than their number", () => {
        const countCalls = (nodes: number): number =>
            ranks.slice(0, nodes).reduce((sum, rank) => sum + 1_000 / large.computeRetryMs(rank), 0);
        expect(countCalls(60) / countCalls(6)).toBeLessThan(3);
        expect(countCalls(60)).toBeLessThan(40);
    });

    it("all nodes back at once: only the first one polls without a pause", () => {
        expect(large.computePollIntervalMs(0)).toBe(0);
        expect(ranks.slice(1).every((rank) => large.computePollIntervalMs(rank) > 900)).toBe(true);
    });

    it("restarts: most nodes read the table of nodes the less often the more nodes there are", () => {
        expect(large.computeNodesPauseMs(10, 200)).toBeGreaterThan(4 * large.computeNodesPauseMs(10, 20));
        expect(large.computeNodesPauseMs(0, 200)).toBe(large.computeNodesPauseMs(0, 7));
    });
});
