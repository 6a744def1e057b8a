/**
 * One HTTP request and its response on one connection to a backend server.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import type { RelayObstacle } from "@pimentocleat/policy";
import {
    isFramedAnswer,
    isMalformedAnswer,
    isOwnClose,
    type BackendConnection,
    type ConnectionPool,
} from "@pimentocleat/upstream";
import type { Dispatcher } from "undici";

/** The request of a {@link BackendExchange}. */
export interface ExchangeOptions {
    readonly connections: ConnectionPool;
    /** IP address and port. */
    readonly address: string;
    readonly method: string;
    readonly path: string;
    /** Alternating header names and values. */
    readonly headers: string[];
    readonly body: Buffer | undefined;
}

/** Receives the response; the last call is one of `onEnd` and `onFailure`, exactly once. */
export interface ExchangeReceiver {
    onHead(status: number, headers: IncomingHttpHeaders): void;
    onData(chunk: Buffer): void;
    onEnd(trailers: IncomingHttpHeaders): void;
    onFailure(failure: ExchangeFailure): void;
}

/** Why an exchange failed. */
export interface ExchangeFailure {
    readonly message: string;
    /** Whether a byte of the request may have reached the server. */
    readonly sent: boolean;
    /** Whether the server ended the connection; false when this node did, or when the server sent bytes that are no response. */
    readonly isServerLost: boolean;
    /** Why the node that was to relay the request did not send it; undefined on a direct path or when it did. */
    readonly obstacle: RelayObstacle | undefined;
}

/** A request and its response. */
export interface Exchange {
    /** Sends the request. */
    start(): void;
    /** Stops reading until {@link Exchange.startReading}. */
    stopReading(): void;
    /** Resumes reading. */
    startReading(): void;
    /** @returns Whether a byte of the request may have left this node. */
    hasSentBytes(): boolean;
    /** @returns Whether the request goes over a connection that was opened before; only valid before it is sent. */
    isOnKeptConnection(): boolean;
    /** Ends the exchange without a call to the receiver; closing the connection makes the server stop. */
    cancel(): void;
}

const headMethod = "HEAD";

/** Sends a request and receives its response. */
export class BackendExchange implements Exchange {
    private readonly connection: BackendConnection;
    private controller: Dispatcher.DispatchController | undefined;
    private hasEnded = false;
    private isFramed = true;
    /** Whether only a body shows that an answer came: a success whose head does not mark where it ends. */
    private needsBody = false;

    /**
     * @param options - The request and its destination.
     * @param receiver - Receives the response.
     */
    constructor(
        private readonly options: ExchangeOptions,
        private readonly receiver: ExchangeReceiver,
    ) {
        this.connection = options.connections.acquireConnection(options.address, false);
    }

    start(): void {
        const { method, path, headers, body } = this.options;
        this.connection.dispatchRequest(
            {
                method: method as Dispatcher.HttpMethod,
                path,
                headers,
                body,
                idempotent: false,
                headersTimeout: 0,
                bodyTimeout: 0,
            },
            {
                onRequestStart: (controller) => {
                    this.controller = controller;
                },
                onResponseStart: (controller, status, answerHeaders) => {
                    this.controller = controller;
                    if (status >= 200 && !this.hasEnded) {
                        this.isFramed = isFramedAnswer(status, answerHeaders);
                        this.needsBody = !this.isFramed && status < 300 && this.options.method !== headMethod;
                        this.receiver.onHead(status, answerHeaders);
                    }
                },
                onResponseData: (controller, chunk) => {
                    this.controller = controller;
                    if (!this.hasEnded) {
                        this.needsBody = false;
                        this.receiver.onData(chunk);
                    }
                },
                onResponseEnd: (...[, trailers]) => this.handleEnd(trailers),
                onResponseError: (...[, error]) => this.handleError(error),
            },
        );
    }

    stopReading(): void {
        this.controller?.pause();
    }

    startReading(): void {
        this.controller?.resume();
    }

    hasSentBytes(): boolean {
        return this.connection.hasSentBytes();
    }

    isOnKeptConnection(): boolean {
        return this.connection.isOpen;
    }

    cancel(): void {
        if (!this.hasEnded) {
            this.hasEnded = true;
            this.connection.abort();
        }
    }

    private handleEnd(trailers: IncomingHttpHeaders): void {
        if (this.hasEnded) {
            return;
        }
        if (this.isFramed) {
            this.finishAnswer(trailers);
            return;
        }
        if (this.needsBody) {
            this.handleError(new Error("the connection ended after a head that marks no end"));
            return;
        }
        void this.connection.checkCleanClose().then((isClean) => {
            if (isClean && !this.hasEnded) {
                this.finishAnswer(trailers);
            } else {
                this.handleError(new Error("the connection was reset within an answer without a length"));
            }
        });
    }

    private finishAnswer(trailers: IncomingHttpHeaders): void {
        this.hasEnded = true;
        this.options.connections.releaseConnection(this.connection);
        this.receiver.onEnd(trailers);
    }

    private handleError(error: Error): void {
        if (this.hasEnded) {
            return;
        }
        this.hasEnded = true;
        const sent = this.connection.hasSentBytes();
        this.connection.abort();
        const isServerLost = !isMalformedAnswer(error) && !isOwnClose(error);
        this.receiver.onFailure({ message: error.message, sent, isServerLost, obstacle: undefined });
    }
}
