import type { DutyCall, ReceivedAnswer } from "@pimentocleat/standins";
import { describe, expect, it } from "vitest";
import {
    findGuaranteeViolations,
    type SoakCall,
    type SoakRecord,
    type SoakBackendRequest,
} from "../soakRecord.js";

const wholeStream = "id: 0\n\nid: 1\n\nid: 2\n\nid: 3\n\n";

function buildCall(kind: SoakCall["kind"], change: Partial<ReceivedAnswer> = {}): SoakCall {
    const body = kind === "stream" ? wholeStream : "whole answer of plain-1";
    const usual = {
        status: 200,
        headers: {},
        requestId: "r-1",
        isOwn: true,
        isSigned: true,
        isBroken: false,
    };
    return { kind, answer: { ...usual, body, ...change } };
}

function buildReport(window: number, fence: number, change: Partial<DutyCall> = {}): DutyCall {
    return { path: "/usage", holder: "n-1", fence, body: { Window: window, Counts: { c: 1 } }, ...change };
}

function findBroken(change: Partial<SoakRecord>): readonly string[] {
    return findGuaranteeViolations({
        calls: [],
        backendRequests: [],
        duties: [],
        exitedNodes: [],
        unavailableNodes: [],
        ...change,
    });
}

const run: SoakBackendRequest = { requestId: "r-1", behaviour: "answer" };
const ownRefusal = { status: 503, isSigned: false, body: "{}" };

describe("findBrokenPromises", () => {
    it("finds nothing in a calm record", () => {
        const calls = [buildCall("safe"), buildCall("unsafe"), buildCall("stream")];
        const duties = [buildReport(1, 1), buildReport(1, 1), buildReport(2, 2, { holder: "n-2" })];
        expect(findBroken({ calls, backendRequests: [run], duties })).toEqual([]);
    });

    it.each<{ readonly name: string; readonly change: Partial<SoakRecord> }>([
        {
            name: "a request that may run once and ran twice",
            change: { calls: [buildCall("unsafe")], backendRequests: [run, { ...run, behaviour: "lost" }] },
        },
        {
            name: "a promise that nothing ran, of a request that ran",
            change: { calls: [buildCall("safe", ownRefusal)], backendRequests: [run] },
        },
        { name: "a stream without its end", change: { calls: [buildCall("stream", { body: "id: 0\n\n" })] } },
        { name: "an answer of another request", change: { calls: [buildCall("safe", { isOwn: false })] } },
        {
            name: "an answer without a signature",
            change: { calls: [buildCall("safe", { isSigned: false })] },
        },
        {
            name: "two figures of one window",
            change: {
                duties: [buildReport(1, 1), buildReport(1, 1, { body: { Window: 1, Counts: { c: 2 } } })],
            },
        },
        {
            name: "one fence of two nodes",
            change: { duties: [buildReport(1, 1), buildReport(2, 1, { holder: "n-2" })] },
        },
        { name: "a fence that goes back", change: { duties: [buildReport(1, 2), buildReport(2, 1)] } },
        { name: "a node that ended by itself", change: { exitedNodes: ["n-1"] } },
        { name: "a node that does not serve again", change: { unavailableNodes: ["n-1"] } },
    ])("finds $name", ({ change }) => {
        expect(findBroken(change)).toHaveLength(1);
    });

    it("allows a cut answer, and a second send after the first said that it did not run", () => {
        const calls = [buildCall("stream", { body: "id: 0\n\n", isBroken: true }), buildCall("unsafe")];
        expect(findBroken({ calls, backendRequests: [{ ...run, behaviour: "notRun" }, run] })).toEqual([]);
    });
});
