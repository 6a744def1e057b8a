import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import type { AdmissionRequest } from "../admissionRequest.js";
import { OverloadControl } from "../overloadControl.js";
import { ServedShares } from "../servedShares.js";

const request: AdmissionRequest = {
    requestId: "request",
    kind: "long",
    customer: "one",
    priority: 1,
    promptTokens: 9_000,
    sizeRank: 0.5,
    arrivedMs: 0,
    deadlineMs: 6_000,
    targetMs: 1_200,
    pauseTargetMs: 300,
    isReturning: false,
    isResumption: false,
};

describe("the order of waiting requests", () => {
    const control = new OverloadControl(new ManualClock());
    control.recordStart(request);

    // Guards against an order in which a customer's rank, a continued stream or a short slack counts for nothing.
    it("is priority, continued streams, slack, served tokens, arrival", () => {
        const other = { ...request, customer: "two", arrivedMs: 1 };
        const ordered = [
            { ...other, priority: 0, arrivedMs: 900 },
            { ...other, isResumption: true, arrivedMs: 900 },
            { ...other, targetMs: 600 },
            other,
            request,
            { ...request, arrivedMs: 2 },
            { ...other, priority: 2, isResumption: true },
        ];
        const shuffled = [5, 2, 6, 0, 4, 1, 3].map((index) => ordered[index]!);
        shuffled.sort((left, right) => control.compareRequests(left, right));
        expect(shuffled).toEqual(ordered);
    });

    it("forgets served tokens with time", () => {
        const clock = new ManualClock();
        const aging = new OverloadControl(clock);
        aging.recordStart({ ...request, customer: "early" });
        clock.advance(20_000);
        aging.recordStart({ ...request, customer: "late" });
        const compared = aging.compareRequests(
            { ...request, customer: "early" },
            { ...request, customer: "late" },
        );
        expect(compared).toBeLessThan(0);
    });
});

describe("floors", () => {
    /** Plays requests that would all be refused, of which only those that are owed a start start. */
    function measureShares(sizeRanks: readonly number[], customers: readonly string[], kindStarts: boolean) {
        const shares = new ServedShares();
        const counts = new Map<string, { all: number; started: number }>();
        for (let index = 0; index < 2_000; index += 1) {
            const sizeRank = sizeRanks[index % sizeRanks.length]!;
            const customer = customers[index % customers.length]!;
            const next = { ...request, sizeRank, customer };
            const isHeld = !kindStarts || sizeRank >= 0.7 || customer === "held";
            const isStarted = !isHeld || shares.isOwed(next);
            shares.recordOutcome(next, isStarted);
            for (const key of ["all", customer, String(sizeRank)]) {
                const count = counts.get(key) ?? { all: 0, started: 0 };
                counts.set(key, { all: count.all + 1, started: count.started + Number(isStarted) });
            }
        }
        return (key: string) => counts.get(key)!.started / counts.get(key)!.all;
    }

    // Guards against a kind or a customer that starves; a quarter is the requirement.
    it("start a quarter of a kind and of a customer", () => {
        expect(measureShares([0.5], ["one"], false)("all")).toBeGreaterThanOrEqual(0.25);
        expect(
            measureShares([0.5], ["one", "held", "two", "three", "four"], true)("held"),
        ).toBeGreaterThanOrEqual(0.25);
    });

    // Guards against large prompts that starve; half of their kind's share is the requirement.
    it("start the largest tenth, and the fifth below it, half as often as their kind", () => {
        const readShare = measureShares(
            [0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.65, 0.75, 0.75, 0.95],
            ["one"],
            true,
        );
        expect(readShare("0.95")).toBeGreaterThanOrEqual(readShare("all") / 2);
        expect(readShare("0.75")).toBeGreaterThanOrEqual(readShare("all") / 2);
    });

    // Guards against memory that grows with the number of customers.
    it("forget customers that are not seen any more", () => {
        const shares = new ServedShares();
        for (let index = 0; index < 32; index += 1) {
            shares.recordOutcome({ ...request, customer: "first" }, false);
        }
        for (let index = 0; index < 600; index += 1) {
            shares.recordOutcome({ ...request, customer: `customer-${String(index)}` }, true);
        }
        expect(shares.isOwed({ ...request, customer: "first" })).toBe(false);
    });
});
