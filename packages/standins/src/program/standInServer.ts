/**
 * The HTTP server shared by all stand-ins: JSON errors, fault switches and a close that ends all connections.
 *
 * @packageDocumentation
 */
import { fastify, type FastifyError, type FastifyInstance } from "fastify";
import type { AddressInfo } from "node:net";
import { ZodError } from "zod";
import { CallCounter } from "../faults/callCounter.js";
import { registerFaultHooks } from "../faults/faultHooks.js";
import { FaultSwitches } from "../faults/faultSwitches.js";
import { registerCredentialCheck } from "./credentialCheck.js";
import { registerRecorder, type RequestRecorder } from "./requestRecorder.js";

const maximumBodyBytes = 256 * 1024 * 1024;
const maximumObjectNameLength = 1_024;
const loopbackHost = "127.0.0.1";

/** Where a stand-in listens. */
export interface ListenOptions {
    /** IP address; 127.0.0.1 by default. */
    readonly host?: string;
    /** Port; absent or 0 lets the operating system choose one. */
    readonly port?: number;
}

/** A stand-in that runs in this process. */
export interface RunningStandIn {
    /** IP address and port that the stand-in listens on. */
    readonly address: string;
    /** The fault switches, which `POST /faults` also sets. */
    readonly switches: FaultSwitches;
    /** Stops listening and closes all connections. */
    close(): Promise<void>;
}

/** A server that isn't listening yet, with its fault switches and call counter. */
export interface StandInServer {
    readonly server: FastifyInstance;
    readonly switches: FaultSwitches;
    readonly counter: CallCounter;
}

/** Optional features of a server; their hooks run before the fault hooks. */
export interface StandInServerOptions {
    /** Records the requests and serves them at `GET /record`. */
    readonly recorder?: RequestRecorder;
    /** Bearer token that calls must carry. */
    readonly credential?: string;
}

/**
 * Builds an HTTP server with `POST /faults` and the fault hooks.
 *
 * @param options - Optional features.
 * @returns The server, which isn't listening yet.
 */
export function buildStandInServer(options: StandInServerOptions = {}): StandInServer {
    const server = fastify({
        bodyLimit: maximumBodyBytes,
        forceCloseConnections: true,
        routerOptions: { maxParamLength: maximumObjectNameLength },
    });
    const switches = new FaultSwitches();
    const counter = new CallCounter();
    server.setErrorHandler<FastifyError>((...[error, , reply]) => {
        const status = error instanceof ZodError ? 400 : (error.statusCode ?? 500);
        return reply.code(status).send({ message: error.message, executed: "no" });
    });
    if (options.recorder !== undefined) {
        registerRecorder(server, options.recorder);
    }
    registerCredentialCheck(server, options.credential);
    registerFaultHooks(server, { switches, counter });
    server.post("/faults", async (request) => {
        switches.setPlan(request.body as never);
        return { accepted: true };
    });
    return { server, switches, counter };
}

/**
 * Starts listening.
 *
 * @param standIn - Server and its fault switches.
 * @param options - Address to listen on.
 * @returns The running stand-in.
 */
export async function startListening(
    standIn: StandInServer,
    options: ListenOptions,
): Promise<RunningStandIn> {
    const { server, switches } = standIn;
    await server.listen({ host: options.host ?? loopbackHost, port: options.port ?? 0 });
    const { address, port } = server.server.address() as AddressInfo;
    return {
        address: `${address}:${port}`,
        switches,
        close: () => server.close(),
    };
}
