import { describe, expect, it } from "vitest";
import { BackendConnection } from "@pimentocleat/upstream";
import { callNode } from "./support/callNode.js";
import { answerJson, type ReceivedRequest } from "./support/fakeBackend.js";
import { answerBrokenJson, echoWrongId, failWithStatus, backendFaults } from "./support/faults.js";
import { createTestBed } from "./support/testBed.js";
import { FakeClaims } from "./support/testNode.js";

const answerTimeoutMs = 300;
const order = { path: "/orders", body: { leaflets: 5_000 } };

describe("faults of backend servers", () => {
    const bed = createTestBed();

    it.each(backendFaults)(
        "$name: a repeatable request is answered by another server",
        async ({ behavior }) => {
            const faulty = await bed.startBackend(behavior);
            const good = await bed.startBackend(answerJson({ ok: "whole" }));
            const node = await bed.startNode({ services: [faulty, good], answerTimeoutMs });
            const answer = await callNode(node, { path: "/jobs/1" });
            expect([answer.status, answer.text]).toEqual([200, '{"ok":"whole"}']);
            expect(good.requests[0]?.attemptId).not.toBe(faulty.requests[0]?.attemptId);
        },
    );

    it.each(backendFaults)(
        "$name: returns an explicit error when there is no other server",
        async (fault) => {
            const faulty = await bed.startBackend(fault.behavior);
            const node = await bed.startNode({ services: [faulty], answerTimeoutMs });
            const answer = await callNode(node, { path: "/jobs/1" });
            expect(answer.error).toMatchObject({ kind: fault.kind, executed: fault.executed });
            expect(answer.error?.requestId).toBe(answer.headers["x-request-id"]);
            expect(answer.text).not.toContain("stack trace");
            expect(faulty.requests).toHaveLength(1);
        },
    );

    it.each(backendFaults)("$name: a non-repeatable request is sent once", async (fault) => {
        const faulty = await bed.startBackend(fault.behavior);
        const other = await bed.startBackend();
        const node = await bed.startNode({ services: [faulty, other], answerTimeoutMs });
        const { error } = await callNode(node, order);
        expect([error?.kind, error?.executed]).toEqual([fault.kind, fault.executed]);
        expect(faulty.requests.length + other.requests.length).toBe(1);
    });

    it.each(backendFaults)(
        "$name: with an idempotency key, a request that may have run is not sent again",
        async (fault) => {
            const faulty = await bed.startBackend(fault.behavior);
            const claims = new FakeClaims();
            const node = await bed.startNode({ services: [faulty], answerTimeoutMs, claims });
            const headers = { "idempotency-key": "order-1" };
            const first = await callNode(node, { ...order, headers });
            expect(first.error?.executed).toBe(fault.executed);
            expect(claims.outcomes.map((outcome) => outcome.type)).toEqual([
                fault.executed === "no" ? "notRun" : "unknown",
            ]);
            faulty.behavior = answerJson({ ok: true });
            const second = await callNode(node, { ...order, headers });
            const sent = fault.executed === "no" ? 2 : 1;
            expect(faulty.requests).toHaveLength(sent);
            expect(second.error?.kind).toBe(sent === 2 ? undefined : "idempotency_outcome_unknown");
        },
    );

    it("reports that the request was not run when no connection could be opened", async () => {
        const stopped = await bed.startBackend();
        await stopped.stop();
        const node = await bed.startNode({ services: [stopped] });
        const { error } = await callNode(node, order);
        expect([error?.kind, error?.executed]).toEqual(["backend_failed", "no"]);
    });

    it("never resends a request when the server resets a reused connection", async () => {
        const service = await bed.startBackend();
        const node = await bed.startNode({ services: [service] });
        await callNode(node, { path: "/jobs/1" });
        service.behavior = ({ socket }) => socket.resetAndDestroy();
        const { error } = await callNode(node, order);
        expect(error?.executed).toBe("unknown");
        expect(service.requests).toHaveLength(2);
        expect(service.requests[1]?.socket).not.toBe(service.requests[0]?.socket);
    });

    it.each([
        { name: "wrong request identifier", behavior: echoWrongId },
        { name: "invalid JSON", behavior: answerBrokenJson },
        { name: "server error", behavior: failWithStatus },
    ])("$name: the connection is not reused for another request", async ({ behavior }) => {
        const service = await bed.startBackend(behavior);
        const node = await bed.startNode({ services: [service] });
        await callNode(node, { path: "/jobs/1" });
        service.behavior = answerJson({ ok: true });
        expect((await callNode(node, { path: "/jobs/2" })).status).toBe(200);
        expect(service.requests[1]?.socket).not.toBe(service.requests[0]?.socket);
        await callNode(node, { path: "/jobs/3" });
        expect(service.requests[2]?.socket).toBe(service.requests[1]?.socket);
    });

    it("never opens a second connection for a request, as the HTTP client would by itself", async () => {
        const service = await bed.startBackend();
        let closed = 0;
        const connection = new BackendConnection({
            address: service.address,
            connectTimeoutMs: 1_000,
            idleConnectionTimeoutMs: 1_000,
            onClosed: () => (closed += 1),
        });
        const send = (): Promise<string> =>
            new Promise((resolve) => {
                connection.dispatchRequest(
                    { path: "/jobs/1", method: "GET" },
                    {
                        onRequestStart: () => {},
                        onResponseStart: () => {},
                        onResponseData: () => {},
                        onResponseEnd: () => resolve("answered"),
                        onResponseError: (...[, error]) => resolve(error.name),
                    },
                );
            });
        expect(await send()).toBe("answered");
        const disconnected = service.waitForClose();
        service.requests[0]?.socket.destroy();
        const second = send();
        await disconnected;
        expect(await second).not.toBe("answered");
        expect(service.requests).toHaveLength(1);
        expect([connection.isUsable, closed]).toEqual([false, 1]);
    });

    it("never returns a late response to the next request", async () => {
        const late: ReceivedRequest[] = [];
        const service = await bed.startBackend((request) => late.push(request));
        const node = await bed.startNode({ services: [service], answerTimeoutMs });
        const closed = service.waitForClose();
        await callNode(node, { path: "/jobs/1" });
        await closed;
        service.behavior = (request, count) => {
            late.forEach((earlier) => answerJson({ of: "first" })(earlier, 1));
            answerJson({ of: "second" })(request, count);
        };
        expect((await callNode(node, { path: "/jobs/2" })).text).toBe('{"of":"second"}');
        expect(service.requests[1]?.socket).not.toBe(service.requests[0]?.socket);
    });

    it("discards swapped responses and retries", async () => {
        const received: ReceivedRequest[] = [];
        const service = await bed.startBackend((request, count) => {
            received.push(request);
            if (count === 2) {
                const [first, second] = received as [ReceivedRequest, ReceivedRequest];
                answerJson({ for: second.message.url })({ ...first, attemptId: second.attemptId }, 1);
                answerJson({ for: first.message.url })({ ...second, attemptId: first.attemptId }, 2);
            } else if (count > 2) {
                answerJson({ for: request.message.url })(request, count);
            }
        });
        const node = await bed.startNode({ services: [service, service], slots: 1 });
        const answers = await Promise.all(["/jobs/a", "/jobs/b"].map((path) => callNode(node, { path })));
        expect(answers.map((answer) => answer.text)).toEqual(['{"for":"/jobs/a"}', '{"for":"/jobs/b"}']);
    });
});
