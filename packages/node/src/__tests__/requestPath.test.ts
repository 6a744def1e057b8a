import { describe, expect, it } from "vitest";
import { buildChat, callNode, readStreamText } from "./support/callNode.js";
import { answerJson, listWords, streamWords } from "./support/fakeBackend.js";
import { createTestBed } from "./support/testBed.js";

describe("request path", () => {
    const bed = createTestBed();

    it("relays a whole answer with the request's identifier and counts its tokens", async () => {
        const engine = await bed.startBackend();
        const body = { choices: [], usage: { prompt_tokens: 7, completion_tokens: 5 } };
        engine.behavior = answerJson(body);
        const node = await bed.startNode({ engines: [engine] });
        const answer = await callNode(node, { path: "/v1/chat/completions", body: buildChat() });
        expect(answer.status).toBe(200);
        expect(JSON.parse(answer.text)).toEqual(body);
        expect(answer.headers["x-request-id"]).toBe(engine.requests[0]?.attemptId);
        expect(node.usage).toEqual([
            { customer: "volantino", requests: 1, promptTokens: 7, completionTokens: 5 },
        ]);
    });

    it("relays a stream to its finish reason and terminator", async () => {
        const engine = await bed.startBackend();
        engine.behavior = streamWords({ words: listWords(100) });
        const node = await bed.startNode({ engines: [engine] });
        const answer = await callNode(node, {
            path: "/v1/chat/completions",
            body: buildChat({ stream: true }),
        });
        expect(answer.status).toBe(200);
        expect(readStreamText(answer.text)).toBe(listWords(100).join(""));
        expect(answer.text.endsWith("data: [DONE]\n\n")).toBe(true);
        expect(node.usage.reduce((sum, amount) => sum + amount.completionTokens, 0)).toBe(100);
    });

    it("serves plain routes, models, health and readiness", async () => {
        const service = await bed.startBackend();
        service.behavior = answerJson({ job: 3 }, 200, { etag: '"v1"', "set-cookie": "a=b" });
        const node = await bed.startNode({ services: [service] });
        const job = await callNode(node, { path: "/jobs/3?detail=full" });
        expect(job.text).toBe('{"job":3}');
        expect(job.headers["etag"]).toBe('"v1"');
        expect(job.headers["set-cookie"]).toBeUndefined();
        expect(service.requests[0]?.message.url).toBe("/jobs/3?detail=full");
        const models = await callNode(node, { path: "/v1/models" });
        expect(JSON.parse(models.text).data[0].id).toBe("copy-1");
        expect((await callNode(node, { path: "/healthz" })).status).toBe(200);
        expect((await callNode(node, { path: "/readyz" })).status).toBe(200);
    });

    it("explains a request by its identifier", async () => {
        const service = await bed.startBackend();
        const node = await bed.startNode({ services: [service] });
        const answer = await callNode(node, { path: "/jobs/3" });
        const trace = node.handle.findTrace(String(answer.headers["x-request-id"]));
        expect(trace?.steps.map((step) => step.step)).toEqual(["queued", "started", "finished"]);
    });
});
