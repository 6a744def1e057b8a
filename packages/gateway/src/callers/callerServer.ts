/**
 * The HTTP servers for callers and for the load balancer's readiness checks.
 *
 * @packageDocumentation
 */
import type { Duplex } from "node:stream";
import { fastify, type FastifyInstance, type FastifyReply, type FastifyRequest } from "fastify";
import type { Logger, Metrics } from "@pimentocleat/telemetry";
import { ErrorKind, RouterError, type Clock } from "@pimentocleat/types";
import type { RequestRunner } from "../dispatch/requestRunner.js";
import { buildDrainingError } from "../dispatch/runState.js";
import { CallerAnswer } from "./callerAnswer.js";
import type { CallerConnections } from "./callerConnections.js";
import type { CallerProtocol } from "./callerProtocol.js";
import type { RequestAdmission } from "./requestAdmission.js";
import { RequestBodies } from "./requestBody.js";
import { withoutSchemas } from "./withoutSchemas.js";

/** Options of {@link buildCallerServer}. */
export interface CallerServerOptions {
    readonly protocol: CallerProtocol;
    readonly admission: RequestAdmission;
    readonly runner: RequestRunner;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** The callers' connections, and what they may hold together. */
    readonly connections: CallerConnections;
    /** Whether responses carry `connection: close`, so that callers open another connection. */
    readonly isDraining: () => boolean;
    /** Whether new requests are refused, because the node could not finish them before it stops. */
    readonly isRefusing: () => boolean;
    /** Called with 1 when a request starts and with -1 when it ends. */
    readonly onActiveChange: (change: 1 | -1) => void;
}

/** Hard limit on the size of a request head, in bytes; the configured limit is lower. */
const maximumHeaderBytes = 65_536;
/** Hard limit on the size of a request body, in bytes; the configured limit is lower. */
const maximumBodyBytes = 8 * 1_024 * 1_024;
/** Maximum time in which a caller must send a request head, in milliseconds. */
const headersTimeoutMs = 10_000;
/** Maximum time in which a caller must send a complete request, in milliseconds. */
const requestTimeoutMs = 60_000;
/** Idle timeout of caller connections until a configuration sets it, in milliseconds. */
const initialKeepAliveMs = 60_000;
/** All requests are rewritten to this path, so one handler serves them; the original path is forwarded unchanged. */
const internalPath = "/";

/**
 * Builds the server for callers; it does not listen yet.
 *
 * @param options - Protocol, admission, runner and recorders that the server uses.
 * @returns The server.
 */
export function buildCallerServer(options: CallerServerOptions): FastifyInstance {
    const server = fastify({
        ...withoutSchemas,
        logger: false,
        bodyLimit: maximumBodyBytes,
        requestTimeout: requestTimeoutMs,
        keepAliveTimeout: initialKeepAliveMs,
        exposeHeadRoutes: false,
        rewriteUrl: () => internalPath,
        http: { maxHeaderSize: maximumHeaderBytes, headersTimeout: headersTimeoutMs, noDelay: true },
        clientErrorHandler: (error, socket) => refuseMalformedRequest(options, error, socket),
    });
    const { connections } = options;
    connections.follow(server.server);
    const bodies = new RequestBodies({ maximumBytes: maximumBodyBytes, connections });
    bodies.addParser(server);
    const arrivals = new WeakMap<FastifyRequest, number>();
    server.addHook("onRequest", async (request) => {
        arrivals.set(request, options.clock.monotonicMs());
    });
    server.setErrorHandler((error, request, reply) => {
        const connection = connections.findConnection(request.raw);
        const isUnread = !request.raw.complete;
        if (isUnread) {
            connection?.refuseRest();
        }
        const answer = new CallerAnswer(reply.raw, () => isUnread || options.isDraining(), connection);
        reply.hijack();
        sendRefusal(options, request, answer, convertError(error), readTimeoutMs(options, request));
    });
    server.all(internalPath, (request, reply) => {
        reply.hijack();
        const arrivedMs = arrivals.get(request) ?? options.clock.monotonicMs();
        void serveRequest(options, request, reply, arrivedMs).finally(() => bodies.releaseBody(request.raw));
    });
    return server;
}

async function serveRequest(
    options: CallerServerOptions,
    request: FastifyRequest,
    reply: FastifyReply,
    arrivedMs: number,
): Promise<void> {
    const connection = options.connections.findConnection(request.raw);
    const answer = new CallerAnswer(reply.raw, options.isDraining, connection);
    await connection?.waitForPlace(reply.raw);
    let deadlineMs = arrivedMs;
    options.onActiveChange(1);
    try {
        const head = options.protocol.readHead(request.raw, request.originalUrl);
        const body = Buffer.isBuffer(request.body) ? request.body : undefined;
        deadlineMs = arrivedMs + (head.timeoutMs ?? 0);
        if (options.isRefusing()) {
            throw buildDrainingError();
        }
        const admitted = options.admission.checkRequest(head, body, arrivedMs);
        await options.runner.runRequest(admitted, answer);
    } catch (error) {
        const remainingMs = deadlineMs - options.clock.monotonicMs();
        sendRefusal(options, request, answer, convertError(error), remainingMs);
    } finally {
        // Nothing else would end a response that is still open here.
        answer.abort();
        options.onActiveChange(-1);
    }
}

function sendRefusal(
    options: CallerServerOptions,
    request: FastifyRequest,
    answer: CallerAnswer,
    error: RouterError,
    remainingMs: number,
): void {
    const header = request.headers["x-request-id"];
    const requestId = typeof header === "string" ? header : undefined;
    const { kind, executed, message } = error;
    options.metrics.addCount("request.refused", 1, { kind });
    options.logger.writeEvent("requestRefused", { requestId, kind, executed, message });
    if (kind === ErrorKind.Internal) {
        options.logger.writeEvent("unexpectedError", { requestId, message: String(error.cause) });
    }
    const refusal = options.protocol.formatRefusal(error, requestId, remainingMs);
    if (answer.isStarted) {
        answer.abort();
        return;
    }
    answer.sendComplete(refusal.status, refusal.headers, Buffer.from(refusal.body));
}

/** Reads the time that the caller gives its request, in milliseconds; 0 when the head names none. */
function readTimeoutMs({ protocol }: CallerServerOptions, request: FastifyRequest): number {
    try {
        return protocol.readHead(request.raw, request.originalUrl).timeoutMs ?? 0;
    } catch {
        return 0;
    }
}

function convertError(error: unknown): RouterError {
    if (error instanceof RouterError) {
        return error;
    }
    return new RouterError(ErrorKind.Internal, undefined, { cause: error });
}

/** Responds to data that cannot be parsed as an HTTP request, and closes the connection. */
function refuseMalformedRequest(
    options: CallerServerOptions,
    error: Error & { code?: string },
    socket: Duplex,
): void {
    const status =
        error.code === "HPE_HEADER_OVERFLOW" ? "431 Request Header Fields Too Large" : "400 Bad Request";
    options.logger.writeEvent("callerConnectionBroken", { reason: error.code ?? error.message });
    if (!socket.writable || error.code === "ECONNRESET" || error.code === "ERR_HTTP_REQUEST_TIMEOUT") {
        socket.destroy();
        return;
    }
    const response = `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`;
    const connection = options.connections.findBySocket(socket);
    if (connection === undefined) {
        socket.end(response, () => socket.destroy());
    } else {
        connection.refuseRest();
        connection.closeAnswered(response);
    }
}
