import { afterEach, beforeEach, describe, expect, test } from "vitest";
import { startPlainService, type FaultInput, type RunningPlainService } from "../../index.js";
import { readBackendJson, sendBackendCall, type BackendAnswer } from "./backendCalls.js";

let service: RunningPlainService;

beforeEach(async () => {
    service = await startPlainService();
});

afterEach(() => service.close());

function sendOrder(orderId: string, requestId: string, signal?: AbortSignal): Promise<BackendAnswer> {
    const headers = { "x-request-id": requestId };
    return sendBackendCall(service.address, { path: "/orders", body: { orderId }, headers, signal });
}

interface OrderFaultCase {
    readonly fault: FaultInput;
    readonly expected: Partial<BackendAnswer>;
    /** Number of executions of the order; undefined when it was not executed. */
    readonly executions: number | undefined;
}

const confirmed = { status: 200, requestId: "own", text: `{"outcome":"confirmed","orderId":"o"}` };
const faultCases: readonly OrderFaultCase[] = [
    { fault: { kind: "delay", delayMs: 1 }, expected: confirmed, executions: 1 },
    { fault: { kind: "refuse" }, expected: { status: 503, executed: "no" }, executions: undefined },
    { fault: { kind: "rateLimit" }, expected: { status: 429 }, executions: undefined },
    { fault: { kind: "failAfterEffect" }, expected: { status: 503, executed: undefined }, executions: 1 },
    { fault: { kind: "dropReply" }, expected: { status: undefined, text: "" }, executions: 1 },
    { fault: { kind: "lateEffect" }, expected: { status: undefined, text: "" }, executions: undefined },
    {
        fault: { kind: "cutMidAnswer", afterTokens: 4 },
        expected: { status: undefined },
        executions: 1,
    },
    { fault: { kind: "wrongEcho" }, expected: { ...confirmed, requestId: "own-other" }, executions: 1 },
    {
        fault: { kind: "crossedAnswers" },
        expected: { status: 200, requestId: "first", text: `{"outcome":"confirmed","orderId":"p"}` },
        executions: 1,
    },
];

describe("orders under faults", () => {
    test.each(faultCases)("$fault.kind", async ({ fault, expected, executions }) => {
        await sendOrder("p", "first");
        service.switches.setPlan({ faults: [{ ...fault, count: 1 }] });
        expect(await sendOrder("o", "own")).toMatchObject(expected);
        const { orders, requests } = service.readCounts();
        expect([orders["o"], requests["own"]]).toEqual([executions, executions]);
    });

    test("a delayed order runs after its caller lost the connection", async () => {
        service.switches.setPlan({ faults: [{ kind: "lateEffect", count: 1 }] });
        expect((await sendOrder("o", "own")).status).toBeUndefined();
        expect(service.readCounts().orders).toEqual({});
        service.switches.clear();
        expect(await readBackendJson(service.address, "/counts")).toMatchObject({ orders: { o: 1 } });
    });

    test("a hanging order is not executed", async () => {
        service.switches.setPlan({ faults: [{ kind: "hang", count: 1 }] });
        const caller = new AbortController();
        const answer = sendOrder("o", "own", caller.signal);
        while (service.readRecord().length === 0) {
            await readBackendJson(service.address, "/counts");
        }
        caller.abort();
        expect((await answer).status).toBeUndefined();
        expect(service.readCounts().orders).toEqual({});
    });

    test("every execution is counted", async () => {
        await sendOrder("o", "one");
        await sendOrder("o", "two");
        await sendOrder("o", "two");
        expect(await readBackendJson(service.address, "/counts")).toMatchObject({
            orders: { o: 3 },
            requests: { one: 1, two: 2 },
        });
    });
});

test("a seat is booked once", async () => {
    const bookSeat = (holder: string): Promise<BackendAnswer> =>
        sendBackendCall(service.address, { path: "/bookings", body: { seat: "12", holder } });
    const answers = await Promise.all([bookSeat("a"), bookSeat("b"), bookSeat("a")]);
    expect(answers.map(({ status }) => status).sort()).toEqual([200, 409, 409]);
    const { bookings, refusals } = service.readCounts();
    expect([Object.values(bookings), refusals]).toEqual([[1], { 12: 2 }]);
});

test("a job's status can be read repeatedly", async () => {
    const first = await sendBackendCall(service.address, { path: "/jobs/j1" });
    expect(await sendBackendCall(service.address, { path: "/jobs/j1" })).toEqual(first);
    expect(service.readCounts().orders).toEqual({});
});

test("a malformed body is refused as not executed", async () => {
    const answer = await sendBackendCall(service.address, { path: "/orders", body: { order: 1 } });
    expect([answer.status, JSON.parse(answer.text).executed]).toEqual([400, "no"]);
});
