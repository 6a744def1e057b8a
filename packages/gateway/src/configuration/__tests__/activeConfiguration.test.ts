import { SilentLogger } from "@pimentocleat/telemetry";
import fastCheck from "fast-check";
import { describe, expect, inject, it } from "vitest";
import { ActiveConfiguration } from "../activeConfiguration.js";
import type { GatewayConfiguration, RouteRule } from "../gatewayConfiguration.js";

function buildRoute(pathPrefix: string): RouteRule {
    return {
        name: pathPrefix,
        host: "h.example",
        pathPrefix,
        kind: "repeatable",
        timeoutMs: 1_000,
        targetMs: 100,
        pauseTargetMs: undefined,
        priority: 1,
        targets: [{ service: "s", weight: 1 }],
        maximumAttempts: 1,
        isOpen: false,
        isResumable: false,
    };
}

function buildVersion(version: number): GatewayConfiguration {
    return {
        version,
        routes: [buildRoute("/"), buildRoute("/a/"), buildRoute("/a/b/")],
        services: [],
        customers: [{ name: "c", keys: [`key-${String(version)}`], priority: undefined }],
        bounds: { maximumBodyBytes: 1_000, idleTimeoutMs: 1_000 },
    };
}

describe("ActiveConfiguration", () => {
    it("keeps the newest version regardless of the order in which versions arrive", () => {
        fastCheck.assert(
            fastCheck.property(fastCheck.array(fastCheck.nat(20)), (versions) => {
                const configuration = new ActiveConfiguration(new SilentLogger());
                let newest = -1;
                for (const version of versions) {
                    configuration.applyConfiguration(buildVersion(version));
                    newest = Math.max(newest, version);
                    expect(configuration.readCurrent()?.version).toBe(newest);
                    expect(configuration.findCustomer(`key-${String(newest)}`)?.name).toBe("c");
                }
            }),
            { seed: 20261204, ...inject("fuzz") },
        );
    });

    it("finds the route with the longest prefix", () => {
        const configuration = new ActiveConfiguration(new SilentLogger());
        configuration.applyConfiguration(buildVersion(1));
        expect(configuration.findRoute("h.example", "/a/b/c?q=1")?.name).toBe("/a/b/");
        expect(configuration.findRoute("h.example", "/a/x")?.name).toBe("/a/");
        expect(configuration.findRoute("other.example", "/a/x")).toBeUndefined();
    });

    it("rejects a withdrawn key as soon as a version without it is active", () => {
        const configuration = new ActiveConfiguration(new SilentLogger());
        configuration.applyConfiguration(buildVersion(1));
        configuration.applyConfiguration(buildVersion(2));
        expect(configuration.findCustomer("key-1")).toBeUndefined();
    });
});
