/**
 * One TCP connection to a backend server. It carries one request at a time and never reconnects,
 * so that the HTTP client cannot send a request a second time.
 *
 * @packageDocumentation
 */
import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher } from "undici";

const ignoredLineBreak = "\r\n";

/** Options of a {@link BackendConnection}. */
export interface BackendConnectionOptions {
    /** IP address and port of the backend server. */
    readonly address: string;
    readonly connectTimeoutMs: number;
    readonly idleConnectionTimeoutMs: number;
    /** Called when the connection is gone. */
    readonly onClosed: (connection: BackendConnection) => void;
}

/** The error of a connection that was used after its end. */
export class ConnectionClosedError extends Error {
    readonly code = "PIMENTOCLEAT_CONNECTION_CLOSED";

    /** Builds the error with its fixed message. */
    constructor() {
        super("the connection is closed and does not reconnect");
        this.name = "ConnectionClosedError";
    }
}

/** A connection that is opened by its first request. */
export class BackendConnection {
    readonly address: string;
    private readonly client: Client;
    private readonly connect: buildConnector.connector;
    private socket: Socket | undefined;
    private isOpened = false;
    private isClosed = false;
    private bytesWrittenBefore = 0;

    /** @param options - Address, timeouts and the receiver of the end. */
    constructor(private readonly options: BackendConnectionOptions) {
        this.address = options.address;
        // A connection that the server has closed stays writable for checkOrderlyEnd.
        this.connect = buildConnector({ timeout: options.connectTimeoutMs, allowHalfOpen: true });
        this.client = new Client(`http://${options.address}`, {
            pipelining: 1,
            keepAliveTimeout: options.idleConnectionTimeoutMs,
            keepAliveMaxTimeout: options.idleConnectionTimeoutMs,
            connect: (connectOptions, callback) => this.openOnce(connectOptions, callback),
        });
        this.client.on("disconnect", () => this.close());
    }

    /** Whether the connection can carry another request. */
    get isUsable(): boolean {
        return !this.isClosed && !(this.socket?.destroyed ?? false);
    }

    /**
     * Whether a byte of the current request may have left this process.
     *
     * @returns True once the operating system or the socket's buffer has a byte.
     */
    hasSentBytes(): boolean {
        return (this.socket?.bytesWritten ?? 0) > this.bytesWrittenBefore;
    }

    /**
     * Tells whether the server closed the connection in order. An answer without a length ends with its
     * connection, and the system reports a reset that arrives together with data as an end in order; only a
     * write shows the difference. The line break that is written is one that servers skip before a request.
     * To be called in the tick in which the answer ended.
     *
     * @returns False when the connection was reset, so that the answer is not complete.
     */
    checkCleanClose(): Promise<boolean> {
        const { socket } = this;
        if (socket === undefined || socket.destroyed) {
            return Promise.resolve(false);
        }
        return new Promise((resolve) => {
            socket.write(ignoredLineBreak, (error) => resolve(!error));
        });
    }

    /**
     * Sends a request; the caller takes care that only one is in flight.
     *
     * @param request - The request.
     * @param handler - Receives the answer.
     */
    dispatchRequest(request: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
        this.bytesWrittenBefore = this.socket?.bytesWritten ?? 0;
        this.client.dispatch(request, handler);
    }

    /** Ends the connection at once; its request fails. */
    close(): void {
        if (this.isClosed) {
            return;
        }
        this.isClosed = true;
        this.options.onClosed(this);
        this.client.destroy().catch(() => {});
        this.socket?.destroy();
    }

    private openOnce(options: buildConnector.Options, callback: buildConnector.Callback): void {
        if (this.isOpened) {
            (callback as unknown as (error: Error) => void)(new ConnectionClosedError());
            return;
        }
        this.isOpened = true;
        this.connect(options, (...result) => {
            this.socket = result[1] ?? undefined;
            callback(...result);
        });
    }
}
