import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { defaultPlacementSettings } from "../placementSettings.js";
import type { PlacementServer } from "../serverEstimate.js";
import type { PlacementRequest } from "../serverCost.js";
import { ServerPlacement } from "../serverPlacement.js";
import { StreamIsolation } from "../streamIsolation.js";

const shortPauseMs = 300;
const longPauseMs = 1_200;

function buildServers(count: number, reclaimableFrom = count): PlacementServer[] {
    return Array.from({ length: count }, (...[, index]) => ({
        id: `server-${String(index)}`,
        dataCentre: "a",
        slots: 64,
        capacityTokens: 232_000,
        isReclaimable: index >= reclaimableFrom,
    }));
}

function buildRequest(name: string, tokens: number, pauseTargetMs: number): PlacementRequest {
    return { parts: [{ id: name, tokens }], promptTokens: tokens, pauseTargetMs, excluded: new Set() };
}

describe("StreamIsolation", () => {
    it("isolates as many servers as the sensitive streams need, up to a third", () => {
        const isolation = new StreamIsolation();
        const servers = buildServers(30);
        expect(isolation.selectServers(servers, 0).size).toBe(2);
        expect(isolation.selectServers(servers, 100).size).toBe(4);
        expect(isolation.selectServers(servers, 2_000).size).toBe(10);
        expect(isolation.selectServers(buildServers(2), 100).size).toBe(0);
    });

    it("isolates servers that may not be reclaimed first, and the same ones on all nodes", () => {
        const servers = buildServers(12, 3);
        const chosen = new StreamIsolation().selectServers(servers, 0);
        expect([...chosen].every((id) => ["server-0", "server-1", "server-2"].includes(id))).toBe(true);
        const reversed = [...servers].reverse();
        expect(new StreamIsolation().selectServers(reversed, 0)).toEqual(chosen);
    });

    it("forgets the shortest pause target when no request had it for a while", () => {
        const isolation = new StreamIsolation();
        isolation.recordPauseTarget(shortPauseMs, 0);
        isolation.recordPauseTarget(longPauseMs, 20_000);
        expect(isolation.readSensitivePauseMs(20_000)).toBeLessThan(longPauseMs);
        expect(isolation.readSensitivePauseMs(31_000)).toBeGreaterThanOrEqual(longPauseMs);
    });
});

describe("ServerPlacement with streams of short pauses", () => {
    function createNodes(servers: readonly PlacementServer[], count: number) {
        const clock = new ManualClock();
        const settings = { ...defaultPlacementSettings, dataCentre: "a" };
        const nodes = Array.from({ length: count }, () => {
            const placement = new ServerPlacement(settings, clock);
            placement.updateServers(servers);
            return placement;
        });
        let sequence = 0;
        /** Places a request on one node and tells the others, as datagrams do. */
        const place = (request: PlacementRequest) => {
            sequence += 1;
            const id = `peer-${String(sequence)}`;
            const node = nodes[sequence % count]!;
            const others = nodes.filter((other) => other !== node);
            const serverId = node.chooseServer(request, servers)!;
            const placement = node.recordDispatch(serverId, request);
            const { uncachedTokens: tokens } = placement;
            const { pauseTargetMs } = request;
            others.forEach((other) => other.recordPeerDispatch({ id, serverId, tokens, pauseTargetMs }, []));
            const finishPrefill = (): void => {
                node.recordFirstEvent(placement);
                others.forEach((other) => other.recordPeerFirstEvent(id));
            };
            return { serverId, finishPrefill };
        };
        return { place };
    }

    it("long prompts beside streams with short pauses: no server gets both", () => {
        const { place } = createNodes(buildServers(9), 7);
        const streams = new Set<string>();
        const prompts = new Set<string>();
        for (let index = 0; index < 40; index += 1) {
            const stream = place(buildRequest(`short-${String(index)}`, 650, shortPauseMs));
            stream.finishPrefill();
            streams.add(stream.serverId);
            if (index % 4 === 0) {
                const prompt = place(buildRequest(`long-${String(index)}`, 9_000, longPauseMs));
                prompt.finishPrefill();
                prompts.add(prompt.serverId);
            }
        }
        expect([...streams].filter((id) => prompts.has(id))).toEqual([]);
    });

    it("two bursts of long prompts in a row: short urgent streams between them keep their servers", () => {
        const { place } = createNodes(buildServers(9), 7);
        const placeBurst = (name: string) =>
            Array.from({ length: 6 }, (...[, index]) =>
                place(buildRequest(`${name}-${String(index)}`, 9_000, longPauseMs)),
            );
        place(buildRequest("first", 650, shortPauseMs)).finishPrefill();
        const first = placeBurst("a");
        const streams = Array.from({ length: 12 }, (...[, index]) =>
            place(buildRequest(`s-${String(index)}`, 650, shortPauseMs)),
        );
        [...first, ...streams].forEach(({ finishPrefill }) => finishPrefill());
        const second = placeBurst("b");
        const streamServers = new Set(streams.map(({ serverId }) => serverId));
        const disturbing = [...first, ...second].filter(({ serverId }) => streamServers.has(serverId));
        expect(disturbing).toEqual([]);
    });
});
