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
    const createPermits = () => {
        const clock = new ManualClock();
        const sent: LimitMessage[] = [];
        const permits = new ServerPermits({
            name: "a",
            clock,
            metrics: new TextMetrics(),
            limits: { findLimit: () => undefined } as unknown as LimitDirectory,
            brittle: { findAllowed: () => 1 } as unknown as BrittleDirectory,
            listKeepers: () => ["b"],
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
});
