/**
 * The ways of a request to a backend server: over this node's own links, or through another node that reaches the server.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import type { RelayObstacle, RelaySearch } from "@pimentocleat/policy";
import type { Metrics } from "@pimentocleat/telemetry";
import type { ConnectionPool } from "@pimentocleat/upstream";
import type { RegisteredServer } from "../backends/backendServer.js";
import type { DirectPaths } from "../backends/directPaths.js";
import type { NamedPeer } from "../peers/peerDirectory.js";
import {
    BackendExchange,
    type Exchange,
    type ExchangeFailure,
    type ExchangeReceiver,
} from "../dispatch/backendExchange.js";
import { RelayExchange } from "./relayExchange.js";
import type { RelayPeer, RelayPeers } from "./relayPeers.js";

/** A request in the form in which a server gets it. */
export interface ServerCall {
    readonly requestId: string;
    readonly method: string;
    readonly path: string;
    /** Alternating names and values. */
    readonly headers: string[];
    readonly body: Buffer | undefined;
}

/** A way to a server. */
export interface ServerPath {
    /** The node that relays; undefined for a direct path. */
    readonly relay: NamedPeer | undefined;
    /**
     * Opens an exchange, which is to be started at once.
     *
     * @param call - The request.
     * @param receiver - Receives the response.
     * @returns The exchange.
     */
    openExchange(call: ServerCall, receiver: ExchangeReceiver): Exchange;
}

/** Options of {@link ServerPaths}. */
export interface ServerPathsOptions {
    readonly direct: DirectPaths;
    readonly connections: ConnectionPool;
    readonly relays: RelayPeers;
    /** Connections to other nodes. */
    readonly relayConnections: ConnectionPool;
    readonly metrics: Metrics;
}

/** Chooses the way of each attempt. */
export class ServerPaths {
    /** @param options - The links of this node, and the nodes that relay. */
    constructor(private readonly options: ServerPathsOptions) {}

    /**
     * Chooses the way to a server.
     *
     * @param server - The server.
     * @param search - The nodes that the request has asked.
     * @returns The direct path, unless another node may reach the server and this node does not, or not for this request.
     */
    choosePath(server: RegisteredServer, search: RelaySearch): ServerPath {
        const { direct, connections, relays } = this.options;
        const isDirect = direct.isUsable(server) && !search.isRelayPreferred();
        const node = isDirect ? undefined : relays.chooseNode(search, server.id);
        return node === undefined
            ? new DirectPath(server, direct, connections)
            : new RelayPath(server, node, search, this.options);
    }

    /**
     * Records that an attempt got no data. If no server was heard of meanwhile, the next attempt goes through another node:
     * on the same links it could be lost as well.
     *
     * @param path - The way of the attempt.
     * @param search - The nodes that the request has asked.
     */
    recordSilence(path: ServerPath, search: RelaySearch): void {
        if (path.relay === undefined && this.options.direct.isSilent()) {
            this.options.relays.recordSilentLinks(search);
        }
    }

    /**
     * Checks whether a request can go through another node.
     *
     * @param server - The server to which it is to go.
     * @param search - The nodes that the request has asked.
     * @returns Whether there is one.
     */
    hasRelay(server: RegisteredServer, search: RelaySearch): boolean {
        return this.options.relays.chooseNode(search, server.id) !== undefined;
    }

    /**
     * Checks whether a request has asked enough other nodes.
     *
     * @param search - The nodes that it has asked.
     * @returns Whether it has.
     */
    isExhausted(search: RelaySearch): boolean {
        return this.options.relays.isExhausted(search);
    }
}

/** The way over this node's own links. */
export class DirectPath implements ServerPath {
    readonly relay = undefined;

    constructor(
        private readonly server: RegisteredServer,
        private readonly direct: DirectPaths,
        private readonly connections: ConnectionPool,
    ) {}

    openExchange(call: ServerCall, receiver: ExchangeReceiver): Exchange {
        const { server, direct, connections } = this;
        const watched = new WatchedReceiver(receiver, direct);
        const exchange = new BackendExchange({ ...call, connections, address: server.address }, watched);
        if (exchange.isOnKeptConnection()) {
            watched.stopWatch = direct.watchSilence(server);
        }
        return exchange;
    }
}

/** Tells from the response that a server is reached. */
class WatchedReceiver implements ExchangeReceiver {
    stopWatch: () => void = () => undefined;

    constructor(
        private readonly receiver: ExchangeReceiver,
        private readonly direct: DirectPaths,
    ) {}

    onHead(status: number, headers: IncomingHttpHeaders): void {
        this.recordHeard();
        this.receiver.onHead(status, headers);
    }

    onData(chunk: Buffer): void {
        this.recordHeard();
        this.receiver.onData(chunk);
    }

    onEnd(trailers: IncomingHttpHeaders): void {
        this.receiver.onEnd(trailers);
    }

    onFailure(failure: ExchangeFailure): void {
        this.stopWatch();
        this.receiver.onFailure(failure);
    }

    private recordHeard(): void {
        this.stopWatch();
        this.direct.recordHeard();
    }
}

/** The way through another node. */
class RelayPath implements ServerPath {
    constructor(
        private readonly server: RegisteredServer,
        readonly relay: RelayPeer,
        private readonly search: RelaySearch,
        private readonly options: ServerPathsOptions,
    ) {}

    openExchange(call: ServerCall, receiver: ExchangeReceiver): Exchange {
        const { relays, relayConnections: connections, metrics } = this.options;
        const { relay: node, search, server } = this;
        relays.recordAsked(node, search);
        metrics.addCount("request.relayed", 1, { role: "sender" });
        const onFinished = (obstacle: RelayObstacle | undefined): void => {
            relays.recordEnded(node.name);
            if (obstacle !== undefined) {
                relays.recordDeclined(node, obstacle);
            }
        };
        const onRelayed = (): void => relays.recordRelayed(node, search, server.id);
        const { id: serverId, softwareVersion } = server;
        return new RelayExchange(
            { ...call, connections, node, serverId, softwareVersion, onRelayed, onFinished },
            receiver,
        );
    }
}
