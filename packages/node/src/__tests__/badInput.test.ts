import { once } from "node:events";
import { connect } from "node:net";
import { describe, expect, it } from "vitest";
import { errorAnswers, type ErrorKind } from "@pimentocleat/types";
import { buildChat, callNode, type CallOptions } from "./support/callNode.js";
import { createTestBed } from "./support/testBed.js";
import { secret, type TestNode } from "./support/testNode.js";

const chat = "/v1/chat/completions";
const limits = {
    maximumBodyBytes: 10_000,
    maximumHeaderBytes: 4_000,
    headersTimeoutMs: 200,
    requestTimeoutMs: 400,
};

const refusals: (CallOptions & { kind: string })[] = [
    { kind: "malformed_body", path: chat, body: "{" },
    { kind: "malformed_body", path: chat, method: "POST" },
    { kind: "invalid_request", path: chat, body: [] },
    { kind: "invalid_request", path: chat, body: { model: "copy-1" } },
    { kind: "invalid_request", path: chat, body: buildChat({ max_tokens: -1 }) },
    { kind: "invalid_request", path: chat, body: buildChat({ resume: { text: "a", tokens: 1 } }) },
    { kind: "invalid_request", path: "/v1/completions", body: { model: "copy-1", prompt: 3 } },
    { kind: "body_too_large", path: chat, body: buildChat({ padding: "x".repeat(10_000) }) },
    { kind: "unknown_model", path: chat, body: buildChat({ model: "nothing" }) },
    { kind: "unknown_class", path: chat, body: buildChat(), headers: { "x-request-class": "nothing" } },
    { kind: "unknown_class", path: "/jobs/1", headers: { "x-request-class": "nothing" } },
    { kind: "unknown_route", path: "/nothing" },
    { kind: "unknown_route", path: "/ordersx", method: "POST" },
    { kind: "method_not_allowed", path: chat },
    { kind: "method_not_allowed", path: "/orders", method: "PUT" },
    { kind: "invalid_request", path: "/jobs//orders" },
    { kind: "invalid_request", path: "/jobs/a%2Fb" },
    { kind: "invalid_request", path: "/orders", body: "x", headers: { "content-encoding": "gzip" } },
    { kind: "missing_key", path: "/jobs/1", headers: { authorization: "" } },
    { kind: "missing_key", path: "/jobs/1", headers: { authorization: "Basic YTpi" } },
    { kind: "invalid_key", path: "/jobs/1", headers: { authorization: "Bearer wrong" } },
    { kind: "invalid_key", path: "/open", headers: { authorization: "Bearer wrong" } },
    { kind: "customer_not_allowed", path: "/private" },
    {
        kind: "customer_not_allowed",
        path: "/orders",
        body: {},
        headers: { authorization: "Bearer limited-secret" },
    },
    { kind: "no_backend_server", path: "/jobs/1" },
];

const rawRequests = [
    {
        name: "oversized headers",
        kind: "headers_too_large",
        text: `GET /jobs/1 HTTP/1.1\r\nx-a: ${"y".repeat(9_000)}\r\n\r\n`,
    },
    { name: "slow headers", kind: "slow_sender", text: "GET /jobs/1 HTTP/1.1\r\nhost: a\r\nx-slow: " },
    {
        name: "slow body",
        kind: "slow_sender",
        text: `POST /orders HTTP/1.1\r\nhost: a\r\nx-api-key: ${secret}\r\ncontent-length: 100\r\n\r\n{`,
    },
    {
        name: "dot segments",
        kind: "invalid_request",
        text: `GET /jobs/%2e%2e/orders HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx-api-key: ${secret}\r\n\r\n`,
    },
    {
        name: "unknown method",
        kind: "method_not_allowed",
        text: `PURGE /jobs/1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx-api-key: ${secret}\r\n\r\n`,
    },
    { name: "not HTTP", kind: "invalid_request", text: "hello\r\n\r\n" },
    {
        name: "conflicting lengths",
        kind: "invalid_request",
        text: `POST /orders HTTP/1.1\r\nhost: a\r\nx-api-key: ${secret}\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`,
    },
];

describe("invalid input", () => {
    const bed = createTestBed();

    async function sendRaw(node: TestNode, text: string): Promise<string> {
        const socket = connect(Number(node.handle.callerAddress.split(":")[1]), "127.0.0.1");
        let answer = "";
        socket.on("data", (chunk) => (answer += String(chunk)));
        socket.write(text);
        await once(socket, "close");
        return answer;
    }

    it.each(refusals)("$method $path: $kind", async ({ kind, ...call }) => {
        const node = await bed.startNode({ limits });
        const answer = await callNode(node, call);
        const expected = errorAnswers[kind as ErrorKind];
        expect(answer.error).toMatchObject({ kind, executed: "no" });
        expect(answer.status).toBe(expected.status);
        expect(answer.headers["x-request-id"]).toBe(answer.error?.requestId);
        expect(answer.headers["retry-after"] !== undefined).toBe(expected.retryAfter);
        expect(node.metrics.readValue("request.refused", { kind })).toBe(1);
        expect((await callNode(node, { path: "/healthz" })).status).toBe(200);
    });

    it.each(rawRequests)("$name: $kind", async ({ kind, text }) => {
        const service = await bed.startBackend();
        const node = await bed.startNode({ limits, services: [service] });
        const answer = await sendRaw(node, text);
        expect(answer).toMatch(new RegExp(`^HTTP/1.1 ${errorAnswers[kind as ErrorKind].status} `));
        expect(answer).toContain(`"kind":"${kind}"`);
        expect(answer.toLowerCase()).toContain("x-request-id: ");
        expect(service.requests).toHaveLength(0);
        expect((await callNode(node, { path: "/healthz" })).status).toBe(200);
    });

    it("serves an open route without a key", async () => {
        const service = await bed.startBackend();
        const node = await bed.startNode({ services: [service] });
        expect((await callNode(node, { path: "/open", headers: { authorization: "" } })).status).toBe(200);
    });

    it("reports unready and refuses requests without a configuration", async () => {
        const node = await bed.startNode({ ready: false });
        expect((await callNode(node, { path: "/readyz" })).status).toBe(503);
        expect((await callNode(node, { path: "/jobs/1" })).error?.kind).toBe("not_ready");
    });
});
