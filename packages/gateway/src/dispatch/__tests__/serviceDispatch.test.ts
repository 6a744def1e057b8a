import { MemoryMetrics, SilentLogger } from "@pimentocleat/telemetry";
import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { ServerDirectory } from "../../backends/serverDirectory.js";
import { ActiveConfiguration } from "../../configuration/activeConfiguration.js";
import { ServiceDispatchRegistry } from "../serviceDispatch.js";

describe("ServiceDispatchRegistry", () => {
    // Guards against figures of services for which room is not predicted, and against counts reported twice.
    it("reports the room of services whose servers report their pace", () => {
        const logger = new SilentLogger();
        const dispatches = new ServiceDispatchRegistry({
            directory: new ServerDirectory(logger),
            configuration: new ActiveConfiguration(logger),
            clock: new ManualClock(),
            dataCentre: "a",
            readRetrySettings: () => ({ windowMs: 1, share: 0, slack: 0 }),
            news: { readDelayMs: () => 0, random: () => 0 },
        });
        const metrics = new MemoryMetrics();
        const request = {
            parts: [],
            promptTokens: 200,
            pauseTargetMs: undefined,
            excluded: new Set<string>(),
        };
        const server = { id: "s", dataCentre: "a", slots: 2, capacityTokens: 100, isReclaimable: false };
        for (const [service, pace] of [
            ["old", undefined],
            ["new", 1],
        ] as const) {
            const { placement } = dispatches.ensureService(service);
            placement.updateServers([server]);
            placement.recordLoad("s", 0, 0, pace);
            placement.recordDispatch("s", request);
        }
        dispatches.reportRoom(metrics);
        dispatches.reportRoom(metrics);
        expect(metrics.readValue("service.noRoom", { service: "new" })).toBe(1);
        expect([...metrics.listValues().keys()].filter((key) => key.includes("old"))).toEqual([]);
    });
});
