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

/** A clock of a process that can be paused: the time goes on, and what waits is not told before messages are read. */
class PausableClock extends ManualClock {
    private pausedMs = 0;

    override monotonicMs(): number {
        return super.monotonicMs() + this.pausedMs;
    }

    pause(durationMs: number): void {
        this.pausedMs += durationMs;
    }
}

describe("a place at a brittle server", () => {
    const createPermits = (name = "a", keepers: readonly string[] = ["b"]) => {
        const clock = new PausableClock();
        const sent: LimitMessage[] = [];
        const addressed: { readonly to: string; readonly message: LimitMessage }[] = [];
        const permits = new ServerPermits({
            name,
            clock,
            metrics: new TextMetrics(),
            limits: {
                findLimit: () => undefined,
                mergeReports: () => undefined,
                listLimitedServers: () => [],
            } as unknown as LimitDirectory,
            brittle: {
                findAllowed: () => 1,
                buildPlaces: () => ({ computeRoom: () => 1, countInFlight: () => 0 }),
            } as unknown as BrittleDirectory,
            cold: {
                findRate: () => undefined,
                findRateOf: () => undefined,
                mergeReports: () => undefined,
            },
            listKeepers: () => keepers,
            send: (to, message) => {
                sent.push(message);
                addressed.push({ to, message });
                return true;
            },
        });
        return { clock, sent, addressed, permits };
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

    // Guards against a process that was paused while it waited, reads the grant before its timers run, and sends a request
    // for which the keeper has long given the place or the permit to others (LIMIT).
    it("is given back when its grant is read only after a pause of the process", async () => {
        const { clock, sent, permits } = createPermits();
        const granted = permits.requestPermit(server, need);
        clock.pause(3_000);
        permits.receiveMessage({ type: "permitReply", request: 1 }, "b");
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

    describe("that two keepers may grant", () => {
        const keepers = ["first", "b"];
        const playedMs = 10_000;
        const stepMs = 250;
        const countGranted = (sent: readonly LimitMessage[]) =>
            sent.filter((message) => message.type === "permitReply" && message.refused === undefined).length;

        /** Asks both keepers again and again; the second gets what the first sends to it. */
        const playRequests = (
            first: ReturnType<typeof createPermits>,
            second: ReturnType<typeof createPermits>,
        ) => {
            for (let passedMs = 0; passedMs < playedMs; passedMs += stepMs) {
                for (const { clock, permits } of [first, second]) {
                    clock.advance(stepMs);
                    permits.receiveMessage(
                        { type: "placeRequest", request: passedMs, serverId: "s1", allowed: 1, ...need },
                        "c",
                    );
                }
                for (const { to, message } of first.addressed.splice(0)) {
                    if (to === "b") {
                        second.permits.receiveMessage(message, "first");
                    }
                }
            }
        };

        // Guards against a second keeper that grants beside the first, since it is asked again and again (LIMIT).
        it("is not granted by the second one while the first grants", () => {
            const first = createPermits("first", keepers);
            const second = createPermits("b", keepers);
            playRequests(first, second);
            expect(countGranted(first.sent)).toBeGreaterThan(0);
            expect(countGranted(second.sent)).toBe(0);
            const told = first.sent.filter(({ type }) => type === "serverLimits").length;
            expect(told).toBeLessThanOrEqual((2 * playedMs) / 1_000);
        });

        // Guards against a server that nobody uses any more after its keeper has stopped.
        it("is granted by the second one when the first has stopped", () => {
            const second = createPermits("b", keepers);
            playRequests(createPermits("first", keepers), second);
            playRequests(createPermits("stopped"), second);
            expect(countGranted(second.sent)).toBeGreaterThan(0);
        });

        // Guards against a server that nobody uses while a node that cannot grant is its first keeper (roll-out).
        it("is granted by the second one when the first knows limits alone", () => {
            const { clock, sent, permits } = createPermits("b", keepers);
            const report = { serverId: "s2", perSecond: 1, ageMs: 0 };
            for (let passedMs = 0; passedMs < playedMs; passedMs += stepMs) {
                clock.advance(stepMs);
                permits.receiveMessage({ type: "serverLimits", reports: [report] }, "first");
                permits.receiveMessage(
                    { type: "placeRequest", request: passedMs, serverId: "s1", allowed: 1, ...need },
                    "c",
                );
            }
            expect(countGranted(sent)).toBeGreaterThan(0);
        });
    });
});
