/**
 * Creates the server for callers, with what runs their requests.
 *
 * @packageDocumentation
 */
import type { FastifyInstance } from "fastify";
import { buildCallerServer } from "../callers/callerServer.js";
import { RequestAdmission } from "../callers/requestAdmission.js";
import { createRequestRunner, type RunnerConnections } from "./createRequestRunner.js";
import type { DrainState } from "./drainState.js";
import type { PlatformAdapter } from "./platformAdapter.js";

/** Options of {@link createCallerServer}: those of the runner, and what takes requests in. */
export interface CallerServerWiring extends Omit<RunnerConnections, "protocol"> {
    readonly adapter: PlatformAdapter;
    readonly random: () => number;
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
        runner: createRequestRunner({ ...options, protocol: adapter.backendProtocol }),
        isDraining: () => drain.isDraining(),
        isRefusing: () => drain.isRefusing(),
        onActiveChange: (change) => drain.recordActive(change),
    });
}
