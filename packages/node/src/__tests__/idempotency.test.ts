import { describe, expect, it } from "vitest";
import { callNode } from "./support/callNode.js";
import { answerJson, type ReceivedRequest } from "./support/fakeBackend.js";
import { createTestBed } from "./support/testBed.js";
import { FakeClaims, secret } from "./support/testNode.js";

const order = { path: "/orders", body: { leaflets: 5_000 }, headers: { "idempotency-key": "order-1" } };

describe("non-repeatable requests", () => {
    const bed = createTestBed();

    it("replays the stored response, also through another node", async () => {
        const service = await bed.startBackend(answerJson({ order: 17 }, 201));
        const claims = new FakeClaims();
        const first = await bed.startNode({ services: [service], claims });
        const second = await bed.startNode({ services: [service], claims });
        expect((await callNode(first, order)).headers["idempotent-replayed"]).toBeUndefined();
        const repeat = await callNode(second, order);
        expect([repeat.status, repeat.text]).toEqual([201, '{"order":17}']);
        expect(repeat.headers["idempotent-replayed"]).toBe("true");
        expect(service.requests).toHaveLength(1);
    });

    it("refuses a repetition while the first request runs, and a repetition with another body", async () => {
        const received: ReceivedRequest[] = [];
        const service = await bed.startBackend((request) => received.push(request));
        const node = await bed.startNode({ services: [service] });
        const first = callNode(node, order);
        await expect.poll(() => received.length).toBe(1);
        const repeat = await callNode(node, order);
        expect(repeat.error?.kind).toBe("idempotency_in_progress");
        expect(repeat.headers["retry-after"]).toBe("1");
        const other = await callNode(node, { ...order, body: { leaflets: 1 } });
        expect(other.error?.kind).toBe("idempotency_conflict");
        answerJson({ order: 17 })(received[0]!, 1);
        expect((await first).status).toBe(200);
        expect(service.requests).toHaveLength(1);
    });

    it("sends nothing when the claim can't be recorded", async () => {
        const service = await bed.startBackend();
        const node = await bed.startNode({ services: [service] });
        node.claims.available = false;
        const answer = await callNode(node, order);
        expect(answer.error).toMatchObject({ kind: "claim_unavailable", executed: "no" });
        expect(answer.headers["retry-after"]).toBe("2");
        expect(service.requests).toHaveLength(0);
    });

    it("finishes and records a request whose caller disconnected or whose key was withdrawn", async () => {
        const received: ReceivedRequest[] = [];
        const service = await bed.startBackend((request) => received.push(request));
        const node = await bed.startNode({ services: [service] });
        const controller = new AbortController();
        const disconnected = callNode(node, { ...order, signal: controller.signal }).catch(() => "gone");
        const withdrawn = callNode(node, { ...order, headers: { "idempotency-key": "order-2" } });
        await expect.poll(() => received.length).toBe(2);
        controller.abort();
        node.keys.withdraw("key-1");
        expect((await withdrawn).error).toMatchObject({ kind: "key_withdrawn", executed: "unknown" });
        expect(await disconnected).toBe("gone");
        received.forEach((request) => answerJson({ order: 17 })(request, 1));
        await expect.poll(() => node.claims.outcomes.length).toBe(2);
        expect(node.claims.outcomes.map((outcome) => outcome.type)).toEqual(["answered", "answered"]);
        expect(service.received).not.toContain(secret);
    });
});
