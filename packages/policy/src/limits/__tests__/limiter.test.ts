import type { Limits } from "@pimentocleat/schema";
import { ErrorKind, ManualClock } from "@pimentocleat/types";
import { describe, expect, test } from "vitest";
import { Limiter } from "../limiter.js";

const nodeCount = 9;
const customer = "customer/press";

function buildNodes(clock: ManualClock, limits: Limits, count = nodeCount): Limiter[] {
    return Array.from(Array(count).keys(), (index) => {
        const limiter = new Limiter(clock, `node-${index + 1}`);
        limiter.updateLimits(new Map([[customer, limits]]));
        return limiter;
    });
}

function exchange(nodes: readonly Limiter[]): void {
    const summaries = nodes.map((node) => ({ node, summary: node.summarizeUsage() }));
    for (const receiver of nodes) {
        for (const { node, summary } of summaries) {
            if (node !== receiver) {
                receiver.recordPeerSummary(summary);
            }
        }
    }
}

describe("Limiter", () => {
    test.each([
        { name: "all nodes", choose: (index: number): number => index % nodeCount },
        { name: "one node", choose: (): number => 0 },
    ])("enforces a request rate over 9 nodes with the load on $name", ({ choose }) => {
        const clock = new ManualClock();
        const nodes = buildNodes(clock, { requestsPerSecond: 20 });
        exchange(nodes);
        let admitted = 0;
        for (let index = 0; index < 10_000; index += 1) {
            clock.advance(2);
            if (index % 100 === 0) {
                exchange(nodes);
            }
            admitted += nodes[choose(index)]?.acquire([customer]) === undefined ? 1 : 0;
        }
        // 20 s at 20 requests per second, a burst of 1 s, and n - 1 for requests that are not announced yet.
        expect(admitted).toBeLessThanOrEqual(20 * 20 + 20 + nodeCount - 1);
        expect(admitted).toBeGreaterThanOrEqual(20 * 20 * 0.9);
    });

    test("exceeds a concurrency limit by at most n - 1 requests", () => {
        const clock = new ManualClock();
        const nodes = buildNodes(clock, { concurrency: 30 });
        exchange(nodes);
        let admitted = 0;
        for (let round = 0; round < 20; round += 1) {
            for (let index = 0; index < 200; index += 1) {
                admitted += nodes[index % nodeCount]?.acquire([customer]) === undefined ? 1 : 0;
            }
            exchange(nodes);
        }
        expect(admitted).toBeGreaterThanOrEqual(30);
        expect(admitted).toBeLessThanOrEqual(30 + nodeCount - 1);
    });

    test("exceeds a concurrency limit by more when nodes exchange no summaries", () => {
        const nodes = buildNodes(new ManualClock(), { concurrency: 30 });
        const admitted = nodes.flatMap((node) =>
            Array.from(Array(30).keys(), () => node.acquire([customer])).filter(
                (refusal) => refusal === undefined,
            ),
        );
        expect(admitted.length).toBeGreaterThan(30 + nodeCount - 1);
    });

    test.each([
        { limits: { requestsPerSecond: 1 }, kind: ErrorKind.RequestRateLimited },
        { limits: { tokensPerMinute: 60 }, kind: ErrorKind.TokenRateLimited },
        { limits: { concurrency: 1 }, kind: ErrorKind.ConcurrencyLimited },
    ])("refuses with $kind and a retry delay", ({ limits, kind }) => {
        const clock = new ManualClock();
        const [node] = buildNodes(clock, limits, 1);
        expect(node?.acquire([customer])).toBeUndefined();
        node?.recordTokens([customer], 30);
        const refusal = node?.acquire([customer]);
        expect(refusal?.kind).toBe(kind);
        node?.recordEnd([customer]);
        clock.advance(refusal?.retryAfterMs ?? 0);
        expect(node?.acquire([customer])).toBeUndefined();
    });
});
