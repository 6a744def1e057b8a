/**
 * Creates the server for callers.
 *
 * @packageDocumentation
 */
import type { FastifyInstance } from "fastify";
import { computeConnectionLimits } from "@pimentocleat/policy";
import { CallerConnections } from "../callers/callerConnections.js";
import { buildCallerServer, type CallerServerOptions } from "../callers/callerServer.js";
import { RequestAdmission, type RequestAdmissionOptions } from "../callers/requestAdmission.js";
import type { GatewaySettings } from "../settings/gatewaySettings.js";
import type { DrainState } from "./drainState.js";
import type { PlatformAdapter } from "./platformAdapter.js";

const bytesPerMegabyte = 1_024 * 1_024;
/** Share of the node's memory for what callers' connections hold; the program, its heap and held responses need the rest. */
const connectionsShare = 0.15;

/** Options of {@link createCallerServer}: what requests are checked with and run by. */
export interface CallerServerWiring
    extends RequestAdmissionOptions, Pick<CallerServerOptions, "runner" | "logger" | "metrics"> {
    readonly settings: Pick<GatewaySettings, "memoryMegabytes" | "maximumDescriptors">;
    readonly adapter: PlatformAdapter;
    readonly drain: DrainState;
}

/**
 * Creates the server for callers; it does not listen yet.
 *
 * @param options - What requests are checked with and run by.
 * @returns The server.
 */
export function createCallerServer(options: CallerServerWiring): FastifyInstance {
    const { adapter, clock, drain, metrics, settings } = options;
    const connections = new CallerConnections({
        clock,
        metrics,
        ...computeConnectionLimits(settings.maximumDescriptors),
        maximumBytes: settings.memoryMegabytes * bytesPerMegabyte * connectionsShare,
    });
    return buildCallerServer({
        ...options,
        protocol: adapter.callerProtocol,
        admission: new RequestAdmission(options),
        connections,
        isDraining: () => drain.isDraining(),
        isRefusing: () => drain.isRefusing(),
        onActiveChange: (change) => drain.recordActive(change),
    });
}
