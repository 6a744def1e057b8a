import { describe, expect, it } from "vitest";
import type { StartEstimate } from "../../placement/startEstimate.js";
import { chooseAdmission, type AdmissionContext } from "../admissionDecision.js";
import type { AdmissionRequest } from "../admissionRequest.js";

/** A long prompt of the bakeries (docs/design/17-hard-load.md). */
const longPrompt: AdmissionRequest = {
    requestId: "request",
    kind: "long",
    customer: undefined,
    priority: 2,
    promptTokens: 17_020,
    sizeRank: 0.5,
    arrivedMs: 0,
    deadlineMs: 12_163,
    targetMs: 2_027,
    pauseTargetMs: 800,
    isReturning: false,
    isResumption: false,
};
const urgent: AdmissionRequest = { ...longPrompt, priority: 0, targetMs: 1_211, deadlineMs: 15_140 };
const plain: AdmissionRequest = { ...longPrompt, pauseTargetMs: undefined, targetMs: 396, deadlineMs: 4_109 };
const full: StartEstimate = { serverId: "s", startMs: 400, hasRoom: false, delayedStreams: 0 };
const harmful: StartEstimate = { serverId: "s", startMs: 400, hasRoom: true, delayedStreams: 3 };
const free: StartEstimate = { serverId: "s", startMs: 400, hasRoom: true, delayedStreams: 0 };

function choose(
    request: AdmissionRequest,
    estimate: StartEstimate | undefined,
    context: Partial<AdmissionContext> = {},
) {
    const readLoad = () => ({ takenShare: 0.9, waiting: 5 });
    return chooseAdmission(request, estimate, {
        nowMs: 0,
        restMs: 2_000,
        isOwed: false,
        readLoad,
        ...context,
    });
}

const calm = { readLoad: () => ({ takenShare: 0.4, waiting: 0 }) };

describe("the decision about a request", () => {
    // Guards against requests that are held back without a reason.
    it("starts what servers have room for, and what cannot be predicted", () => {
        expect(choose(longPrompt, free)).toEqual({ type: "start", reason: "room" });
        expect(choose(longPrompt, undefined)).toEqual({ type: "start", reason: "noEstimate" });
    });

    // Guards against long prompts that make more urgent streams exceed their pause targets.
    it("lets a less urgent request wait where an urgent one starts", () => {
        expect(choose(urgent, harmful).type).toBe("start");
        expect(choose(longPrompt, harmful)).toEqual({ type: "wait", reason: "streams", untilMs: 2_027 / 8 });
        const some = { ...harmful, delayedStreams: 0.4 };
        expect(choose({ ...longPrompt, priority: 1 }, some).type).toBe("start");
        expect(choose(longPrompt, some).type).toBe("wait");
    });

    // Guards against an answer that is given up although a late one is still worth something.
    it("goes on waiting for a late answer, and refuses when none is possible any more", () => {
        expect(choose(longPrompt, full, { nowMs: 2_000 })).toMatchObject({ type: "wait", untilMs: 9_763 });
        expect(choose(longPrompt, full, { nowMs: 9_763 })).toMatchObject({ type: "refuse", reason: "room" });
        const slow = { ...full, startMs: 11_000 };
        expect(choose(longPrompt, slow).type).toBe("refuse");
    });

    // Guards against refusals within an unloaded service, whatever the prediction says.
    it("refuses nothing while the service is calm", () => {
        for (const nowMs of [0, 1_000, 2_000, 9_000, 10_000, 12_000]) {
            for (const estimate of [full, harmful, { ...full, startMs: 20_000 }]) {
                expect(choose(longPrompt, estimate, { ...calm, nowMs }).type).not.toBe("refuse");
                expect(choose(plain, estimate, { ...calm, nowMs }).type).not.toBe("refuse");
            }
        }
        const worthwhile = { ...harmful, delayedStreams: 0.9 };
        expect(choose(longPrompt, worthwhile, { ...calm, nowMs: 200 }).type).toBe("wait");
        expect(choose(longPrompt, worthwhile, { ...calm, nowMs: 254 }).type).toBe("start");
        expect(choose(longPrompt, worthwhile, { nowMs: 254 })).toMatchObject({ untilMs: 1_627 });
        expect(choose(longPrompt, full, { ...calm, nowMs: 9_763 }).type).toBe("start");
    });

    // Guards against kinds, customers, sizes, returning callers and continued streams that never start.
    it.each([{ request: longPrompt, isOwed: true }, { request: { ...longPrompt, isReturning: true } }])(
        "starts what is owed a start or was tried before when there is room",
        ({ request, isOwed = false }) => {
            expect(choose(request, harmful, { isOwed }).type).toBe("start");
            expect(choose(request, full, { isOwed }).type).toBe("wait");
        },
    );

    // Guards against plain services that are held back because reports of their load are old.
    it("holds a request to a plain service only for an eighth of its target", () => {
        expect(choose(plain, { ...full, startMs: 90 })).toMatchObject({ type: "wait", untilMs: 49.5 });
        expect(choose(plain, { ...full, startMs: 90 }, { nowMs: 50 }).type).toBe("start");
        expect(choose(plain, { ...full, startMs: 500 }).type).toBe("start");
        expect(choose(plain, { ...full, startMs: 5_000 }).type).toBe("refuse");
    });
});
