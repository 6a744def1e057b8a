import { describe, expect, it } from "vitest";
import { FifoScheduler, type CacheEvent, type LeavingNotice, type LoadReport } from "@pimentocleat/policy";
import { SystemClock } from "@pimentocleat/types";
import { convertCacheAnswer } from "../backends/backendReports.js";
import { callNode } from "./support/callNode.js";
import { createTestBed } from "./support/testBed.js";

const limits = { loadPollMs: 20, cachePollMs: 20, hostPollMs: 20 };

class RecordingScheduler extends FifoScheduler {
    readonly events: (LoadReport | CacheEvent | LeavingNotice)[] = [];

    override recordLoadReport(report?: LoadReport): void {
        this.events.push(report!);
    }

    override recordCacheEvent(event?: CacheEvent): void {
        this.events.push(event!);
    }

    override recordLeaving(notice: LeavingNotice): void {
        this.events.push(notice);
        super.recordLeaving(notice);
    }
}

describe("reports of backend servers", () => {
    const bed = createTestBed();

    it("passes load, cache events and leaving notices to the pool's scheduler", async () => {
        const engine = await bed.startBackend();
        const measuredAtMs = Date.now() - 2_000;
        engine.pollAnswers.set("/load", { running: 3, waiting: 2, slots: 8, measuredAtMs });
        const event = { sequence: 7, kind: "stored", blocks: ["a"] };
        engine.pollAnswers.set("/cache-events?after=0", { events: [event], lastSequence: 7 });
        engine.pollAnswers.set("/cache-events?after=7", { events: [], lastSequence: 7 });
        const schedulers: RecordingScheduler[] = [];
        const clock = new SystemClock();
        const node = await bed.startNode({
            engines: [engine],
            limits,
            createScheduler: (configuration) => {
                schedulers.push(new RecordingScheduler({ configuration, clock, node: "entry-1" }));
                return schedulers.at(-1)!;
            },
            hosts: {
                listHosts: async () => [
                    {
                        name: "engine-0",
                        dataCentre: "palermo",
                        address: engine.address,
                        role: "backend",
                        state: "leaving",
                        leavesAtMs: Date.now() + 5_000,
                    },
                ],
            },
        });
        await expect.poll(() => engine.polls).toContain("/cache-events?after=7");
        const events = (): RecordingScheduler["events"] => schedulers[0]!.events;
        await expect.poll(() => events().some((entry) => "leavesAtMs" in entry)).toBe(true);
        const report = events().find((entry) => "runningRequests" in entry);
        expect(report).toMatchObject({
            server: "engine-0",
            runningRequests: 3,
            waitingRequests: 2,
            slots: 8,
        });
        expect((report as LoadReport).ageMs).toBeGreaterThanOrEqual(2_000);
        expect(events()).toContainEqual({
            server: "engine-0",
            sequence: 7,
            stored: ["a"],
            removed: [],
            cleared: false,
        });
        const body = { model: "copy-1", messages: [{ role: "user", content: "a" }] };
        expect((await callNode(node, { path: "/v1/chat/completions", body })).error?.kind).toBe(
            "no_backend_server",
        );
        expect(engine.requests).toHaveLength(0);
    });

    it("treats a lower sequence number as a restarted engine with an empty cache", () => {
        expect(convertCacheAnswer("engine-0", { events: [], lastSequence: 2 }, 7)).toEqual([
            { server: "engine-0", sequence: 0, stored: [], removed: [], cleared: true },
        ]);
    });
});
