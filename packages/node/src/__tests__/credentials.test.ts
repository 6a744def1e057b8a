import { describe, expect, it } from "vitest";
import { request } from "undici";
import { buildChat } from "./support/callNode.js";
import { answerJson, listWords, streamWords, type Behavior } from "./support/fakeBackend.js";
import { closeBeforeHeaders } from "./support/faults.js";
import { createTestBed } from "./support/testBed.js";
import { poolCredential, secret, type TestNode } from "./support/testNode.js";

const bearer = { authorization: `Bearer ${secret}` };
const encoded = [...secret].map((letter) => `%${letter.charCodeAt(0).toString(16)}`).join("");

/** Every place in which a caller may put its key. */
const keyPlacements: { name: string; path?: string; headers?: Record<string, string> }[] = [
    { name: "authorization", headers: bearer },
    { name: "authorization in lower case", headers: { authorization: `bearer ${secret}` } },
    { name: "x-api-key", headers: { "x-api-key": secret } },
    { name: "X-API-KEY", headers: { "X-API-KEY": secret } },
    ...["api-key", "apikey", "x-goog-api-key", "proxy-authorization", "x-auth-token"].map((name) => ({
        name,
        headers: { ...bearer, [name]: secret },
    })),
    ...["cookie", "user-agent", "referer", "accept", "idempotency-key", "traceparent"].map((name) => ({
        name,
        headers: { ...bearer, [name]: `a=1; key=${secret}` },
    })),
    ...["api_key", "key", "access_token", "API-Key", "apikey", "token", "innocent", "%6bey"].map((name) => ({
        name: `query ${name}`,
        path: `?page=2&${name}=${secret}`,
        headers: bearer,
    })),
    { name: "percent-encoded query", path: `?page=2&innocent=${encoded}`, headers: bearer },
    { name: "other key in the query", path: `?page=2&api_key=${secret}`, headers: { "x-api-key": secret } },
];

/** Echoes everything that it got, as some servers do in errors and traces. */
const echoEverything: Behavior = (received, count) => {
    const { headers, url } = received.message;
    const echoed = {
        "x-echo": JSON.stringify(headers),
        "set-cookie": `seen=${url}`,
        "x-authorization": String(headers.authorization),
    };
    answerJson({ url }, 200, echoed)(received, count);
};

function expectNoKey(received: string): void {
    const lower = received.toLowerCase();
    for (const form of [secret, encoded, Buffer.from(secret).toString("base64")]) {
        expect(lower).not.toContain(form.toLowerCase());
    }
}

describe("a caller's key", () => {
    const bed = createTestBed();

    async function call(
        node: TestNode,
        path: string,
        headers: Record<string, string>,
        body?: string,
    ): Promise<string> {
        const method = body === undefined ? "GET" : "POST";
        const answer = await request(`${node.url}${path}`, { method, headers, body });
        return JSON.stringify(answer.headers) + (await answer.body.text());
    }

    it.each(keyPlacements)("$name: never reaches a backend server", async ({ path = "", headers = {} }) => {
        const service = await bed.startBackend(echoEverything);
        const node = await bed.startNode({ services: [service] });
        const answer = await call(node, `/jobs/1${path}`, headers);
        expect(service.requests).toHaveLength(1);
        expect(service.requests[0]?.message.headers.authorization).toBe(`Bearer ${poolCredential}`);
        expectNoKey(service.received);
        expectNoKey(answer);
        expect(answer).not.toContain(poolCredential);
        expect(service.requests[0]?.message.url).toBe(path === "" ? "/jobs/1" : "/jobs/1?page=2");
    });

    it("never reaches a backend server in a path or a body", async () => {
        const backend = await bed.startBackend();
        const node = await bed.startNode({ services: [backend], engines: [backend] });
        const answers = await Promise.all([
            call(node, `/jobs/${secret}`, bearer),
            call(node, `/jobs/${encoded}`, bearer),
            call(node, "/orders", bearer, `key=${secret}`),
            call(node, "/v1/chat/completions", bearer, JSON.stringify(buildChat({ api_key: secret }))),
            call(node, "/jobs/1", { ...bearer, "x-api-key": "another-secret" }),
        ]);
        answers.forEach((answer) => expect(answer).toMatch(/"kind":"(invalid_request|invalid_key)"/));
        expect(backend.requests).toHaveLength(0);
        expectNoKey(backend.received);
    });

    it("never reaches a backend server in retries and resumed streams", async () => {
        const words = listWords(20);
        const faults: Behavior[] = [closeBeforeHeaders, streamWords({ words, closeAfterWords: 9 })];
        const engines = await Promise.all(
            [...faults, streamWords({ words })].map((behavior) => bed.startBackend(behavior)),
        );
        const node = await bed.startNode({ engines });
        const body = JSON.stringify(buildChat({ stream: true }));
        const answer = await call(
            node,
            "/v1/chat/completions",
            { "x-api-key": secret, cookie: `k=${secret}` },
            body,
        );
        expect(answer).toContain("[DONE]");
        engines.forEach((engine) => {
            expect(engine.requests).toHaveLength(1);
            expectNoKey(engine.received);
        });
    });
});
