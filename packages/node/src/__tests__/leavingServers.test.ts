import { describe, expect, it } from "vitest";
import type { ListedHost } from "@pimentocleat/services";
import { TieredScheduler } from "@pimentocleat/policy";
import { SystemClock } from "@pimentocleat/types";
import { buildChat, callNode, readStreamText } from "./support/callNode.js";
import { listWords, streamWords } from "./support/fakeBackend.js";
import { createTestBed } from "./support/testBed.js";
import type { TestNode } from "./support/testNode.js";

const words = listWords(40);
const cases = [
    { name: "a stream that can continue is moved", fields: {}, moved: true },
    { name: "a stream that can't continue is finished where it is", fields: { n: 2 }, moved: false },
];

describe("leaving backend servers", () => {
    const bed = createTestBed();

    function countRunning(node: TestNode): number | undefined {
        return node.handle.listPoolStatuses().get("engines")?.running;
    }

    it.each(cases)("$name, whole, and every slot is freed", async ({ fields, moved }) => {
        let release = (): void => {};
        const released = new Promise<void>((resolve) => (release = resolve));
        const held = streamWords({ words, pause: async (index) => (index === 9 ? released : undefined) });
        const engines = [await bed.startBackend(held), await bed.startBackend(held)];
        const hosts: ListedHost[] = [];
        const clock = new SystemClock();
        const node = await bed.startNode({
            engines,
            answerTimeoutMs: 600_000,
            limits: { hostPollMs: 10 },
            hosts: { listHosts: async () => hosts },
            createScheduler: (configuration) =>
                new TieredScheduler({ configuration, clock, node: "entry-1" }),
        });
        const body = buildChat({ stream: true, ...fields });
        const answer = callNode(node, { path: "/v1/chat/completions", body });
        await expect.poll(() => engines.flatMap((engine) => engine.requests).length).toBe(1);
        const left = engines.find((engine) => engine.requests.length === 1)!;
        const other = engines.find((engine) => engine !== left)!;
        other.behavior = streamWords({ words });
        const cut = left.waitForClose();
        const { address } = left;
        const leavesAtMs = Date.now() + 5_000;
        hosts.push({
            name: "a",
            dataCentre: "palermo",
            address,
            role: "backend",
            state: "leaving",
            leavesAtMs,
        });
        if (moved) {
            await cut;
        } else {
            await expect.poll(() => countServers(node, "leaving")).toBe(1);
        }
        release();
        const { text } = await answer;
        expect(readStreamText(text)).toBe(words.join(""));
        expect(text.match(/\[DONE\]/g)).toHaveLength(1);
        expect(other.requests).toHaveLength(Number(moved));
        await expect.poll(() => countRunning(node)).toBe(0);
        const statuses = node.handle.listPoolStatuses().get("engines");
        expect(statuses?.servers.map((server) => server.running)).toEqual([0, 0]);
    });

    function countServers(node: TestNode, state: string): number | undefined {
        const servers = node.handle.listPoolStatuses().get("engines")?.servers;
        return servers?.filter((server) => server.state === state).length;
    }
});
