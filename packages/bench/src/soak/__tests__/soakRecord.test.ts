import type { DutyCall, ReceivedAnswer } from "@pimentocleat/standins";
import { describe, expect, it } from "vitest";
import {
    findGuaranteeViolations,
    type SoakCall,
    type SoakRecord,
    type SoakBackendRequest,
} from "../soakRecord.js";

const completeStream = "id: 0\n\nid: 1\n\nid: 2\n\nid: 3\n\n";

function buildCall(kind: SoakCall["kind"], change: Partial<ReceivedAnswer> = {}): SoakCall {
    const body = kind === "stream" ? completeStream : "whole answer of plain-1";
    const defaults = {
        status: 200,
        headers: {},
        requestId: "r-1",
        isOwn: true,
        isSigned: true,
        isBroken: false,
    };
    return { kind, answer: { ...defaults, body, ...change } };
}

function buildReport(window: number, fence: number, change: Partial<DutyCall> = {}): DutyCall {
    return { path: "/usage", holder: "n-1", fence, body: { Window: window, Counts: { c: 1 } }, ...change };
}

function findViolations(change: Partial<SoakRecord>): readonly string[] {
    return findGuaranteeViolations({
        calls: [],
        backendRequests: [],
        duties: [],
        exitedNodes: [],
        unavailableNodes: [],
        ...change,
    });
}

const request: SoakBackendRequest = { requestId: "r-1", behaviour: "answer" };
const nodeRefusal = { status: 503, isSigned: false, body: "{}" };

describe("findGuaranteeViolations", () => {
    it("finds no violation in a record without faults", () => {
        const calls = [buildCall("safe"), buildCall("unsafe"), buildCall("stream")];
        const duties = [buildReport(1, 1), buildReport(1, 1), buildReport(2, 2, { holder: "n-2" })];
        expect(findViolations({ calls, backendRequests: [request], duties })).toEqual([]);
    });

    it.each<{ readonly name: string; readonly change: Partial<SoakRecord> }>([
        {
            name: "an unsafe request that ran twice",
            change: {
                calls: [buildCall("unsafe")],
                backendRequests: [request, { ...request, behaviour: "lost" }],
            },
        },
        {
            name: "a response that states that nothing ran, for a request that ran",
            change: { calls: [buildCall("safe", nodeRefusal)], backendRequests: [request] },
        },
        {
            name: "a stream without its last events",
            change: { calls: [buildCall("stream", { body: "id: 0\n\n" })] },
        },
        { name: "the response of another request", change: { calls: [buildCall("safe", { isOwn: false })] } },
        {
            name: "a response without a signature",
            change: { calls: [buildCall("safe", { isSigned: false })] },
        },
        {
            name: "a usage window that was reported twice with different counts",
            change: {
                duties: [buildReport(1, 1), buildReport(1, 1, { body: { Window: 1, Counts: { c: 2 } } })],
            },
        },
        {
            name: "a fencing number that two nodes used",
            change: { duties: [buildReport(1, 1), buildReport(2, 1, { holder: "n-2" })] },
        },
        {
            name: "a fencing number that decreases",
            change: { duties: [buildReport(1, 2), buildReport(2, 1)] },
        },
        { name: "a node that exited unexpectedly", change: { exitedNodes: ["n-1"] } },
        { name: "a node that does not serve requests again", change: { unavailableNodes: ["n-1"] } },
    ])("finds $name", ({ change }) => {
        expect(findViolations(change)).toHaveLength(1);
    });

    it("allows a truncated stream, and a second attempt after a server responded that it did not run the first", () => {
        const calls = [buildCall("stream", { body: "id: 0\n\n", isBroken: true }), buildCall("unsafe")];
        expect(
            findViolations({ calls, backendRequests: [{ ...request, behaviour: "notRun" }, request] }),
        ).toEqual([]);
    });
});
