/**
 * A pool of connections to backend servers, by address.
 *
 * @packageDocumentation
 */
import { BackendConnection, type ConnectionObserver } from "./backendConnection.js";
import type { SocketOpener } from "./tcpOpener.js";

/** Options of a {@link ConnectionPool}. */
export interface ConnectionPoolOptions {
    readonly connectTimeoutMs: number;
    readonly idleConnectionTimeoutMs: number;
    /** Maximum number of idle connections kept per address. */
    readonly maximumIdleConnections: number;
    /** Receives what becomes of connections that are opened. */
    readonly observer?: ConnectionObserver;
    /** Opens sockets; the default opens TCP connections. */
    readonly openSocket?: SocketOpener | undefined;
}

/** Owns all connections to backend servers. */
export class ConnectionPool {
    private readonly idle = new Map<string, BackendConnection[]>();
    private readonly all = new Set<BackendConnection>();

    /** @param options - Timeouts and limits. */
    constructor(private readonly options: ConnectionPoolOptions) {}

    /**
     * Takes an idle connection for one request, or opens a new one.
     *
     * @param address - IP address and port.
     * @param mustBeNew - Whether the connection must be one that never carried a request.
     * @returns A connection without a request in flight.
     */
    acquireConnection(address: string, mustBeNew: boolean): BackendConnection {
        const idle = mustBeNew ? [] : (this.idle.get(address) ?? []);
        const usable = idle.filter(({ isUsable }) => isUsable);
        const connection = usable.findLast(({ isTrusted }) => isTrusted) ?? usable.at(-1);
        if (connection === undefined) {
            return this.createConnection(address);
        }
        this.removeIdle(connection);
        return connection;
    }

    /**
     * Returns a connection to the pool after a complete and valid response. In any other case the connection must be
     * closed instead.
     *
     * @param connection - The connection.
     */
    releaseConnection(connection: BackendConnection): void {
        connection.isTrusted = true;
        this.addIdle(connection);
    }

    /**
     * Opens a connection that waits in the pool for a request.
     *
     * @param address - IP address and port.
     */
    openIdleConnection(address: string): void {
        const connection = this.createConnection(address);
        connection.open(() => this.addIdle(connection));
    }

    /** Doubts all idle connections: they may have died with the links of this node. */
    clearConnectionTrust(): void {
        [...this.idle.values()].flat().forEach((connection) => (connection.isTrusted = false));
    }

    /**
     * Closes the idle connections to a server that are doubted.
     *
     * @param address - IP address and port.
     */
    closeDistrustedConnections(address: string): void {
        const idle = this.idle.get(address) ?? [];
        idle.filter(({ isTrusted }) => !isTrusted).forEach((connection) => connection.close());
    }

    /**
     * Checks whether an idle connection to a server is not doubted.
     *
     * @param address - IP address and port.
     * @returns Whether there is one.
     */
    hasTrustedConnection(address: string): boolean {
        return this.idle.get(address)?.some(({ isTrusted, isUsable }) => isTrusted && isUsable) ?? false;
    }

    private addIdle(connection: BackendConnection): void {
        const idle = this.idle.get(connection.address) ?? [];
        if (!connection.isUsable || idle.length >= this.options.maximumIdleConnections) {
            connection.close();
            return;
        }
        idle.push(connection);
        this.idle.set(connection.address, idle);
    }

    /**
     * Lists the established connections to a server, whether or not a request is in flight on them.
     *
     * @param address - IP address and port.
     * @returns The connections.
     */
    listOpenConnections(address: string): readonly BackendConnection[] {
        return [...this.all].filter((connection) => connection.address === address && connection.isOpen);
    }

    /** Closes all connections, including those with a request in flight. */
    close(): void {
        [...this.all].forEach((connection) => connection.close());
    }

    private createConnection(address: string): BackendConnection {
        const connection = new BackendConnection({
            address,
            connectTimeoutMs: this.options.connectTimeoutMs,
            idleConnectionTimeoutMs: this.options.idleConnectionTimeoutMs,
            observer: this.options.observer,
            openSocket: this.options.openSocket,
            onClosed: (closed) => this.removeConnection(closed),
        });
        this.all.add(connection);
        return connection;
    }

    private removeConnection(connection: BackendConnection): void {
        this.all.delete(connection);
        this.removeIdle(connection);
    }

    private removeIdle(connection: BackendConnection): void {
        const idle = this.idle.get(connection.address);
        const index = idle?.indexOf(connection) ?? -1;
        if (index >= 0) {
            idle?.splice(index, 1);
        }
        if (idle?.length === 0) {
            this.idle.delete(connection.address);
        }
    }
}
