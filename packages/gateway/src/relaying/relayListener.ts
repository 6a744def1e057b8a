/**
 * Listens for requests of other nodes to relay.
 *
 * @packageDocumentation
 */
import { randomUUID } from "node:crypto";
import type { FastifyInstance } from "fastify";
import { buildRelayServer, type RelayServerOptions } from "./relayServer.js";

/** Owns the listener and the secret that other nodes present. */
export class RelayListener {
    /** Secret of this process, which its registration tells the other nodes. */
    readonly key = randomUUID();
    private server: FastifyInstance | undefined;

    /**
     * Starts to listen. Other nodes do without this one when that fails.
     *
     * @param host - IP address.
     * @param port - TCP port.
     * @param options - This node's links and what it knows of the servers.
     */
    async start(host: string, port: number, options: Omit<RelayServerOptions, "key">): Promise<void> {
        this.server = buildRelayServer({ ...options, key: this.key });
        try {
            await this.server.listen({ host, port });
        } catch (error) {
            options.logger.writeEvent("relayUnavailable", { host, port, reason: String(error) });
        }
    }

    /** Closes the listener and its connections. */
    async close(): Promise<void> {
        this.server?.server.closeAllConnections();
        await this.server?.close();
    }
}
