/**
 * Node under test, run in a separate process.
 *
 * @packageDocumentation
 */
import { createHash } from "node:crypto";
import { startNode } from "@pimentocleat/node";
import { TieredScheduler } from "@pimentocleat/policy";
import { configurationSchema, type Configuration } from "@pimentocleat/schema";
import {
    ConfiguredKeyRegistry,
    type AppliedConfiguration,
    type ClaimStore,
    type ConfigurationSource,
} from "@pimentocleat/state";
import { MemoryMetrics, SilentLogger } from "@pimentocleat/telemetry";
import { SystemClock } from "@pimentocleat/types";
import { benchSecret } from "./benchOptions.js";
import { serveMeasurements } from "./benchProcess.js";

/** Slots of each backend server, more than the benchmark uses, so that no request waits for one. */
const slots = 100_000;

/** Reports every claim as unavailable; the benchmark sends only repeatable requests, which need none. */
class UnavailableClaimStore implements ClaimStore {
    async claimKey(): Promise<{ type: "unavailable"; retryAfterMs: number }> {
        return { type: "unavailable", retryAfterMs: 0 };
    }

    async recordOutcome(): Promise<void> {}
}

/**
 * Runs the node until the parent process stops it.
 *
 * @param addresses - IP addresses and ports of the backend servers.
 */
export async function runBenchNode(addresses: readonly string[]): Promise<void> {
    const applied: AppliedConfiguration = { revision: 1, configuration: buildConfiguration(addresses) };
    const configuration: ConfigurationSource = { readCurrent: () => applied, onChange: () => () => {} };
    const clock = new SystemClock();
    const logger = new SilentLogger();
    const node = await startNode({
        name: "bench-1",
        dataCentre: "bench",
        callerAddress: { host: "127.0.0.1", port: 0 },
        configuration,
        keys: new ConfiguredKeyRegistry({ configuration, logger }),
        claims: new UnavailableClaimStore(),
        usage: { recordUsage: () => {} },
        logger,
        metrics: new MemoryMetrics(),
        clock,
        createScheduler: (part) => new TieredScheduler({ configuration: part, clock, node: "bench-1" }),
        limits: { keepAliveMs: 120_000, maximumIdleConnections: 4_096, stalledCallerMs: 120_000 },
    });
    serveMeasurements(node.callerAddress);
}

function buildConfiguration(addresses: readonly string[]): Configuration {
    const digest = createHash("sha256").update(benchSecret).digest("hex");
    const servers = addresses.map((address, index) => ({
        name: `engine-${index}`,
        address,
        dataCentre: "bench",
        slots,
    }));
    return configurationSchema.parse({
        customers: [{ name: "bench" }],
        keys: [{ id: "bench", customer: "bench", digest, defaultClass: "bench" }],
        classes: [{ name: "bench", tier: 1, firstTokenMs: 60_000, completeMs: 600_000 }],
        pools: [{ name: "engines", kind: "model", models: ["bench"], servers }],
    });
}
