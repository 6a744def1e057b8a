import { describe, expect, it } from "vitest";
import {
    defaultPlannerSettings,
    ServerPlanner,
    type PlannedServers,
    type ServerOption,
} from "../serverPlanner.js";

const options: readonly ServerOption[] = ["a", "b", "c"].flatMap((dataCentre) => [
    { dataCentre, reclaimable: true, costPerHour: 1, underNotice: false },
    { dataCentre, reclaimable: false, costPerHour: 3, underNotice: false },
]);

function plan(
    planner: ServerPlanner,
    nowMs: number,
    demandSlots: number,
    notice: readonly string[] = [],
): readonly PlannedServers[] {
    const withNotice = options.map((option) => ({
        ...option,
        underNotice: option.reclaimable && notice.includes(option.dataCentre),
    }));
    return planner.planServers({ nowMs, demandSlots, slotsPerServer: 8, options: withNotice });
}

function countServers(planned: readonly PlannedServers[], reclaimable?: boolean): number {
    return planned
        .filter((servers) => reclaimable === undefined || servers.reclaimable === reclaimable)
        .reduce((sum, { count }) => sum + count, 0);
}

function formatPlan(planned: readonly PlannedServers[]): string {
    return planned
        .map(({ dataCentre, reclaimable, count }) => `${dataCentre}${reclaimable ? "r" : "s"}${count}`)
        .join(" ");
}

describe("ServerPlanner", () => {
    it("spreads evenly and keeps the share of reclaimable servers", () => {
        expect(formatPlan(plan(new ServerPlanner(), 0, 80))).toBe("ar2 as2 br2 bs2 cr2 cs2");
    });

    it("follows demand up at once and down after the delay", () => {
        const planner = new ServerPlanner();
        expect(countServers(plan(planner, 0, 20))).toBe(3);
        expect(countServers(plan(planner, 1_000, 80))).toBe(12);
        const delayMs = defaultPlannerSettings.scaleDownDelayMs;
        expect(countServers(plan(planner, 1_000 + delayMs - 1, 10))).toBe(12);
        expect(countServers(plan(planner, 1_000 + delayMs, 10))).toBe(2);
    });

    it("gives nothing back at once after a takeover", () => {
        const planner = new ServerPlanner();
        planner.recordStoredPlan([{ dataCentre: "a", reclaimable: false, count: 9 }], 0);
        expect(countServers(plan(planner, 1_000, 8))).toBe(9);
    });

    it("has the servers of a data centre under notice elsewhere", () => {
        const planned = plan(new ServerPlanner(), 0, 80, ["b"]);
        expect(formatPlan(planned)).toBe("ar3 as2 br0 bs2 cr3 cs2");
        const none = plan(new ServerPlanner(), 0, 80, ["a", "b", "c"]);
        expect([countServers(none, true), countServers(none, false)]).toEqual([0, 12]);
    });

    it("falls over while none are to be had, keeps what was accepted and comes back later", () => {
        const planner = new ServerPlanner();
        planner.recordAccepted({ dataCentre: "a", reclaimable: true, count: 1 });
        const short = { dataCentre: "a", reclaimable: true, count: 2 };
        planner.recordNoneAvailable(short, 0, 10_000);
        expect(formatPlan(plan(planner, 9_999, 80))).toBe("ar1 as2 br3 bs2 cr2 cs2");
        expect(formatPlan(plan(planner, 10_000, 80))).toBe("ar2 as2 br2 bs2 cr2 cs2");
        planner.recordNoneAvailable(short, 10_000, 10_000);
        expect(formatPlan(plan(planner, 29_999, 80))).toBe("ar1 as2 br3 bs2 cr2 cs2");
    });

    it("takes more reclaimable servers when no other can be had", () => {
        const planner = new ServerPlanner();
        for (const dataCentre of ["a", "b", "c"]) {
            planner.recordNoneAvailable({ dataCentre, reclaimable: false, count: 2 }, 0, 10_000);
        }
        expect(formatPlan(plan(planner, 1, 80))).toBe("ar4 as0 br4 bs0 cr4 cs0");
    });
});
