/**
 * The server of the operator interface.
 *
 * @packageDocumentation
 */
import { createHash, timingSafeEqual } from "node:crypto";
import type { AddressInfo } from "node:net";
import type { ConnectRouter } from "@connectrpc/connect";
import { fastifyConnectPlugin } from "@connectrpc/connect-fastify";
import { OperatorService } from "@pimentocleat/schema";
import type { Logger } from "@pimentocleat/telemetry";
import { fastify, type FastifyInstance } from "fastify";
import type { OperatorBackend } from "./operatorBackend.js";
import { buildOperatorService } from "./operatorService.js";

const maximumMessageBytes = 8 * 1024 * 1024;
const requestTimeoutMs = 30_000;

/** Options of {@link OperatorServer}. */
export interface OperatorServerOptions {
    readonly backend: OperatorBackend;
    /** The bearer token that every call must carry. */
    readonly credential: string;
    readonly logger: Logger;
}

/** Serves the operator interface on its own address to callers that present the operator credential. */
export class OperatorServer {
    private readonly server: FastifyInstance;

    /** @param options - The node to control, the credential and the logger. */
    constructor(private readonly options: OperatorServerOptions) {
        this.server = fastify({ bodyLimit: maximumMessageBytes, requestTimeout: requestTimeoutMs });
    }

    /**
     * Starts listening.
     *
     * @param host - IP address.
     * @param port - Port; 0 lets the system choose.
     * @returns The address in use, as IP address and port.
     */
    async open(host: string, port: number): Promise<string> {
        const { backend, logger } = this.options;
        this.server.addHook("onRequest", async (request, reply) => {
            if (!this.isAuthorized(request.headers.authorization)) {
                logger.writeEvent("operatorRefused", { address: request.ip });
                return reply.code(401).send({
                    code: "unauthenticated",
                    message: "the operator credential is missing or wrong",
                });
            }
            return undefined;
        });
        await this.server.register(fastifyConnectPlugin, {
            routes: (router: ConnectRouter) =>
                void router.service(OperatorService, buildOperatorService({ backend, logger })),
            readMaxBytes: maximumMessageBytes,
        });
        await this.server.listen({ host, port });
        const address = this.server.server.address() as AddressInfo;
        return `${address.address}:${String(address.port)}`;
    }

    /** Stops listening and waits for running calls to end. */
    async close(): Promise<void> {
        await this.server.close();
    }

    private isAuthorized(header: string | undefined): boolean {
        const given = header?.startsWith("Bearer ") ? header.slice("Bearer ".length) : "";
        return timingSafeEqual(computeDigest(given), computeDigest(this.options.credential));
    }
}

/** Computes a digest of fixed length, so that the comparison takes the same time for every text. */
function computeDigest(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}
