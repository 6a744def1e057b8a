import { SilentLogger } from "@pimentocleat/telemetry";
import { ManualClock } from "@pimentocleat/types";
import { beforeEach, describe, expect, it } from "vitest";
import { ActiveConfiguration } from "../../configuration/activeConfiguration.js";
import type { GatewayConfiguration } from "../../configuration/gatewayConfiguration.js";
import { ReadinessState } from "../readinessState.js";

describe("ReadinessState", () => {
    let clock: ManualClock;
    let configuration: ActiveConfiguration;
    let hasServers: boolean;
    let readiness: ReadinessState;

    beforeEach(() => {
        const logger = new SilentLogger();
        clock = new ManualClock();
        configuration = new ActiveConfiguration(logger);
        hasServers = false;
        readiness = new ReadinessState({ clock, logger, configuration, hasServers: () => hasServers });
    });

    function applyConfiguration(version: number): void {
        configuration.applyConfiguration({
            version,
            routes: [],
            services: [],
        } as unknown as GatewayConfiguration);
    }

    it("is not ready without a configuration", () => {
        hasServers = true;
        clock.advance(60_000);
        expect(readiness.isReady()).toBe(false);
    });

    // A node that was ready without servers refused the first requests after all nodes had started at once.
    it("is ready with a configuration only once the servers were read", () => {
        applyConfiguration(1);
        expect(readiness.isReady()).toBe(false);
        hasServers = true;
        expect(readiness.isReady()).toBe(true);
    });

    it("is ready without servers two seconds after the first configuration, so that it never waits for ever", () => {
        applyConfiguration(1);
        clock.advance(1_000);
        applyConfiguration(2);
        clock.advance(999);
        expect(readiness.isReady()).toBe(false);
        clock.advance(1);
        expect(readiness.isReady()).toBe(true);
    });
});
