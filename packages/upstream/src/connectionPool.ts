/**
 * Idle connections to backend servers, by address.
 *
 * @packageDocumentation
 */
import { BackendConnection } from "./backendConnection.js";

/** Options of a {@link ConnectionPool}. */
export interface ConnectionPoolOptions {
    readonly connectTimeoutMs: number;
    readonly idleConnectionTimeoutMs: number;
    /** Idle connections kept for one address. */
    readonly maximumIdleConnections: number;
}

/** Owns all connections to backend servers. */
export class ConnectionPool {
    private readonly idle = new Map<string, BackendConnection[]>();
    private readonly all = new Set<BackendConnection>();

    /** @param options - Timeouts and bounds. */
    constructor(private readonly options: ConnectionPoolOptions) {}

    /**
     * Takes a connection for one request.
     *
     * @param address - IP address and port.
     * @param fresh - Whether it must be a new connection that never carried a request.
     * @returns A connection without a request in flight.
     */
    acquireConnection(address: string, fresh: boolean): BackendConnection {
        const idle = fresh ? undefined : this.idle.get(address);
        let connection = idle?.pop();
        while (connection !== undefined && !connection.isUsable) {
            connection = idle?.pop();
        }
        return connection ?? this.openConnection(address);
    }

    /**
     * Gives a connection back after a complete and valid answer. Any other connection has to be
     * destroyed instead.
     *
     * @param connection - The connection.
     */
    releaseConnection(connection: BackendConnection): void {
        const idle = this.idle.get(connection.address) ?? [];
        if (!connection.isUsable || idle.length >= this.options.maximumIdleConnections) {
            connection.close();
            return;
        }
        idle.push(connection);
        this.idle.set(connection.address, idle);
    }

    /** Ends all connections, also those with a request in flight. */
    close(): void {
        [...this.all].forEach((connection) => connection.close());
    }

    private openConnection(address: string): BackendConnection {
        const connection = new BackendConnection({
            address,
            connectTimeoutMs: this.options.connectTimeoutMs,
            idleConnectionTimeoutMs: this.options.idleConnectionTimeoutMs,
            onClosed: (closed) => this.removeConnection(closed),
        });
        this.all.add(connection);
        return connection;
    }

    private removeConnection(connection: BackendConnection): void {
        this.all.delete(connection);
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
