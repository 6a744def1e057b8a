import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { defaultPlacementSettings } from "../placementSettings.js";
import type { PlacementServer } from "../serverEstimate.js";
import type { PlacementRequest } from "../serverCost.js";
import { ServerPlacement } from "../serverPlacement.js";

const sharedPart = { id: "guide", tokens: 13_000 };

function buildServers(count: number, capacityTokens: number | undefined = 400_000): PlacementServer[] {
    return Array.from({ length: count }, (...[, index]) => ({
        id: `server-${String(index)}`,
        dataCentre: "a",
        slots: 64,
        capacityTokens,
        isReclaimable: false,
    }));
}

function buildRequest(parts: PlacementRequest["parts"], pauseTargetMs: number | undefined): PlacementRequest {
    const promptTokens = parts.reduce((sum, part) => sum + part.tokens, 0);
    return { parts, promptTokens, pauseTargetMs, excluded: new Set() };
}

const buildLong = (name: string): PlacementRequest =>
    buildRequest([sharedPart, { id: name, tokens: 4_000 }], 2_500);
const buildShort = (name: string): PlacementRequest => buildRequest([{ id: name, tokens: 1_200 }], 500);

describe("ServerPlacement", () => {
    function createPlacement(servers: readonly PlacementServer[]) {
        const clock = new ManualClock();
        const placement = new ServerPlacement({ ...defaultPlacementSettings, dataCentre: "a" }, clock);
        placement.updateServers(servers);
        return { clock, placement };
    }

    it("chooses the server that has cached the shared parts of a prompt", () => {
        const servers = buildServers(8);
        const { placement } = createPlacement(servers);
        const first = placement.chooseServer(buildLong("x"), servers)!;
        placement.recordEnd(placement.recordDispatch(first, buildLong("x")), "answered");
        expect(placement.chooseServer(buildLong("y"), servers)).toBe(first);
    });

    it("uses the cache contents implied by other nodes' requests", () => {
        const servers = buildServers(8);
        const { placement } = createPlacement(servers);
        const request = { id: "peer/1", serverId: "server-5", tokens: 17_000, pauseTargetMs: 2_500 };
        placement.recordPeerDispatch(request, [sharedPart]);
        placement.recordPeerFirstEvent("peer/1");
        placement.recordPeerEnd("peer/1");
        expect(placement.chooseServer(buildLong("y"), servers)).toBe("server-5");
    });

    it("chooses the same server on all nodes for parts that no server is known to have cached", () => {
        const servers = buildServers(8);
        const choices = [1, 2, 3].map(() =>
            createPlacement(servers).placement.chooseServer(buildLong("x"), servers),
        );
        expect(new Set(choices).size).toBe(1);
    });

    it("burst of long prompts: short prompts go to a server without a long prefill", () => {
        const servers = buildServers(4);
        const { placement } = createPlacement(servers);
        for (const serverId of ["server-0", "server-1", "server-2"]) {
            placement.recordPeerDispatch(
                { id: serverId, serverId, tokens: 30_000, pauseTargetMs: 2_500 },
                [],
            );
        }
        expect(placement.chooseServer(buildShort("s"), servers)).toBe("server-3");
    });

    it("burst of long prompts: long prompts avoid servers whose streams they would delay", () => {
        const servers = buildServers(2);
        const { placement } = createPlacement(servers);
        for (let index = 0; index < 5; index += 1) {
            const id = `stream-${String(index)}`;
            placement.recordPeerDispatch({ id, serverId: "server-0", tokens: 1_000, pauseTargetMs: 500 }, []);
            placement.recordPeerFirstEvent(id);
        }
        expect(placement.chooseServer(buildLong("x"), servers)).toBe("server-1");
    });

    it("hot key: waits for the server that has cached the parts until recomputing them costs less", () => {
        const servers = buildServers(3);
        const { placement } = createPlacement(servers);
        placement.recordPeerDispatch(
            { id: "warm", serverId: "server-0", tokens: 0, pauseTargetMs: undefined },
            [sharedPart],
        );
        const request = buildLong("x");
        placement.recordPeerDispatch(
            { id: "a", serverId: "server-0", tokens: 10_000, pauseTargetMs: 2_500 },
            [],
        );
        expect(placement.chooseServer(request, servers)).toBe("server-0");
        placement.recordPeerDispatch(
            { id: "b", serverId: "server-0", tokens: 90_000, pauseTargetMs: 2_500 },
            [],
        );
        expect(placement.chooseServer(request, servers)).not.toBe("server-0");
    });

    it("expires a peer's request whose end message was lost", () => {
        const servers = buildServers(1);
        const { clock, placement } = createPlacement(servers);
        placement.recordPeerDispatch(
            { id: "a", serverId: "server-0", tokens: 90_000, pauseTargetMs: 500 },
            [],
        );
        clock.advance(3_001);
        placement.chooseServer(buildShort("s"), servers);
        const sent = placement.recordDispatch("server-0", buildShort("s"));
        expect(sent.expectedMs).toBeLessThan(200);
    });

    it("crash: avoids a server whose connection broke, and chooses it again later", () => {
        const servers = buildServers(2, undefined);
        const { clock, placement } = createPlacement(servers);
        const request = buildRequest([], undefined);
        const broken = placement.chooseServer(request, servers)!;
        placement.recordEnd(placement.recordDispatch(broken, request), "broken");
        expect(placement.chooseServer(request, servers)).not.toBe(broken);
        clock.advance(401);
        const other = placement.chooseServer(
            request,
            servers.filter(({ id }) => id === broken),
        );
        expect(other).toBe(broken);
    });

    it("chooses an avoided server rather than none", () => {
        const servers = buildServers(1);
        const { placement } = createPlacement(servers);
        const request = buildShort("s");
        placement.recordEnd(placement.recordDispatch("server-0", request), "broken");
        expect(placement.chooseServer(request, servers)).toBe("server-0");
    });

    it("grey server: prefers one that fails less", () => {
        const servers = buildServers(2, undefined);
        const { placement } = createPlacement(servers);
        const request = buildRequest([], undefined);
        for (let index = 0; index < 10; index += 1) {
            placement.recordEnd(placement.recordDispatch("server-0", request), "failedStatus");
            placement.recordEnd(placement.recordDispatch("server-1", request), "answered");
        }
        expect(placement.chooseServer(request, servers)).toBe("server-1");
    });

    it("slow server: prefers one whose first events arrive as predicted", () => {
        const servers = buildServers(2);
        const { clock, placement } = createPlacement(servers);
        for (const [serverId, elapsedMs] of [
            ["server-0", 2_000],
            ["server-1", 60],
        ] as const) {
            for (let index = 0; index < 6; index += 1) {
                const sent = placement.recordDispatch(serverId, buildShort(`${serverId}-${String(index)}`));
                clock.advance(elapsedMs);
                placement.recordFirstEvent(sent);
                placement.recordEnd(sent, "answered");
            }
        }
        expect(placement.chooseServer(buildShort("next"), servers)).toBe("server-1");
    });

    it("returns undefined when every server is excluded", () => {
        const servers = buildServers(1);
        const { placement } = createPlacement(servers);
        const request = { ...buildShort("s"), excluded: new Set(["server-0"]) };
        expect(placement.chooseServer(request, servers)).toBeUndefined();
    });
});
