/**
 * Creates the server for callers.
 *
 * @packageDocumentation
 */
import type { FastifyInstance } from "fastify";
import { buildCallerServer, type CallerServerOptions } from "../callers/callerServer.js";
import { RequestAdmission, type RequestAdmissionOptions } from "../callers/requestAdmission.js";
import { HeldBytes } from "../dispatch/heldBytes.js";
import type { GatewaySettings } from "../settings/gatewaySettings.js";
import type { DrainState } from "./drainState.js";
import type { PlatformAdapter } from "./platformAdapter.js";

const bytesPerMegabyte = 1_024 * 1_024;
/** Share of the node's memory for request bodies; the program, its heap and the responses need the rest. */
const heldBodyShare = 0.2;

/** Options of {@link createCallerServer}: what requests are checked with and run by. */
export interface CallerServerWiring
    extends RequestAdmissionOptions, Pick<CallerServerOptions, "runner" | "logger" | "metrics"> {
    readonly settings: Pick<GatewaySettings, "memoryMegabytes">;
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
    const { adapter, drain, settings } = options;
    return buildCallerServer({
        ...options,
        protocol: adapter.callerProtocol,
        admission: new RequestAdmission(options),
        heldBodies: new HeldBytes(settings.memoryMegabytes * bytesPerMegabyte * heldBodyShare),
        isDraining: () => drain.isDraining(),
        isRefusing: () => drain.isRefusing(),
        onActiveChange: (change) => drain.recordActive(change),
    });
}
