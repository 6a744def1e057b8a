/**
 * Connects what leads requests to backend servers: this node's own links and the other nodes.
 *
 * @packageDocumentation
 */
import { ServerReach } from "@pimentocleat/policy";
import type { Logger, Metrics } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import { ConnectionPool, type SocketOpener } from "@pimentocleat/upstream";
import { DirectPaths } from "../backends/directPaths.js";
import type { PeerDirectory } from "../peers/peerDirectory.js";
import { RelayPeers } from "../relaying/relayPeers.js";
import { ServerPaths } from "../relaying/serverPaths.js";

/** Options of {@link createServerPaths}. */
export interface ServerPathsWiring {
    readonly dataCentre: string;
    readonly clock: WaitingClock;
    readonly random: () => number;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly peers: PeerDirectory;
    /** Called with the address of a server that closed or reset a connection. */
    readonly onServerConnectionLost: (address: string) => void;
    /** Opens sockets to backend servers; the default opens TCP connections. */
    readonly openServerSocket?: SocketOpener | undefined;
}

/** The ways from this node to backend servers. */
export interface ServerConnections {
    /** Connections to backend servers. */
    readonly connections: ConnectionPool;
    /** Connections to other nodes, over which they relay requests. */
    readonly relayConnections: ConnectionPool;
    readonly direct: DirectPaths;
    readonly paths: ServerPaths;
}

/** Timeout for opening a connection to a backend server, in milliseconds; a healthy server takes a few. */
const connectTimeoutMs = 400;
/** Timeout for opening a connection to another node, in milliseconds; another one is asked then. */
const relayConnectTimeoutMs = 200;
/** Idle timeout of a connection, unless the other side sets a shorter one, in milliseconds. */
const idleConnectionTimeoutMs = 8_000;
/** Maximum number of idle connections that a node keeps to one backend server or node. */
const maximumIdleConnections = 16;

/**
 * Creates the ways of a node.
 *
 * @param options - The node and its peers.
 * @returns The ways.
 */
export function createServerPaths(options: ServerPathsWiring): ServerConnections {
    const { dataCentre, clock, random, logger, metrics, peers, openServerSocket } = options;
    const direct: DirectPaths = new DirectPaths({
        reach: new ServerReach(clock),
        clock,
        logger,
        connectTimeoutMs,
        onLost: options.onServerConnectionLost,
        getConnections: () => connections,
    });
    const connections = new ConnectionPool({
        connectTimeoutMs,
        idleConnectionTimeoutMs,
        maximumIdleConnections,
        observer: direct,
        openSocket: openServerSocket,
    });
    const relayConnections = new ConnectionPool({
        connectTimeoutMs: relayConnectTimeoutMs,
        idleConnectionTimeoutMs,
        maximumIdleConnections,
    });
    const relays = new RelayPeers({
        dataCentre,
        clock,
        random,
        listNodes: () => peers.listNodes(),
        isSilent: (name) => peers.isSilent(name),
        findNode: (name) => peers.findNode(name),
    });
    const paths = new ServerPaths({ direct, connections, relays, relayConnections, metrics });
    return { connections, relayConnections, direct, paths };
}
