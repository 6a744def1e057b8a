/**
 * One request to one backend server and its answer.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import type { AttemptFailure, AttemptFailureType } from "./attemptFailure.js";
import { isFramedAnswer, type BackendConnection, type ConnectionPool } from "@pimentocleat/upstream";

const requestIdHeader = "x-request-id";
const millisecondsPerSecond = 1_000;
/** What is sent to a backend server. */
export interface ExchangeRequest {
    /** IP address and port. */
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer | undefined;
    /** Identifier that the answer has to echo; unique for each try. */
    readonly attemptId: string;
    /** Longest silence of the backend server, in milliseconds. */
    readonly answerTimeoutMs: number;
    /** Whether to open a connection of its own, used once. */
    readonly usesNewConnection: boolean;
    /** Statuses that, with `x-executed: no`, only say that the server did not run the request. */
    readonly rejectionStatuses: ReadonlySet<number>;
}

/** Receives the answer of an exchange. Exactly one of `onEnd` and `onFailure` is called last. */
export interface ExchangeReceiver {
    /**
     * Receives status and headers of an answer that belongs to the request and is not a rejection.
     *
     * @returns Why the status is a failure, or undefined when the answer is wanted.
     */
    onHead(status: number, headers: IncomingHttpHeaders): string | undefined;
    /**
     * Receives a part of the body.
     *
     * @returns Why the answer is not valid, or undefined to go on.
     */
    onData(chunk: Buffer): string | undefined;
    /**
     * Receives the end of the answer.
     *
     * @returns Why the answer is not valid, or undefined when it is.
     */
    onEnd(): string | undefined;
    onFailure(failure: AttemptFailure): void;
}

const failureTypesByErrorCode: Readonly<Record<string, AttemptFailureType>> = {
    UND_ERR_HEADERS_TIMEOUT: "timedOut",
    UND_ERR_BODY_TIMEOUT: "timedOut",
    UND_ERR_CONNECT_TIMEOUT: "connectFailed",
    UND_ERR_RES_CONTENT_LENGTH_MISMATCH: "invalidAnswer",
};

/** Sends a request over a connection that carries nothing else until the answer is complete. */
export class Exchange {
    private readonly connection: BackendConnection;
    private controller: Dispatcher.DispatchController | undefined;
    private ended = false;
    private isFramed = true;

    /**
     * @param request - What to send.
     * @param receiver - Receives the answer.
     * @param connections - Gives the connection.
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
        const {
            method,
            path,
            headers,
            body,
            attemptId: wireId,
            answerTimeoutMs,
            usesNewConnection: fresh,
        } = this.request;
        this.connection.dispatchRequest(
            {
                method: method as Dispatcher.HttpMethod,
                path,
                headers: { ...headers, [requestIdHeader]: wireId },
                body,
                idempotent: false,
                reset: fresh,
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

    /** Stops reading until {@link Exchange.startReading}. */
    stopReading(): void {
        this.controller?.pause();
    }

    /** Goes on reading. */
    startReading(): void {
        this.controller?.resume();
    }

    /**
     * Whether a byte of the request may have reached the backend server.
     *
     * @returns True once a byte was handed to the socket.
     */
    hasSentBytes(): boolean {
        return this.connection.hasSentBytes();
    }

    /**
     * Ends the exchange by destroying its connection, which tells the backend server to stop.
     *
     * @param message - Why.
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
        const refused = this.receiver.onHead(status, headers);
        if (refused !== undefined) {
            this.finishWithFailure("failedStatus", refused);
        }
    }

    private handleData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.controller = controller;
        if (this.ended) {
            return;
        }
        const invalid = this.receiver.onData(chunk);
        if (invalid !== undefined) {
            this.finishWithFailure("invalidAnswer", invalid);
        }
    }

    private handleEnd(): void {
        if (this.isFramed) {
            this.finishAnswer();
            return;
        }
        void this.connection.checkCleanClose().then((isOrderly) => {
            if (isOrderly) {
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
        const invalid = this.receiver.onEnd();
        if (invalid !== undefined) {
            this.finishWithFailure("invalidAnswer", invalid);
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

    /** Ends the exchange as failed and destroys the connection. */
    private finishWithFailure(type: AttemptFailureType, message: string, retryAfterMs?: number): void {
        if (this.ended) {
            return;
        }
        this.ended = true;
        const sent = this.connection.hasSentBytes();
        this.connection.close();
        this.receiver.onFailure({ type, sent, message, retryAfterMs });
    }
}

function parseRetryAfter(value: string | undefined): number | undefined {
    const seconds = Number(value ?? Number.NaN);
    return Number.isFinite(seconds) && seconds >= 0 ? seconds * millisecondsPerSecond : undefined;
}
