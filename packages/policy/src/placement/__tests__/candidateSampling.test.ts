import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { createRandom } from "../../random/random.js";
import { CandidateSampling } from "../candidateSampling.js";
import { defaultPlacementSettings } from "../placementSettings.js";
import type { PlacementServer } from "../serverEstimate.js";
import type { PlacementRequest } from "../serverCost.js";
import type { PlacementNews } from "../serverChoice.js";
import { ServerPlacement } from "../serverPlacement.js";

const serverCount = 60;
const servers: readonly PlacementServer[] = Array.from({ length: serverCount }, (...[, index]) => ({
    id: `server-${String(index)}`,
    dataCentre: "a",
    slots: 64,
    capacityTokens: 232_000,
    isReclaimable: true,
}));

function buildRequest(name: string): PlacementRequest {
    return {
        parts: [{ id: name, tokens: 4_000 }],
        promptTokens: 4_000,
        pauseTargetMs: 1_200,
        excluded: new Set(),
    };
}

describe("CandidateSampling", () => {
    it("compares all servers while nodes know of each other's requests at once", () => {
        const sampling = new CandidateSampling(() => 0);
        Array.from({ length: 300 }, (...[, index]) => sampling.recordRequest(index));
        expect(sampling.computeSampleSize(serverCount, 0, 300)).toBe(serverCount);
    });

    it("compares the fewer servers the more requests start within the delay of the news, but two at least", () => {
        const sampling = new CandidateSampling(() => 0);
        Array.from({ length: 3_000 }, (...[, index]) => sampling.recordRequest(index * 10));
        const size = sampling.computeSampleSize(serverCount, 120, 30_000);
        expect(size).toBeGreaterThanOrEqual(4);
        expect(size).toBeLessThanOrEqual(6);
        expect(sampling.computeSampleSize(serverCount, 60_000, 30_000)).toBe(2);
        expect(sampling.computeSampleSize(serverCount, 120, 60_000)).toBe(serverCount);
    });

    it("samples different servers", () => {
        const sampling = new CandidateSampling(createRandom(3));
        expect(new Set(sampling.chooseSample(servers, 8)).size).toBe(8);
    });
});

describe("ServerPlacement of many nodes", () => {
    /** Lets 200 nodes send 60 requests before they hear of each other; returns the most that a server gets. */
    function measureLargestShare(news: PlacementNews): number {
        const clock = new ManualClock();
        const settings = { ...defaultPlacementSettings, dataCentre: "a" };
        const counts = new Map<string, number>();
        for (let node = 0; node < 200; node += 1) {
            const placement = new ServerPlacement(settings, clock, news);
            placement.updateServers(servers);
            for (let sent = 0; sent < 500; sent += 1) {
                // Earlier requests of all nodes, which ended: this node knows their rate.
                const id = `earlier-${String(sent)}`;
                placement.recordPeerDispatch(
                    {
                        id,
                        serverId: `server-${String(sent % serverCount)}`,
                        tokens: 1,
                        pauseTargetMs: undefined,
                    },
                    [],
                );
                placement.recordPeerEnd(id);
            }
            if (node < serverCount) {
                const chosen = placement.chooseServer(buildRequest(`r-${String(node)}`), servers)!;
                counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
            }
        }
        return Math.max(...counts.values());
    }

    it("herd of many routers on fresh servers: requests that nodes don't know of yet spread over the servers", () => {
        const random = createRandom(7);
        expect(measureLargestShare({ readDelayMs: () => 120, random })).toBeLessThanOrEqual(6);
        expect(measureLargestShare({ readDelayMs: () => 0, random })).toBeGreaterThan(30);
    });

    it("plain service of a few servers before many routers: all get their share", () => {
        const plain = servers.slice(0, 5).map((server) => ({ ...server, capacityTokens: undefined }));
        const random = createRandom(11);
        const clock = new ManualClock();
        const settings = { ...defaultPlacementSettings, dataCentre: "a" };
        const news = { readDelayMs: () => 60_000, random };
        const counts = new Map<string, number>();
        for (let node = 0; node < 500; node += 1) {
            const placement = new ServerPlacement(settings, clock, news);
            placement.updateServers(plain);
            const request = { ...buildRequest("x"), parts: [], promptTokens: 0, pauseTargetMs: undefined };
            placement.recordEnd(placement.recordDispatch("server-0", request), "answered");
            const chosen = placement.chooseServer(request, plain)!;
            counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
        }
        expect(Math.min(...plain.map(({ id }) => counts.get(id) ?? 0))).toBeGreaterThan(60);
    });
});
