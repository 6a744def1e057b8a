import { once } from "node:events";
import { connect } from "node:net";
import { describe, expect, it } from "vitest";
import { buildChat, callNode, readStreamText } from "./support/callNode.js";
import { answerJson, listWords, streamWords, type ReceivedRequest } from "./support/fakeBackend.js";
import { createTestBed } from "./support/testBed.js";
import { secret } from "./support/testNode.js";

describe("graceful stop", () => {
    const bed = createTestBed();

    it("reports unready, keeps serving, and finishes every request and stream", async () => {
        const words = listWords(20);
        let release = (): void => {};
        const released = new Promise<void>((resolve) => (release = resolve));
        const engine = await bed.startBackend(
            streamWords({ words, pause: async (index) => (index === 5 ? released : undefined) }),
        );
        const unanswered: ReceivedRequest[] = [];
        const service = await bed.startBackend((request) => unanswered.push(request));
        const node = await bed.startNode({
            engines: [engine],
            services: [service],
            limits: { drainDelayMs: 300, keepAliveMs: 60_000 },
        });
        const stream = callNode(node, { path: "/v1/chat/completions", body: buildChat({ stream: true }) });
        const order = callNode(node, { path: "/orders", body: {} });
        await expect.poll(() => node.handle.countRequests()).toBe(2);

        let stopped = false;
        const stop = node.handle.stop().then(() => (stopped = true));
        expect((await callNode(node, { path: "/readyz" })).status).toBe(503);
        const late = callNode(node, { path: "/jobs/1" });
        await expect.poll(() => unanswered.length).toBe(2);
        await expect.poll(() => callNode(node, { path: "/healthz" }).catch(() => "refused")).toBe("refused");
        expect(stopped).toBe(false);

        unanswered.forEach((request) => answerJson({ ok: true })(request, 1));
        release();
        expect((await order).status).toBe(200);
        expect((await late).headers["connection"]).toBe("close");
        const text = (await stream).text;
        expect(readStreamText(text)).toBe(words.join(""));
        expect(text).toContain("[DONE]");
        await stop;
        expect(stopped).toBe(true);
    });

    it("does not truncate a response that its caller reads slowly", async () => {
        const body = JSON.stringify("x".repeat(16_777_216));
        const service = await bed.startBackend(answerJson("x".repeat(16_777_216)));
        const node = await bed.startNode({ services: [service], limits: { drainDelayMs: 0 } });
        const socket = connect(Number(node.handle.callerAddress.split(":")[1]), "127.0.0.1").pause();
        socket.write(`GET /jobs/1 HTTP/1.1\r\nhost: a\r\nx-api-key: ${secret}\r\n\r\n`);
        await expect
            .poll(() => node.metrics.readValue("request.finished", { class: "standard", status: "200" }))
            .toBe(1);
        const stop = node.handle.stop();
        let received = 0;
        socket.on("data", (chunk) => (received += chunk.length));
        await once(socket.resume(), "close");
        await stop;
        expect(received).toBeGreaterThan(body.length);
    });

    it("is not blocked by a caller that reads nothing", async () => {
        const service = await bed.startBackend(answerJson("x".repeat(16_777_216)));
        const limits = { drainDelayMs: 0, stalledCallerMs: 300 };
        const node = await bed.startNode({ services: [service], limits });
        const socket = connect(Number(node.handle.callerAddress.split(":")[1]), "127.0.0.1").pause();
        socket.write(`GET /jobs/1 HTTP/1.1\r\nhost: a\r\nx-api-key: ${secret}\r\n\r\n`);
        const finished = { class: "standard", status: "200" };
        await expect.poll(() => node.metrics.readValue("request.finished", finished)).toBe(1);
        await node.handle.stop();
        expect(node.handle.countRequests()).toBe(0);
        socket.destroy();
    });

    it("interrupts no request under load behind a load balancer that respects readiness", async () => {
        const callers = 24;
        const words = listWords(200);
        const pause = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));
        const engine = await bed.startBackend(streamWords({ words, pause }));
        const service = await bed.startBackend(answerJson({ ok: true }));
        const options = { engines: [engine], services: [service], slots: 1_000 };
        const node = await bed.startNode({ ...options, limits: { drainDelayMs: 500 } });
        let inService = true;
        const runBalancer = async (): Promise<void> => {
            while (inService) {
                inService = (await callNode(node, { path: "/readyz" })).status === 200;
            }
        };
        let completed = 0;
        const incomplete: string[] = [];
        const stream = { path: "/v1/chat/completions", body: buildChat({ stream: true }) };
        const runCaller = async (index: number): Promise<void> => {
            const streamed = index % 2 === 0;
            while (inService) {
                const call = streamed ? stream : { path: "/orders", body: { index } };
                const text = await callNode(node, call).then((answer) => answer.text, String);
                if (text === '{"ok":true}' || (streamed && readStreamText(text) === words.join(""))) {
                    completed += 1;
                } else {
                    incomplete.push(text);
                }
            }
        };
        const running = Array.from({ length: callers }, (...[, index]) => runCaller(index));
        const balancer = runBalancer();
        await expect.poll(() => completed).toBeGreaterThan(callers);
        await node.handle.stop();
        await Promise.all([...running, balancer]);
        expect(incomplete).toEqual([]);
        expect(node.handle.countRequests()).toBe(0);
    });
});
