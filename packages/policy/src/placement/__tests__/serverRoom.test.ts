import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { defaultPlacementSettings } from "../placementSettings.js";
import type { PlacementServer } from "../serverEstimate.js";
import type { PlacementRequest } from "../serverCost.js";
import { ServerPlacement } from "../serverPlacement.js";

const capacityTokens = 580_722;
const longTokens = 17_020;
/** Long requests that fit into the memory of an engine, fewer than its slots. */
const fitting = Math.floor(capacityTokens / longTokens);

function buildEngines(count: number): PlacementServer[] {
    return Array.from({ length: count }, (...[, index]) => ({
        id: `server-${String(index)}`,
        dataCentre: "a",
        slots: 64,
        capacityTokens,
        isReclaimable: false,
    }));
}

let prompts = 0;

/** Builds a request whose last part no other request has. */
function buildRequest(own: number, shared = 0): PlacementRequest {
    prompts += 1;
    const last = { id: `own-${String(prompts)}`, tokens: own };
    const parts = [...(shared > 0 ? [{ id: "shared", tokens: shared }] : []), last];
    return { parts, promptTokens: own + shared, pauseTargetMs: 800, excluded: new Set() };
}

function createPlacement(servers: readonly PlacementServer[], hasPace = true) {
    const clock = new ManualClock();
    const placement = new ServerPlacement({ ...defaultPlacementSettings, dataCentre: "a" }, clock);
    placement.updateServers(servers);
    if (hasPace) {
        servers.forEach(({ id }) => placement.recordLoad(id, 0, 0, 1));
    }
    return { clock, placement };
}

function fill(
    placement: ServerPlacement,
    serverId: string,
    count: number,
    build = () => buildRequest(longTokens),
) {
    for (let index = 0; index < count; index += 1) {
        placement.recordFirstEvent(placement.recordDispatch(serverId, build()));
    }
}

function addPeers(
    placement: ServerPlacement,
    count: number,
    ownTokens: number | undefined,
    shared = 0,
): void {
    const parts = shared > 0 ? [{ id: "shared", tokens: shared }] : [];
    for (let index = 0; index < count; index += 1) {
        const id = `peer/${String(index)}`;
        placement.recordPeerDispatch(
            { id, serverId: "server-0", tokens: 1, pauseTargetMs: 800, ownTokens },
            parts,
        );
        placement.recordPeerFirstEvent(id);
    }
}

describe("memory of engines", () => {
    // Guards against engines that preempt or crash because their slots were filled with long prompts.
    it("memory is exhausted while streams run: holds 34 requests of 17,020 tokens", () => {
        const servers = buildEngines(1);
        const { placement } = createPlacement(servers);
        fill(placement, "server-0", fitting - 1);
        const last = placement.estimateStart(buildRequest(longTokens), servers)!;
        expect(last.hasRoom).toBe(true);
        fill(placement, "server-0", 1);
        const full = placement.estimateStart(buildRequest(longTokens), servers)!;
        expect(full.hasRoom).toBe(false);
        expect(full.startMs).toBeGreaterThan(last.startMs);
        expect(placement.predictFreeRoom("server-0")?.slots).toBe(64 - fitting);
    });

    it("sends nothing to an engine without memory or slot while another has both", () => {
        const servers = buildEngines(3);
        const { placement } = createPlacement(servers);
        fill(placement, "server-0", fitting);
        fill(placement, "server-1", 64, () => buildRequest(10));
        // The others are so loaded that cost alone would not choose the third.
        fill(placement, "server-2", fitting - 1);
        for (let index = 0; index < 10; index += 1) {
            placement.recordEnd(placement.recordDispatch("server-2", buildRequest(10)), "failedStatus");
        }
        expect(placement.chooseServer(buildRequest(longTokens), servers)).toBe("server-2");
    });

    // Guards against a change of the deployments whose servers report no pace.
    it("prefers the engine that caches a prompt to one with memory where no pace is reported", () => {
        const servers = buildEngines(2);
        const choices = [false, true].map((hasPace) => {
            const { placement } = createPlacement(servers, hasPace);
            fill(placement, "server-0", 40, () => buildRequest(longTokens, 10_000));
            expect(placement.hasPace()).toBe(hasPace);
            return placement.chooseServer(buildRequest(5_000, 10_000), servers);
        });
        expect(choices).toEqual(["server-0", "server-1"]);
    });

    it("counts shared parts once", () => {
        const servers = buildEngines(1);
        const { placement } = createPlacement(servers);
        fill(placement, "server-0", 40, () => buildRequest(1_000, longTokens));
        addPeers(placement, 10, 1_000, longTokens);
        expect(placement.predictFreeRoom("server-0")?.tokens).toBe(capacityTokens - longTokens - 50 * 1_000);
    });

    it("a node fails with 40 requests in flight: their entries expire", () => {
        const servers = buildEngines(1);
        const { clock, placement } = createPlacement(servers);
        addPeers(placement, 40, longTokens);
        expect(placement.estimateStart(buildRequest(longTokens), servers)?.hasRoom).toBe(false);
        clock.advance(10_001);
        expect(placement.estimateStart(buildRequest(longTokens), servers)?.hasRoom).toBe(true);
        expect(placement.predictFreeRoom("server-0")?.tokens).toBe(capacityTokens);
    });

    it("an old build sends no sizes: assumes the mean of the kind", () => {
        const servers = buildEngines(1);
        const { placement } = createPlacement(servers);
        fill(placement, "server-0", 1);
        addPeers(placement, 10, undefined);
        expect(placement.predictFreeRoom("server-0")?.tokens).toBeCloseTo(capacityTokens - 11 * longTokens);
    });

    it("a server restarts: its account starts empty", () => {
        const servers = buildEngines(1);
        const { placement } = createPlacement(servers);
        addPeers(placement, 40, longTokens);
        placement.removeServer("server-0");
        placement.updateServers(servers);
        expect(placement.predictFreeRoom("server-0")).toEqual({ slots: 64, tokens: capacityTokens });
    });

    it("news is late or lost: the counts that an engine reports correct the known ones by age", () => {
        const servers = buildEngines(1);
        const { clock, placement } = createPlacement(servers);
        fill(placement, "server-0", 1);
        clock.advance(1_000);
        placement.recordLoad("server-0", 60, 20, 1);
        expect(placement.estimateStart(buildRequest(longTokens), servers)?.hasRoom).toBe(false);
        clock.advance(5_000);
        expect(placement.estimateStart(buildRequest(longTokens), servers)?.hasRoom).toBe(true);
    });
});

describe("what operators see", () => {
    it("counts requests without room, and shows how uneven the load is", () => {
        const servers = buildEngines(2);
        const { placement } = createPlacement(servers);
        fill(placement, "server-0", fitting + 2);
        const { freeSlots, freeTokens, busiestFactor } = placement.summarizeRoom(servers);
        expect(freeSlots).toBe(128 - fitting - 2);
        expect(freeTokens).toBe(capacityTokens);
        expect(busiestFactor).toBe(2);
        expect(placement.takeDispatchesWithoutRoom()).toBe(2);
        expect(placement.takeDispatchesWithoutRoom()).toBe(0);
    });
});

describe("pace", () => {
    // Guards against nodes that all follow a figure that changes many times a second.
    it("is averaged over its age", () => {
        const servers = buildEngines(1);
        const { clock, placement } = createPlacement(servers);
        for (let sample = 0; sample < 300; sample += 1) {
            clock.advance(10);
            placement.recordLoad("server-0", 0, 0, sample % 2 === 0 ? 1 : 3);
        }
        expect(placement.findEstimate("server-0")!.readPace(clock.monotonicMs())).toBeCloseTo(2, 0);
        placement.recordLoad("server-0", 0, 0, 10);
        expect(placement.findEstimate("server-0")!.readPace(clock.monotonicMs())).toBeCloseTo(2, 0);
    });

    it.each([0, -5, Number.NaN, Number.POSITIVE_INFINITY, 1e300])("bounds %d", (pace) => {
        const servers = buildEngines(1);
        const { clock, placement } = createPlacement(servers);
        clock.advance(60_000);
        placement.recordLoad("server-0", 0, 0, pace);
        const read = placement.findEstimate("server-0")!.readPace(clock.monotonicMs());
        expect(read).toBeGreaterThanOrEqual(0.1);
        expect(read).toBeLessThanOrEqual(10);
    });

    it("scales the predicted start and pauses of its server, and not the learned speed", () => {
        const servers = buildEngines(2);
        const { clock, placement } = createPlacement(servers);
        const one = placement.estimateStart(buildRequest(longTokens), servers.slice(0, 1))!;
        for (let sample = 0; sample < 20; sample += 1) {
            clock.advance(500);
            placement.recordLoad("server-0", 0, 0, 2);
            const sent = placement.recordDispatch("server-0", buildRequest(0));
            clock.advance(2 * defaultPlacementSettings.baseFirstEventMs);
            placement.recordFirstEvent(sent);
            placement.recordEnd(sent, "answered");
        }
        const slow = placement.estimateStart(buildRequest(longTokens), servers.slice(0, 1))!;
        expect(slow.startMs / one.startMs).toBeCloseTo(2, 0);
        expect(placement.findEstimate("server-0")!.readSlowness()).toBeCloseTo(1, 0);
        expect(placement.chooseServer(buildRequest(longTokens), servers)).toBe("server-1");
    });

    it("counts the streams that a prompt would delay, and itself", () => {
        const servers = buildEngines(1);
        const { placement } = createPlacement(servers);
        fill(placement, "server-0", 5, () => ({ ...buildRequest(10), pauseTargetMs: 200 }));
        expect(placement.estimateStart(buildRequest(longTokens), servers)!.delayedStreams).toBe(5);
        placement.recordDispatch("server-0", { ...buildRequest(longTokens * 2), pauseTargetMs: undefined });
        expect(placement.estimateStart(buildRequest(longTokens), servers)!.delayedStreams).toBe(6);
    });
});
