import { TextMetrics } from "@pimentocleat/telemetry";
import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import type { LimitMessage } from "../../peers/limitMessages.js";
import type { RegisteredServer } from "../backendServer.js";
import type { BrittleDirectory } from "../brittleDirectory.js";
import type { LimitDirectory } from "../limitDirectory.js";
import { ServerPermits } from "../serverPermits.js";

const server = { id: "s1", service: "plain" } as RegisteredServer;
const need = { priority: 0, patienceMs: 50 };

describe("a place at a brittle server", () => {
    const createPermits = (name = "a", keepers: readonly string[] = ["b"]) => {
        const clock = new ManualClock();
        const sent: LimitMessage[] = [];
        const permits = new ServerPermits({
            name,
            clock,
            metrics: new TextMetrics(),
            limits: { findLimit: () => undefined } as unknown as LimitDirectory,
            brittle: {
                findAllowed: () => 1,
                buildPlaces: () => ({ computeRoom: () => 1, countInFlight: () => 0 }),
            } as unknown as BrittleDirectory,
            listKeepers: () => keepers,
            send: (...[, message]) => {
                sent.push(message);
                return true;
            },
        });
        return { clock, sent, permits };
    };
    const listReleased = (sent: readonly LimitMessage[]) =>
        sent.filter(({ type }) => type === "placeRelease").length;

    it("is given back once, when its request has ended", async () => {
        const { sent, permits } = createPermits();
        const granted = permits.requestPermit(server, need);
        permits.receiveMessage({ type: "permitReply", request: 1 }, "b");
        expect(await granted).toBe(true);
        permits.releasePlace(server);
        permits.releasePlace(server);
        expect(listReleased(sent)).toBe(1);
    });

    // Guards against places that nobody uses, because their grant came too late (LIMIT, served share).
    it("is given back when no reply has come in time", async () => {
        const { clock, sent, permits } = createPermits();
        const granted = permits.requestPermit(server, need);
        clock.advance(1_000);
        expect(await granted).toBe(false);
        expect(listReleased(sent)).toBe(1);
    });

    // Guards against two keepers that grant the same places, after one request was not answered in time (LIMIT).
    it("is granted by the second keeper only when the first has been silent for some time", () => {
        const { clock, sent, permits } = createPermits("b", ["first", "b"]);
        const ask = (request: number) =>
            permits.receiveMessage(
                { type: "placeRequest", request, serverId: "s1", allowed: 1, ...need },
                "c",
            );
        const countGranted = () =>
            sent.filter((message) => message.type === "permitReply" && message.refused === undefined).length;
        ask(1);
        clock.advance(1_000);
        ask(2);
        expect(countGranted()).toBe(0);
        clock.advance(1_000);
        ask(3);
        expect(countGranted()).toBe(1);
    });
});
