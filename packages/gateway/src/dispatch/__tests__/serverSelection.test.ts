import { SilentLogger, TextMetrics } from "@pimentocleat/telemetry";
import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import type { RegisteredServer } from "../../backends/backendServer.js";
import { ServerDirectory } from "../../backends/serverDirectory.js";
import type { ServerNotices } from "../../backends/serverNotices.js";
import type { ServerPermits } from "../../backends/serverPermits.js";
import { ActiveConfiguration } from "../../configuration/activeConfiguration.js";
import { Evacuations } from "../../configuration/evacuations.js";
import type { RunState } from "../runState.js";
import { ServerSelection, type ServerSelectionOptions } from "../serverSelection.js";

const server: RegisteredServer = {
    id: "s1",
    version: 1,
    service: "plain",
    address: "127.0.0.1:1",
    dataCentre: "a",
    slots: 8,
    state: "ready",
    isReclaimable: false,
};
const state = {
    request: {
        service: "plain",
        head: { parts: [], promptTokens: 0 },
        route: { priority: 0, targetMs: 200 },
        deadlineMs: 1_000,
        customer: undefined,
    },
    streamOrigin: undefined,
    excluded: new Set(),
    dispatch: {
        placement: {
            chooseServer: (...[, servers]: [unknown, readonly { id: string }[]]) => servers[0]?.id,
        },
    },
} as unknown as RunState;

const notices = { computePauseMs: () => 0 } as unknown as ServerNotices;

function buildSelection(
    servers: readonly RegisteredServer[],
    evacuations: Evacuations,
    change: Partial<Pick<ServerSelectionOptions, "notices" | "permits">>,
): ServerSelection {
    const logger = new SilentLogger();
    const directory = new ServerDirectory(logger);
    directory.setServers(servers, 1);
    const permits = {} as ServerPermits;
    const configuration = new ActiveConfiguration(logger);
    const clock = new ManualClock();
    return new ServerSelection({ directory, configuration, evacuations, notices, permits, clock, ...change });
}

function buildEvacuations(isEnabled = false): Evacuations {
    return new Evacuations({ isEnabled, logger: new SilentLogger(), metrics: new TextMetrics() });
}

function computeReturnMs(pauseMs: number, permitReturnMs: number): number | undefined {
    const selection = buildSelection([server], buildEvacuations(), {
        notices: { computePauseMs: () => pauseMs } as unknown as ServerNotices,
        permits: { computeReturnMs: () => permitReturnMs } as unknown as ServerPermits,
    });
    return selection.computeReturnMs(state);
}

describe("when a refused caller should come back", () => {
    it("is when both the pause and the limit of a server allow it", () => {
        expect(computeReturnMs(400, 250)).toBe(400);
        expect(computeReturnMs(100, 250)).toBe(250);
        expect(computeReturnMs(0, 0)).toBeUndefined();
    });

    // Guards against a Retry-After of zero for a caller that is refused just before the next permit.
    it("leaves the caller time to do so", () => {
        expect(computeReturnMs(0, 0.2)).toBe(20);
    });
});

describe("servers of an evacuated data centre", () => {
    const other = { ...server, id: "s2", dataCentre: "b" };
    const evacuateFirst = { dataCentre: "a", version: 2, isEvacuated: true };

    // Guards against a request that is sent after its permit came, although the evacuation began while it waited.
    it("get no request, also when the evacuation begins while it waits for a permit", async () => {
        const evacuations = buildEvacuations();
        const released: string[] = [];
        const permits = {
            isLimited: ({ id }: RegisteredServer) => id === server.id,
            computeClosedMs: () => 0,
            requestPermit: () => {
                evacuations.mergeStates([evacuateFirst]);
                return Promise.resolve(true);
            },
            releasePlace: ({ id }: RegisteredServer) => released.push(id),
        } as unknown as ServerPermits;
        const selection = buildSelection([server, other], evacuations, { permits });
        expect((await selection.chooseServer(state))?.id).toBe("s2");
        expect(released).toEqual(["s1"]);
        const alone = buildSelection([server], evacuations, { permits });
        expect(await alone.chooseServer(state)).toBeUndefined();
        expect(alone.computeReturnMs(state)).toBeUndefined();
    });

    // Guards against a node that has just started and sends before it knows which data centres are evacuated.
    it("are not told from others, and get none, before the node knows the evacuations", async () => {
        const evacuations = buildEvacuations(true);
        const permits = { isLimited: () => false, computeClosedMs: () => 0 } as unknown as ServerPermits;
        const selection = buildSelection([other], evacuations, { permits });
        expect(await selection.chooseServer(state)).toBeUndefined();
        evacuations.setEvacuations([evacuateFirst], 2);
        expect((await selection.chooseServer(state))?.id).toBe("s2");
    });
});
