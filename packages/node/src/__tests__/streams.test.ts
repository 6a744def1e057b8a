import { connect } from "node:net";
import { once } from "node:events";
import { describe, expect, it } from "vitest";
import { buildChat, callNode, readStreamText } from "./support/callNode.js";
import {
    answerJson,
    formatToken,
    listWords,
    streamWords,
    type Behavior,
    type StreamPlan,
} from "./support/fakeBackend.js";
import { createTestBed } from "./support/testBed.js";
import { secret } from "./support/testNode.js";

const words = listWords(50);
const whole = words.join("");
const answerTimeoutMs = 300;
const call = { path: "/v1/chat/completions", body: buildChat({ stream: true }) };

const hangMidStream: Behavior = ({ response, attemptId: wireId }) => {
    response.writeHead(200, { "x-request-id": wireId, "content-type": "text/event-stream" });
    response.write(
        words
            .slice(0, 9)
            .map((word) => formatToken(word))
            .join(""),
    );
};

const brokenStreams: { name: string; behavior: Behavior }[] = [
    { name: "cut before the first token", behavior: streamWords({ words, closeAfterWords: 0 }) },
    { name: "cut in mid-event", behavior: streamWords({ words, closeAfterWords: 20 }) },
    { name: "hang", behavior: hangMidStream },
    { name: "no terminator", behavior: streamWords({ words, terminator: "" }) },
    { name: "no finish reason", behavior: streamWords({ words, finishEvent: ": none\n\n" }) },
    { name: "broken event", behavior: streamWords({ words, finishEvent: "data: {half\n\n" }) },
    { name: "error event", behavior: streamWords({ words, finishEvent: 'data: {"error":{}}\n\n' }) },
    {
        name: "output after the terminator",
        behavior: streamWords({ words, terminator: `data: [DONE]\n\n${formatToken("x")}` }),
    },
];

describe("streams", () => {
    const bed = createTestBed();

    it("goes to another engine when one has not loaded the model", async () => {
        const bare = await bed.startBackend(
            answerJson({ message: "not loaded" }, 404, { "x-executed": "no" }),
        );
        const good = await bed.startBackend(streamWords({ words }));
        const node = await bed.startNode({ engines: [bare, good] });
        expect(readStreamText((await callNode(node, call)).text)).toBe(whole);
        expect(node.metrics.readValue("tokens.served", { class: "standard" })).toBe(words.length);
        expect(node.metrics.readValue("request.retried", { reason: "rejected" })).toBe(1);
    });

    it.each(brokenStreams)(
        "$name: another engine continues without a lost or doubled token",
        async (fault) => {
            const broken = await bed.startBackend(fault.behavior);
            const good = await bed.startBackend(streamWords({ words }));
            const node = await bed.startNode({ engines: [broken, good], answerTimeoutMs });
            const answer = await callNode(node, call);
            expect(readStreamText(answer.text)).toBe(whole);
            expect(answer.text.match(/\[DONE\]/g)).toHaveLength(1);
            const resume = (JSON.parse(good.requests[0]?.body ?? "") as { resume?: { text: string } }).resume;
            expect(whole.startsWith(resume?.text ?? "")).toBe(true);
            expect(good.received).not.toContain(secret);
            expect(node.usage.reduce((sum, amount) => sum + amount.completionTokens, 0)).toBe(words.length);
            expect(node.usage.reduce((sum, amount) => sum + amount.requests, 0)).toBe(1);
        },
    );

    it.each(brokenStreams.slice(1))("$name: an explicit error when it can't continue", async (fault) => {
        const broken = await bed.startBackend(fault.behavior);
        const good = await bed.startBackend(streamWords({ words }));
        const node = await bed.startNode({ engines: [broken, good], answerTimeoutMs });
        const answer = await callNode(node, { ...call, body: buildChat({ stream: true, n: 2 }) });
        expect(answer.text).toMatch(/event: error\ndata: \{"error":\{"kind":"stream_interrupted".*\n\n$/);
        expect(answer.text).not.toContain("[DONE]");
        const wasted = node.metrics.readValue("tokens.wasted", { reason: "stream_interrupted" });
        expect(wasted).toBe(readStreamText(answer.text.split("event: error")[0] ?? "").match(/ w/g)?.length);
        expect(good.requests).toHaveLength(0);
    });

    it("cancels the engine's work when the caller leaves", async () => {
        const engine = await bed.startBackend(hangMidStream);
        const node = await bed.startNode({ engines: [engine], answerTimeoutMs: 600_000 });
        const controller = new AbortController();
        const closed = engine.waitForClose();
        const gone = callNode(node, { ...call, signal: controller.signal }).catch(() => "gone");
        await expect.poll(() => node.handle.listPoolStatuses().get("engines")?.running).toBe(1);
        controller.abort();
        await closed;
        expect(await gone).toBe("gone");
        await expect.poll(() => node.handle.countRequests()).toBe(0);
        expect(node.handle.listPoolStatuses().get("engines")?.running).toBe(0);
    });

    it("reads no faster than the caller and gives up a caller that takes nothing", async () => {
        const offered = 64;
        const large = Array.from({ length: offered }, () => "x".repeat(1_048_576));
        let taken = 0;
        const plan: StreamPlan = { words: large, pause: (index) => waitForDrain(index) };
        let engineResponse: {
            writableNeedDrain: boolean;
            once(event: "drain", listener: () => void): unknown;
        };
        const waitForDrain = async (index: number): Promise<void> => {
            taken = index + 1;
            if (engineResponse.writableNeedDrain) {
                await new Promise<void>((resolve) => engineResponse.once("drain", resolve));
            }
        };
        const engine = await bed.startBackend((request, count) => {
            engineResponse = request.response;
            streamWords(plan)(request, count);
        });
        const node = await bed.startNode({ engines: [engine], limits: { stalledCallerMs: 500 } });
        const closed = engine.waitForClose();
        const port = Number(node.handle.callerAddress.split(":")[1]);
        const socket = connect(port, "127.0.0.1").pause();
        await once(socket, "connect");
        const body = JSON.stringify(call.body);
        socket.write(
            `POST ${call.path} HTTP/1.1\r\nhost: a\r\nx-api-key: ${secret}\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
        );
        await closed;
        expect(taken).toBeLessThan(offered / 2);
        socket.destroy();
    });

    it("ends a running stream, a waiting request and a kept connection of a withdrawn key", async () => {
        const engine = await bed.startBackend(hangMidStream);
        const node = await bed.startNode({ engines: [engine], slots: 1, answerTimeoutMs: 600_000 });
        const closed = engine.waitForClose();
        const running = callNode(node, call);
        await expect.poll(() => node.handle.listPoolStatuses().get("engines")?.running).toBe(1);
        const waiting = callNode(node, call);
        await expect.poll(() => node.handle.listPoolStatuses().get("engines")?.waiting).toBe(1);
        node.keys.withdraw("key-1");
        expect((await running).text).toMatch(/event: error\ndata: \{"error":\{"kind":"key_withdrawn"/);
        expect((await waiting).error).toMatchObject({ kind: "key_withdrawn", executed: "no" });
        await closed;
        expect((await callNode(node, call)).error?.kind).toBe("key_withdrawn");
        expect(engine.requests).toHaveLength(1);
    });
});
