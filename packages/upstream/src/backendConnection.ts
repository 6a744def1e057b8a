/**
 * One TCP connection to a backend server. It carries one request at a time and never reconnects,
 * so that the HTTP client cannot send a request a second time.
 *
 * @packageDocumentation
 */
import type { Socket } from "node:net";
import { Client, type buildConnector, type Dispatcher } from "undici";
import { setReadLimit } from "./readLimit.js";
import { buildTcpOpener, type SocketOpener } from "./tcpOpener.js";
import {
    BoundedHandler,
    maximumAnswerBytes,
    maximumHeadBytes,
    maximumHeadReadBytes,
} from "./unboundedAnswer.js";

/** Servers ignore an empty line before a request line (RFC 9112, section 2.2). */
const ignoredLineBreak = "\r\n";

/** Receives what becomes of connections that are opened. */
export interface ConnectionObserver {
    /** @param address - IP address and port to which a connection was opened. */
    onOpened(address: string): void;
    /**
     * @param address - IP address and port to which no connection could be opened.
     * @param reason - Why.
     */
    onOpenFailed(address: string, reason: string): void;
    /** @param address - IP address and port of a server that closed or reset a connection. */
    onLost?(address: string): void;
}

/** Options of a {@link BackendConnection}. */
export interface BackendConnectionOptions {
    /** IP address and port of the backend server. */
    readonly address: string;
    readonly connectTimeoutMs: number;
    readonly idleConnectionTimeoutMs: number;
    readonly observer?: ConnectionObserver | undefined;
    /** Opens the socket; the default opens a TCP connection. */
    readonly openSocket?: SocketOpener | undefined;
    /** Called when the connection is closed. */
    readonly onClosed: (connection: BackendConnection) => void;
}

/** The error of a request on a connection that is already closed. */
export class ConnectionClosedError extends Error {
    readonly code = "PIMENTOCLEAT_CONNECTION_CLOSED";

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
    /** The socket of a connection that was opened before its first request. */
    private waitingSocket: Socket | undefined;
    private currentAnswer: BoundedHandler | undefined;
    /** Whether the connection has carried a response since its pool last doubted its connections. */
    isTrusted = true;

    /** @param options - Address, timeouts and the close callback. */
    constructor(private readonly options: BackendConnectionOptions) {
        this.address = options.address;
        this.connect = options.openSocket ?? buildTcpOpener(options.connectTimeoutMs);
        this.client = new Client(`http://${options.address}`, {
            pipelining: 1,
            maxHeaderSize: maximumHeadBytes,
            maxResponseSize: maximumAnswerBytes,
            keepAliveTimeout: options.idleConnectionTimeoutMs,
            keepAliveMaxTimeout: options.idleConnectionTimeoutMs,
            connect: (connectOptions, callback) => this.openOnce(connectOptions, callback),
        });
        this.client.on("disconnect", (...[, , error]) => this.handleDisconnect(error));
    }

    /** Whether the connection can carry another request. */
    get isUsable(): boolean {
        return !this.isClosed && !(this.socket?.destroyed ?? false);
    }

    /** Whether the connection to the server is established. */
    get isOpen(): boolean {
        return !this.isClosed && this.socket !== undefined && !this.socket.destroyed;
    }

    /**
     * Checks whether a byte of the current request may have left this process.
     *
     * @returns True once a byte is in the socket's buffer or was passed to the operating system.
     */
    hasSentBytes(): boolean {
        return (this.socket?.bytesWritten ?? 0) > this.bytesWrittenBefore;
    }

    /**
     * Checks whether the server closed the connection without a reset. A response without a length ends when its
     * connection closes, and the operating system reports a reset that arrives together with data as a clean
     * close; only a write reveals the reset. This method writes a line break, which servers ignore before a
     * request. It must be called in the tick in which the response ended.
     *
     * @returns False when the connection was reset, which means that the response is incomplete.
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
     * Sends a request. The caller must ensure that no other request is in flight.
     *
     * @param request - The request.
     * @param handler - Receives the response.
     */
    dispatchRequest(request: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
        this.bytesWrittenBefore = this.socket?.bytesWritten ?? 0;
        this.currentAnswer = new BoundedHandler(handler, () => this.socket?.bytesRead ?? 0);
        this.client.dispatch(request, this.currentAnswer);
    }

    /**
     * Opens the connection before its first request.
     *
     * @param onOpened - Called when the connection is established; it is not called when that fails.
     */
    open(onOpened: () => void): void {
        const [hostname = "", port = ""] = this.address.split(":");
        this.openOnce({ hostname, port, host: this.address, protocol: "http:" }, (...[, opened]) => {
            const socket = opened ?? undefined;
            if (socket === undefined || this.isClosed) {
                socket?.destroy();
                this.close();
                return;
            }
            this.waitingSocket = socket;
            socket.on("readable", this.closeWaiting).once("close", this.closeWaiting);
            onOpened();
        });
    }

    /**
     * Closes the connection because its request is given up. The reset keeps the operating system from going on to send
     * the request, which a server would run after a partition.
     */
    abort(): void {
        if (this.isOpen) {
            this.socket?.resetAndDestroy();
        }
        this.close();
    }

    /** Closes the connection immediately; a request in flight fails. */
    close(): void {
        if (this.isClosed) {
            return;
        }
        this.isClosed = true;
        this.options.onClosed(this);
        this.client.destroy().catch(() => {});
        this.socket?.destroy();
    }

    /** A server sends nothing before a request; what becomes readable is the end of the connection. */
    private readonly closeWaiting = (): void => {
        this.close();
        this.options.observer?.onLost?.(this.address);
    };

    private handleDisconnect(error: Error & { readonly code?: string }): void {
        const isLost = !this.isClosed && this.socket !== undefined && !isOwnClose(error);
        this.close();
        if (isLost) {
            this.options.observer?.onLost?.(this.address);
        }
    }

    private openOnce(options: buildConnector.Options, callback: buildConnector.Callback): void {
        const { waitingSocket } = this;
        if (waitingSocket !== undefined) {
            this.waitingSocket = undefined;
            // The HTTP client does not expect a socket before this call has returned.
            queueMicrotask(() => {
                waitingSocket.off("readable", this.closeWaiting).off("close", this.closeWaiting);
                this.watchFraming(waitingSocket);
                (callback as unknown as (error: undefined, socket: Socket) => void)(undefined, waitingSocket);
            });
            return;
        }
        if (this.isOpened) {
            (callback as unknown as (error: Error) => void)(new ConnectionClosedError());
            return;
        }
        this.isOpened = true;
        this.connect(options, (...result) => {
            this.socket = result[1] ?? undefined;
            if (this.socket !== undefined) {
                setReadLimit(
                    this.socket,
                    () => this.currentAnswer?.computeMaximumReadBytes() ?? maximumHeadReadBytes,
                );
            }
            this.reportOpening(result[0] ?? undefined);
            if (this.socket !== undefined && this.currentAnswer !== undefined) {
                this.watchFraming(this.socket);
            }
            callback(...result);
        });
    }

    private watchFraming(socket: Socket): void {
        socket.on("readable", () => this.currentAnswer?.checkFraming());
    }

    private reportOpening(error: Error | undefined): void {
        const { observer, address } = this.options;
        if (error === undefined) {
            observer?.onOpened(address);
        } else {
            observer?.onOpenFailed(address, error.message);
        }
    }
}

/** The HTTP client reports with these codes that it has closed the connection itself. */
const ownCloseCodes: ReadonlySet<string> = new Set(["UND_ERR_INFO", "UND_ERR_ABORTED", "UND_ERR_DESTROYED"]);

/**
 * Checks whether a connection ended because this node closed it.
 *
 * @param error - Error of the request or of the connection.
 * @returns Whether it did; its server has done nothing then.
 */
export function isOwnClose({ code }: Error & { readonly code?: string }): boolean {
    return ownCloseCodes.has(code ?? "");
}
