/**
 * Creates the server for callers.
 *
 * @packageDocumentation
 */
import type { FastifyInstance } from "fastify";
import { buildCallerServer, type CallerServerOptions } from "../callers/callerServer.js";
import { RequestAdmission, type RequestAdmissionOptions } from "../callers/requestAdmission.js";
import type { DrainState } from "./drainState.js";
import type { PlatformAdapter } from "./platformAdapter.js";

/** Options of {@link createCallerServer}: what requests are checked with and run by. */
export interface CallerServerWiring
    extends RequestAdmissionOptions, Pick<CallerServerOptions, "runner" | "logger" | "metrics"> {
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
    const { adapter, drain } = options;
    return buildCallerServer({
        ...options,
        protocol: adapter.callerProtocol,
        admission: new RequestAdmission(options),
        isDraining: () => drain.isDraining(),
        isRefusing: () => drain.isRefusing(),
        onActiveChange: (change) => drain.recordActive(change),
    });
}
