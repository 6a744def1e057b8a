import { describe, expect, it } from "vitest";
import { buildChat, callNode } from "./support/callNode.js";
import { answerJson, type ReceivedRequest } from "./support/fakeBackend.js";
import { createTestBed } from "./support/testBed.js";

const chat = { path: "/v1/chat/completions", body: buildChat() };
const usage = { prompt_tokens: 7, completion_tokens: 500 };

describe("limits of customers", () => {
    const bed = createTestBed();

    it.each([
        { name: "requests", limits: { requestsPerSecond: 0.01 }, kind: "request_rate_limited" },
        { name: "tokens", limits: { tokensPerMinute: 6 }, kind: "token_rate_limited" },
    ])("refuses requests over the limit of $name and names a retry delay", async ({ limits, kind }) => {
        const engine = await bed.startBackend(answerJson({ choices: [], usage }));
        const node = await bed.startNode({ engines: [engine], customerLimits: limits });
        const answers = [await callNode(node, chat), await callNode(node, chat), await callNode(node, chat)];
        // One request may overdraw a bucket; later requests wait until it has refilled.
        const refused = answers.at(-1);
        expect(answers[0]?.status).toBe(200);
        expect(refused?.error).toMatchObject({ kind, executed: "no" });
        expect(Number(refused?.headers["retry-after"])).toBeGreaterThan(1);
        const served = answers.filter((answer) => answer.status === 200);
        expect(engine.requests).toHaveLength(served.length);
        const headers = { authorization: "Bearer limited-secret" };
        expect((await callNode(node, { ...chat, headers })).status).toBe(200);
    });

    it("counts requests in flight, including those of other nodes, until they end", async () => {
        const unanswered: ReceivedRequest[] = [];
        const engine = await bed.startBackend((request) => unanswered.push(request));
        const options = { engines: [engine], customerLimits: { concurrency: 1 } };
        const [first, second] = [await bed.startNode(options), await bed.startNode(options)];
        const running = callNode(first, chat);
        await expect.poll(() => unanswered.length).toBe(1);
        expect((await callNode(first, chat)).error?.kind).toBe("concurrency_limited");
        second.handle.recordPeerLimits({ ...first.handle.summarizeLimits(), node: "entry-2" });
        expect((await callNode(second, chat)).error?.kind).toBe("concurrency_limited");
        answerJson({ choices: [], usage })(unanswered[0]!, 1);
        expect((await running).status).toBe(200);
        engine.behavior = answerJson({ choices: [], usage });
        expect((await callNode(first, chat)).status).toBe(200);
        second.handle.recordPeerLimits({ ...first.handle.summarizeLimits(), node: "entry-2" });
        expect((await callNode(second, chat)).status).toBe(200);
    });
});
