/**
 * One request to one backend server and its response.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import type { AttemptFailure, AttemptFailureType } from "./attemptFailure.js";
import { isFramedAnswer, type BackendConnection, type ConnectionPool } from "@pimentocleat/upstream";

const requestIdHeader = "x-request-id";
const millisecondsPerSecond = 1_000;

/** A request to a backend server. */
export interface ExchangeRequest {
    /** IP address and port. */
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer | undefined;
    /** Value of `x-request-id`, which the response must echo; unique for each attempt. */
    readonly attemptId: string;
    /** Maximum time without data from the backend server, in milliseconds. */
    readonly answerTimeoutMs: number;
    /** Whether to open a new connection that carries only this request. */
    readonly usesNewConnection: boolean;
    /** Statuses that, together with `x-executed: no`, mean that the server did not run the request. */
    readonly rejectionStatuses: ReadonlySet<number>;
}

/**
 * Receives the response of an exchange. The last call is `onEnd`, or `onFailure` when the exchange fails;
 * when `onEnd` finds the response invalid, `onFailure` follows it.
 */
export interface ExchangeReceiver {
    /**
     * Receives status and headers of a response that belongs to the request and is not a rejection.
     *
     * @returns Why the response counts as a failure, or undefined to read it.
     */
    onHead(status: number, headers: IncomingHttpHeaders): string | undefined;
    /**
     * Receives a chunk of the body.
     *
     * @returns Why the response is not valid, or undefined to continue.
     */
    onData(chunk: Buffer): string | undefined;
    /**
     * Receives the end of the response.
     *
     * @returns Why the response is not valid, or undefined when it is valid.
     */
    onEnd(): string | undefined;
    /** Receives the failure that ends the exchange. */
    onFailure(failure: AttemptFailure): void;
}

const failureTypesByErrorCode: Readonly<Record<string, AttemptFailureType>> = {
    UND_ERR_HEADERS_TIMEOUT: "timedOut",
    UND_ERR_BODY_TIMEOUT: "timedOut",
    UND_ERR_CONNECT_TIMEOUT: "connectFailed",
    UND_ERR_RES_CONTENT_LENGTH_MISMATCH: "invalidAnswer",
};

/** Sends a request over a connection that carries no other request until the response is complete. */
export class Exchange {
    private readonly connection: BackendConnection;
    private controller: Dispatcher.DispatchController | undefined;
    private ended = false;
    /** Whether the response marks its own end; otherwise it ends with the connection. */
    private isFramed = true;

    /**
     * @param request - The request to send.
     * @param receiver - Receives the response.
     * @param connections - Pool that provides the connection.
     */
    constructor(
        private readonly request: ExchangeRequest,
        private readonly receiver: ExchangeReceiver,
        private readonly connections: ConnectionPool,
    ) {
        this.connection = connections.acquireConnection(request.address, request.usesNewConnection);
    }

    /** Sends the request. */
    start(): void {
        const { method, path, headers, body, attemptId, answerTimeoutMs, usesNewConnection } = this.request;
        this.connection.dispatchRequest(
            {
                method: method as Dispatcher.HttpMethod,
                path,
                headers: { ...headers, [requestIdHeader]: attemptId },
                body,
                idempotent: false,
                reset: usesNewConnection,
                headersTimeout: answerTimeoutMs,
                bodyTimeout: answerTimeoutMs,
            },
            {
                onRequestStart: (controller) => {
                    this.controller = controller;
                },
                onResponseStart: (controller, status, headers) =>
                    this.handleHead(controller, status, headers),
                onResponseData: (controller, chunk) => this.handleData(controller, chunk),
                onResponseEnd: () => this.handleEnd(),
                onResponseError: (...[, error]) => this.handleError(error),
            },
        );
    }

    /** Pauses reading the response until {@link Exchange.startReading} is called. */
    stopReading(): void {
        this.controller?.pause();
    }

    /** Resumes reading the response. */
    startReading(): void {
        this.controller?.resume();
    }

    /**
     * Checks whether a byte of the request may have reached the backend server.
     *
     * @returns True once a byte was written to the socket.
     */
    hasSentBytes(): boolean {
        return this.connection.hasSentBytes();
    }

    /**
     * Ends the exchange by destroying its connection, which makes the backend server stop its work.
     *
     * @param message - Reason, for traces and logs.
     */
    cancel(message: string): void {
        this.finishWithFailure("cancelled", message);
    }

    private handleHead(
        controller: Dispatcher.DispatchController,
        status: number,
        headers: IncomingHttpHeaders,
    ): void {
        this.controller = controller;
        if (status < 200 || this.ended) {
            return;
        }
        this.isFramed = isFramedAnswer(status, headers);
        if (headers[requestIdHeader] !== this.request.attemptId) {
            this.finishWithFailure("mismatched", "the answer does not echo the request's identifier");
            return;
        }
        if (this.request.rejectionStatuses.has(status) && headers["x-executed"] === "no") {
            this.finishWithFailure(
                "rejected",
                `status ${status}, not run`,
                parseRetryAfter(headers["retry-after"]),
            );
            return;
        }
        const failure = this.receiver.onHead(status, headers);
        if (failure !== undefined) {
            this.finishWithFailure("failedStatus", failure);
        }
    }

    private handleData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.controller = controller;
        if (this.ended) {
            return;
        }
        const fault = this.receiver.onData(chunk);
        if (fault !== undefined) {
            this.finishWithFailure("invalidAnswer", fault);
        }
    }

    private handleEnd(): void {
        if (this.isFramed) {
            this.finishAnswer();
            return;
        }
        void this.connection.checkCleanClose().then((isClean) => {
            if (isClean) {
                this.finishAnswer();
            } else {
                this.finishWithFailure(
                    "connectionLost",
                    "the connection was reset within an answer without a length",
                );
            }
        });
    }

    private finishAnswer(): void {
        if (this.ended) {
            return;
        }
        const fault = this.receiver.onEnd();
        if (fault !== undefined) {
            this.finishWithFailure("invalidAnswer", fault);
            return;
        }
        this.ended = true;
        if (this.request.usesNewConnection) {
            this.connection.close();
        } else {
            this.connections.releaseConnection(this.connection);
        }
    }

    private handleError(error: Error): void {
        const code = (error as { code?: string }).code ?? "";
        const sent = this.connection.hasSentBytes();
        const type = failureTypesByErrorCode[code] ?? (sent ? "connectionLost" : "connectFailed");
        this.finishWithFailure(type, error.message);
    }

    /** Ends the exchange with a failure and resets the connection. */
    private finishWithFailure(type: AttemptFailureType, message: string, retryAfterMs?: number): void {
        if (this.ended) {
            return;
        }
        this.ended = true;
        const sent = this.connection.hasSentBytes();
        this.connection.abort();
        this.receiver.onFailure({ type, sent, message, retryAfterMs });
    }
}

function parseRetryAfter(value: string | undefined): number | undefined {
    const seconds = Number(value ?? Number.NaN);
    return Number.isFinite(seconds) && seconds >= 0 ? seconds * millisecondsPerSecond : undefined;
}
