import { ErrorKind, ManualClock } from "@pimentocleat/types";
import { poolSchema } from "@pimentocleat/schema";
import { describe, expect, test } from "vitest";
import { FifoScheduler } from "../fifoScheduler.js";
import type { QueuedRequest } from "../poolScheduler.js";

function buildScheduler(): FifoScheduler {
    const servers = ["alpha", "beta"].map((name, index) => ({
        name,
        address: `127.0.0.1:${9000 + index}`,
        dataCentre: "one",
        slots: 1,
    }));
    const pool = poolSchema.parse({ name: "pool", kind: "model", servers });
    return new FifoScheduler({
        configuration: { pool, classes: [], customers: [] },
        clock: new ManualClock(),
        node: "node-1",
    });
}

function buildRequest(requestId: string, excludedServers: string[] = []): QueuedRequest {
    return {
        requestId,
        customer: "customer",
        requestClass: "class",
        arrivedMs: 0,
        promptTokens: 1,
        maximumTokens: undefined,
        prefixBlocks: [],
        repeatable: true,
        excludedServers,
        attempt: 1,
        resumedTokens: 0,
    };
}

describe("FifoScheduler", () => {
    test("starts requests in order of arrival, round-robin over the servers and within their slots", () => {
        const scheduler = buildScheduler();
        for (const requestId of ["a", "b", "c"]) {
            expect(scheduler.offerRequest(buildRequest(requestId))).toEqual({ type: "queued" });
        }
        expect(scheduler.takeDecisions()).toMatchObject([
            { type: "start", requestId: "a", server: "alpha" },
            { type: "start", requestId: "b", server: "beta" },
        ]);
        scheduler.recordOutcome("b", "beta");
        expect(scheduler.takeDecisions()).toMatchObject([{ requestId: "c", server: "beta" }]);
    });

    test("refuses a request for which no usable server remains", () => {
        const scheduler = buildScheduler();
        scheduler.recordLeaving({ server: "alpha", leavesAtMs: 5_000 });
        expect(scheduler.offerRequest(buildRequest("a", ["beta"]))).toMatchObject({
            type: "refused",
            kind: ErrorKind.NoBackendServer,
        });
    });

    test("cancels a running request on its server and removes a waiting one", () => {
        const scheduler = buildScheduler();
        ["a", "b", "c"].forEach((requestId) => scheduler.offerRequest(buildRequest(requestId)));
        scheduler.takeDecisions();
        scheduler.cancelRequest("c", "callerGone");
        scheduler.cancelRequest("a", "callerGone");
        expect(scheduler.takeDecisions()).toMatchObject([
            { type: "cancel", requestId: "a", server: "alpha" },
        ]);
        expect(scheduler.readStatus()).toMatchObject({ waiting: 0, running: 2 });
    });
});
