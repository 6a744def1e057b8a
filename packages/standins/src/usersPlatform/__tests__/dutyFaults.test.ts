import { ManualClock } from "@pimentocleat/types";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { request as sendRequest } from "undici";
import { UsersPlatformStandIn } from "../usersPlatformStandIn.js";

describe("faults of calls of duty holders", () => {
    let platform: UsersPlatformStandIn;
    let address: string;
    let clock: ManualClock;

    beforeEach(async () => {
        clock = new ManualClock();
        platform = new UsersPlatformStandIn({ leaseMs: 1_000, clock });
        address = (await platform.open()).cloud;
    });

    afterEach(() => platform.close());

    const send = async (path: string, body: unknown, fence = 1, holder = "node-1") => {
        const answer = await sendRequest(`http://${address}${path}`, {
            method: "POST",
            headers: { "x-duty-holder": holder, "x-fencing-token": String(fence) },
            body: JSON.stringify(body),
        });
        await answer.body.dump();
        return answer.statusCode;
    };

    const report = (window: number, count = 5, fence = 1, holder = "node-1") =>
        send("/usage", { Window: window, Counts: { a: count } }, fence, holder);

    const order = () => send("/scale", { Service: "engines", Zone: "a", Desired: 2 });

    const listTypes = () => platform.listViolations().map(({ type }) => type);

    /** Starts a report that gets no response; closing the platform ends it. */
    const startUnanswered = (window: number, count?: number) => {
        let isAnswered = false;
        report(window, count).then(
            () => (isAnswered = true),
            () => undefined,
        );
        return () => isAnswered;
    };

    it("performs a report whose answer is lost, so that other counts are a violation", async () => {
        platform.setDutyFaults("/usage", ["lost"]);
        const isAnswered = startUnanswered(1);
        await expect.poll(() => platform.dutyCalls.length).toBe(1);
        expect(platform.dutyCalls).toMatchObject([{ isAccepted: true, era: 1, holder: "node-1", fence: 1 }]);
        expect(await report(1)).toBe(200);
        expect(platform.listViolations()).toEqual([]);
        expect(await report(1, 6)).toBe(200);
        expect(listTypes()).toEqual(["differentCounts"]);
        expect(isAnswered()).toBe(false);
    });

    it("performs a late report when it is delivered, in the era of that time", async () => {
        platform.setDutyFaults("/usage", ["late"]);
        const isAnswered = startUnanswered(1);
        await expect.poll(() => platform.countLateDutyCalls()).toBe(1);
        expect(platform.dutyCalls).toEqual([]);
        expect(await report(2, 5, 2, "node-2")).toBe(200);
        platform.recoverStore(platform.rows.copyRows());
        clock.advance(500);
        platform.applyLateDutyCalls();
        expect(platform.dutyCalls).toMatchObject([
            { holder: "node-2", atMs: 0, era: 1 },
            { holder: "node-1", atMs: 500, era: 2, isAccepted: true },
        ]);
        expect(platform.countLateDutyCalls()).toBe(0);
        expect(listTypes()).toEqual(["lowerFence"]);
        expect(isAnswered()).toBe(false);
    });

    it.each([
        ["busy", 503],
        ["limited", 429],
        ["conflict", 409],
    ] as const)(
        "refuses a report that is %s with status %i and does not perform it",
        async (fault, status) => {
            platform.setDutyFaults("/usage", [fault]);
            expect(await order()).toBe(200);
            expect(await report(1, 5)).toBe(status);
            expect(await report(1, 6)).toBe(200);
            expect(platform.dutyCalls.map(({ isAccepted }) => isAccepted)).toEqual([true, false, true]);
            expect(platform.listViolations()).toEqual([]);
        },
    );

    it("neither performs nor answers a silent report", async () => {
        platform.setDutyFaults("/usage", ["usual", "silent", "usual"]);
        expect(await report(1)).toBe(200);
        const isAnswered = startUnanswered(2);
        await expect.poll(() => report(3)).toBe(200);
        expect(platform.dutyCalls.map(({ body }) => body["Window"])).not.toContain(2);
        expect(isAnswered()).toBe(false);
    });

    it("handles all calls in a mode, but for those with a fault of their own", async () => {
        platform.setDutyMode("busy");
        platform.setDutyFaults("/scale", ["usual"]);
        expect([await order(), await order(), await report(1)]).toEqual([200, 503, 503]);
        platform.setDutyMode("usual");
        platform.orderStatus = 409;
        expect([await order(), await report(1)]).toEqual([409, 200]);
    });

    it("excuses a node that was just thawed", async () => {
        await report(1, 5, 2, "node-2");
        platform.recordThaw("node-1");
        clock.advance(300);
        await report(2);
        expect(platform.listViolations()).toEqual([]);
        clock.advance(1);
        await report(3);
        expect(listTypes()).toEqual(["lowerFence"]);
    });

    it("judges with the lease that it was given", async () => {
        for (const [fence, atMs, holder] of [
            [1, 0, "node-1"],
            [2, 900, "node-2"],
            [3, 1_000, "node-1"],
            [4, 1_901, "node-2"],
        ] as const) {
            clock.advance(atMs - clock.monotonicMs());
            await report(fence, 5, fence, holder);
        }
        expect(platform.listViolations()).toMatchObject([{ type: "returnedHolder", spanMs: 1_000 }]);
    });
});
