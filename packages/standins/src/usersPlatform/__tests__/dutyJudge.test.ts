import { beforeEach, describe, expect, it } from "vitest";
import { DutyJudge, type ReceivedDutyCall } from "../dutyJudge.js";

const leaseMs = 3_000;
const thawSlackMs = 300;

describe("DutyJudge", () => {
    let judge: DutyJudge;

    beforeEach(() => {
        judge = new DutyJudge({ leaseMs, thawSlackMs });
    });

    const report = (
        change: Partial<ReceivedDutyCall>,
        window = 1,
        counts: Record<string, number> = { a: 5 },
    ) =>
        judge.recordCall({
            path: "/usage",
            holder: "node-1",
            fence: 1,
            body: { Window: window, Counts: counts },
            atMs: 0,
            era: 1,
            isAccepted: true,
            ...change,
        });

    const order = (change: Partial<ReceivedDutyCall>, zone = "a", service = "engines") =>
        report({ path: "/scale", body: { Service: service, Zone: zone, Desired: 2 }, ...change });

    const listTypes = () => judge.listViolations().map(({ type }) => type);

    it("finds two reports of one window with other counts, whoever sends them in whatever era", () => {
        report({}, 1, { a: 5, b: 1 });
        report({ holder: "node-2", fence: 2_000_001, era: 2, atMs: 9_000 }, 1, { a: 4, b: 1 });
        expect(judge.listViolations()).toMatchObject([
            {
                type: "differentCounts",
                subject: "/usage",
                window: 1,
                calls: [
                    { holder: "node-1", fence: 1, era: 1 },
                    { holder: "node-2", fence: 2_000_001, era: 2, atMs: 9_000 },
                ],
            },
        ]);
        const text = judge.listViolations()[0]!.text;
        expect(text).toContain("window 1 was reported with other counts");
        expect(text).toContain(
            'node-2, fence 2000001, era 2, at 9000 ms: {"Window":1,"Counts":{"a":4,"b":1}}',
        );
    });

    it("finds a customer that only one of two reports names", () => {
        report({}, 1, { a: 5 });
        report({}, 1, { a: 5, b: 0 });
        expect(listTypes()).toEqual(["differentCounts"]);
    });

    it("finds other counts again after an exact repeat, and in excused calls", () => {
        judge.addExcuse({ fromMs: 0, untilMs: 100 });
        report({}, 1, { a: 5 });
        report({}, 1, { a: 5 });
        report({}, 1, { a: 6 });
        report({}, 1, { a: 7 });
        expect(listTypes()).toEqual(["differentCounts", "differentCounts"]);
    });

    it("allows exact repeats, in any order of the customers, and other counts in other windows", () => {
        report({}, 1, { a: 5, b: 1 });
        report({ atMs: 10 }, 1, { b: 1, a: 5 });
        report({ atMs: 20 }, 2, { a: 6 });
        expect(judge.listViolations()).toEqual([]);
    });

    it("allows other counts after a report that the platform refused", () => {
        report({ isAccepted: false }, 1, { a: 5 });
        report({ atMs: 10 }, 1, { a: 6 });
        expect(judge.listViolations()).toEqual([]);
    });

    it("finds a fencing number of two holders, at any time and although it was refused or excused", () => {
        judge.recordThaw("node-2", 50_000);
        report({ isAccepted: false });
        report({ holder: "node-2", atMs: 50_100 }, 2);
        report({ holder: "node-2", atMs: 50_200 }, 3);
        expect(judge.listViolations()).toMatchObject([
            {
                type: "sharedFence",
                subject: "/usage",
                fence: 1,
                calls: [{ holder: "node-1" }, { holder: "node-2", atMs: 50_100 }],
            },
        ]);
    });

    it("allows a fencing number of two holders for other subjects", () => {
        report({});
        order({ holder: "node-2" });
        order({ holder: "node-3" }, "b");
        order({ holder: "node-4" }, "a", "plain");
        expect(judge.listViolations()).toEqual([]);
    });

    it("finds orders of one service and zone that share a fencing number, reclaimable ones too", () => {
        order({ holder: "node-1" });
        order({ holder: "node-2", body: { Service: "engines", Zone: "a", Desired: 1, Spot: true } });
        expect(judge.listViolations()).toMatchObject([{ type: "sharedFence", subject: "/scale engines/a" }]);
    });

    it("finds a lower fencing number than any before, also in a later era", () => {
        report({ fence: 3 }, 1);
        report({ fence: 5, atMs: 10 }, 2);
        report({ fence: 4, atMs: 90_000, era: 2, isAccepted: false }, 3);
        expect(judge.listViolations()).toMatchObject([
            { type: "lowerFence", subject: "/usage", calls: [{ fence: 5 }, { fence: 4, era: 2 }] },
        ]);
    });

    it("allows equal and higher fencing numbers, and lower ones of other subjects", () => {
        report({ fence: 5 }, 1);
        report({ fence: 5, atMs: 10 }, 2);
        report({ fence: 6, atMs: 20 }, 3);
        order({ fence: 2, atMs: 30 });
        expect(judge.listViolations()).toEqual([]);
    });

    it("finds holders in the order A, B, A within the lease, once for each return", () => {
        report({ fence: 1, atMs: 0 }, 1);
        report({ holder: "node-2", fence: 2, atMs: 1_000 }, 2);
        report({ fence: 3, atMs: leaseMs }, 3);
        report({ fence: 3, atMs: leaseMs }, 4);
        expect(judge.listViolations()).toMatchObject([
            {
                type: "returnedHolder",
                subject: "/usage",
                spanMs: leaseMs,
                calls: [{ fence: 1 }, { holder: "node-2" }, { fence: 3 }],
            },
        ]);
    });

    it("finds a return over two other holders, measured from the last call before them", () => {
        report({ fence: 1, atMs: 0 }, 1);
        report({ fence: 1, atMs: 2_000 }, 2);
        report({ holder: "node-2", fence: 2, atMs: 3_000 }, 3);
        report({ holder: "node-3", fence: 3, atMs: 4_000 }, 4);
        report({ fence: 4, atMs: 4_500 }, 5);
        expect(judge.listViolations()).toMatchObject([{ type: "returnedHolder", spanMs: 2_500 }]);
    });

    it("allows a return after the lease, a change without return, and returns over other subjects", () => {
        report({ fence: 1, atMs: 0 }, 1);
        report({ holder: "node-2", fence: 2, atMs: 1_000 }, 2);
        order({ atMs: 1_100 });
        order({ holder: "node-2", fence: 2, atMs: 1_200 }, "b");
        report({ fence: 3, atMs: leaseMs + 1 }, 3);
        report({ holder: "node-3", fence: 4, atMs: leaseMs + 2 }, 4);
        expect(judge.listViolations()).toEqual([]);
    });

    it("excuses a lower fencing number and a return right after a thaw, and not later", () => {
        const actAround = (thawedMs: number) => {
            report({ holder: "node-2", fence: 2, atMs: thawedMs - 100 }, thawedMs);
            report({ fence: 1, atMs: thawedMs + thawSlackMs }, thawedMs + 1);
            report({ holder: "node-2", fence: 2, atMs: thawedMs + thawSlackMs + 1 }, thawedMs + 2);
        };
        judge.recordThaw("node-1", 1_000);
        actAround(1_000);
        expect(judge.listViolations()).toEqual([]);
        report({ fence: 1, atMs: 1_000 + thawSlackMs + 2 }, 9);
        expect(listTypes()).toEqual(["lowerFence"]);
    });

    it("excuses no other holder than the one that was thawed", () => {
        judge.recordThaw("node-2", 1_000);
        report({ holder: "node-2", fence: 2, atMs: 1_000 }, 1);
        report({ fence: 1, atMs: 1_100 }, 2);
        expect(listTypes()).toEqual(["lowerFence"]);
    });

    it("excuses all holders in a disturbance of the platform", () => {
        judge.addExcuse({ fromMs: 1_000, untilMs: 2_000 });
        report({ holder: "node-2", fence: 2, atMs: 900 }, 1);
        report({ fence: 1, atMs: 1_000 }, 2);
        report({ holder: "node-2", fence: 2, atMs: 2_000 }, 3);
        expect(judge.listViolations()).toEqual([]);
    });
});
