/**
 * The server of the peer interface.
 *
 * @packageDocumentation
 */
import type { ConnectRouter, ServiceImpl } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { PeerService } from "@pimentocleat/schema";
import { createServer, type Http2Server, type ServerHttp2Session } from "node:http2";
import type { AddressInfo, Socket } from "node:net";
import { createCallVerifier, type PeerAuthenticationOptions } from "./peerAuthentication.js";

/** Maximum size of a peer's message, in bytes; limits what an unauthenticated sender can make the node read. */
const maximumMessageBytes = 4 * 1024 * 1024;

/** Options of a {@link PeerServer}. */
export interface PeerServerOptions {
    readonly authentication: PeerAuthenticationOptions;
    readonly service: ServiceImpl<typeof PeerService>;
}

/** Serves peers' calls over HTTP/2 without TLS. */
export class PeerServer {
    private readonly server: Http2Server;
    private readonly sessions = new Set<ServerHttp2Session>();
    private readonly sockets = new Set<Socket>();
    private closedSessionBytes = 0;

    /** @param options - Authentication and the implementation of the calls. */
    constructor(options: PeerServerOptions) {
        const adapter = connectNodeAdapter({
            routes: (router: ConnectRouter) => void router.service(PeerService, options.service),
            interceptors: [createCallVerifier(options.authentication)],
            readMaxBytes: maximumMessageBytes,
        });
        this.server = createServer(adapter);
        this.server.on("connection", (socket: Socket) => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
        });
        this.server.on("session", (session) => {
            this.sessions.add(session);
            session.socket.once("close", () => this.removeSession(session));
            session.on("error", () => session.destroy());
        });
    }

    /**
     * Starts listening.
     *
     * @param host - IP address.
     * @param port - Port; 0 lets the system choose.
     * @returns The address in use, as IP address and port.
     */
    open(host: string, port: number): Promise<string> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, () => {
                this.server.off("error", reject);
                resolve(`${host}:${(this.server.address() as AddressInfo).port}`);
            });
        });
    }

    /** @returns Bytes received and sent on all connections accepted so far. */
    countBytes(): number {
        const openBytes = [...this.sessions].map(countSessionBytes);
        return openBytes.reduce((sum, bytes) => sum + bytes, this.closedSessionBytes);
    }

    /** Stops listening and closes all connections. */
    close(): Promise<void> {
        // A GOAWAY frame would make the client library of an idle peer emit an error that no code can catch.
        this.sockets.forEach((socket) => socket.destroy());
        return new Promise((resolve) => {
            this.server.close(() => resolve());
        });
    }

    private removeSession(session: ServerHttp2Session): void {
        this.closedSessionBytes += countSessionBytes(session);
        this.sessions.delete(session);
    }
}

function countSessionBytes(session: ServerHttp2Session): number {
    const { socket } = session;
    return socket === undefined ? 0 : (socket.bytesRead ?? 0) + (socket.bytesWritten ?? 0);
}
