/**
 * Clients of peers over connect-es.
 *
 * @packageDocumentation
 */
import { createClient, type Client } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { PeerService } from "@pimentocleat/schema";
import { createCallSigner, type PeerAuthenticationOptions } from "./peerAuthentication.js";

/** Time after which idle connections are closed, so that random probes do not keep one open to every node. */
const idleConnectionTimeoutMs = 30_000;

/** A typed client of one peer. */
export type PeerClient = Client<typeof PeerService>;

/** Holds one client per address. */
export class PeerClients {
    private readonly clients = new Map<string, PeerClient>();

    /** @param authentication - Secret and clock. */
    constructor(private readonly authentication: PeerAuthenticationOptions) {}

    /**
     * Returns the client of a peer.
     *
     * @param address - IP address and port of the peer.
     * @returns The client; it connects with its first call.
     */
    getClient(address: string): PeerClient {
        const known = this.clients.get(address);
        if (known !== undefined) {
            return known;
        }
        const transport = createConnectTransport({
            httpVersion: "2",
            baseUrl: `http://${address}`,
            idleConnectionTimeoutMs,
            interceptors: [createCallSigner(this.authentication)],
        });
        const client = createClient(PeerService, transport);
        this.clients.set(address, client);
        return client;
    }

    /**
     * Removes the clients of addresses that are no longer used.
     *
     * @param addresses - Addresses to keep.
     */
    removeUnusedClients(addresses: ReadonlySet<string>): void {
        for (const address of this.clients.keys()) {
            if (!addresses.has(address)) {
                this.clients.delete(address);
            }
        }
    }
}
