/**
 * The connections of all callers of a node, and what they may hold together.
 *
 * @packageDocumentation
 */
import type { IncomingMessage, Server } from "node:http";
import type { Duplex } from "node:stream";
import type { Socket } from "node:net";
import { ConnectionLedger, ConnectionPlaces, ReadTurns } from "@pimentocleat/policy";
import type { Metrics } from "@pimentocleat/telemetry";
import type { Clock } from "@pimentocleat/types";
import { BlockPool } from "./bodyBlocks.js";
import { BufferReclaimer } from "./bufferReclaimer.js";
import { CallerConnection, type SharedConnections } from "./callerConnection.js";

/** Options of {@link CallerConnections}. */
export interface CallerConnectionsOptions {
    readonly clock: Clock;
    readonly metrics: Metrics;
    /** Maximum number of open connections. */
    readonly maximumConnections: number;
    /** Number of running requests from which on only one may run on a connection. */
    readonly maximumShared: number;
    /** Number of bytes that all connections may hold together. */
    readonly maximumBytes: number;
}

/** Size of buffers that are in use beside what the connections hold, in bytes. */
const spareBufferBytes = 4 * 1_024 * 1_024;

/** Follows the connections of an HTTP server. */
export class CallerConnections {
    /** Where the bodies of requests are collected. */
    readonly blocks: BlockPool;
    private readonly connections = new WeakMap<Duplex, CallerConnection>();
    private readonly shared: SharedConnections;

    /** @param options - Limits and recorders. */
    constructor(private readonly options: CallerConnectionsOptions) {
        this.blocks = new BlockPool(options.maximumBytes);
        const reclaimer = new BufferReclaimer(options.maximumBytes + spareBufferBytes);
        this.shared = {
            reclaimer,
            ledger: new ConnectionLedger(options),
            places: new ConnectionPlaces(options),
            turns: new ReadTurns(setImmediate),
            requests: { maximumShared: options.maximumShared, running: 0 },
        };
    }

    /** @param server - The server whose connections are followed from now on. */
    follow(server: Server): void {
        server.on("connection", (socket) => this.addConnection(socket));
        server.prependListener("request", (request, response) =>
            this.findConnection(request)?.recordRequest(request, response),
        );
    }

    /**
     * Finds the connection of a request.
     *
     * @param message - The request.
     * @returns The connection; undefined when it has closed.
     */
    findConnection({ socket }: Pick<IncomingMessage, "socket">): CallerConnection | undefined {
        return this.findBySocket(socket);
    }

    /**
     * Finds a connection.
     *
     * @param socket - Its socket.
     * @returns The connection; undefined when it was refused.
     */
    findBySocket(socket: Duplex): CallerConnection | undefined {
        return this.connections.get(socket);
    }

    private addConnection(socket: Socket): void {
        const connection = new CallerConnection(socket, this.shared);
        if (this.shared.places.tryAdd(connection)) {
            this.connections.set(socket, connection);
        } else {
            this.options.metrics.addCount("connection.refused", 1);
            socket.destroy();
        }
    }
}
