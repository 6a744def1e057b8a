/**
 * The HTTP server that callers reach.
 *
 * @packageDocumentation
 */
import { randomUUID } from "node:crypto";
import type { Duplex } from "node:stream";
import { fastify, type FastifyInstance, type FastifyReply, type FastifyRequest } from "fastify";
import type { Logger, Metrics } from "@pimentocleat/telemetry";
import { ErrorKind, RouterError } from "@pimentocleat/types";
import { convertToRouterError, formatError, type FormattedError } from "../errors/formatError.js";
import type { WorkCounter } from "../lifecycle/workCounter.js";
import type { NodeLimits } from "../limits/nodeLimits.js";
import type { RequestHandler } from "./requestHandler.js";
import type { AdmittedRequest, RequestRouter } from "./requestRouter.js";

const maximumPathLength = 8_192;
const connectionsCheckIntervalMs = 500;
const reasonPhrases: Readonly<Record<number, string>> = {
    400: "Bad Request",
    408: "Request Timeout",
    431: "Request Header Fields Too Large",
};

/** Options of the caller server. */
export interface CallerServerOptions {
    readonly router: RequestRouter;
    readonly handler: RequestHandler;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly limits: NodeLimits;
    readonly isReady: () => boolean;
    readonly isDraining: () => boolean;
    /** Counts the answers that are not yet handed to the operating system in full. */
    readonly pendingAnswers: WorkCounter;
}

/**
 * Builds the server; it does not listen yet.
 *
 * @param options - The parts behind it.
 * @returns The server.
 */
export function buildCallerServer(options: CallerServerOptions): FastifyInstance {
    const admitted = new WeakMap<FastifyRequest, AdmittedRequest>();
    const server = createServer(options);
    server.removeAllContentTypeParsers();
    server.addContentTypeParser(
        "*",
        { parseAs: "buffer" },
        async (...parameters: [FastifyRequest, Buffer]) => parameters[1],
    );
    server.addHook("onRequest", async (request, reply) => {
        options.pendingAnswers.addWork();
        reply.raw.once("close", () => options.pendingAnswers.removeWork());
        reply.header("x-request-id", request.id);
        if (options.isDraining()) {
            reply.header("connection", "close");
        }
    });
    server.setErrorHandler((error, request, reply) => sendError(options, error, request, reply));
    server.setNotFoundHandler(async () => {
        throw new RouterError(ErrorKind.MethodNotAllowed);
    });
    server.get("/healthz", async () => ({ status: "ok" }));
    server.get("/readyz", async (...[, reply]) => sendReadiness(options, reply));
    server.all(
        "*",
        {
            onRequest: async (request) => {
                const { id, method, raw, headers } = request;
                const head = { requestId: id, method, url: raw.url ?? "", headers };
                admitted.set(request, options.router.resolveHead(head));
            },
        },
        (request, reply) => {
            const admittedRequest = admitted.get(request)!;
            admitted.delete(request);
            return options.handler.handleRequest(admittedRequest, request, reply);
        },
    );
    return server;
}

function createServer(options: CallerServerOptions): FastifyInstance {
    const { limits } = options;
    return fastify({
        logger: false,
        genReqId: () => randomUUID(),
        bodyLimit: limits.maximumBodyBytes,
        requestTimeout: limits.requestTimeoutMs,
        keepAliveTimeout: limits.keepAliveMs,
        exposeHeadRoutes: false,
        routerOptions: { maxParamLength: maximumPathLength },
        http: {
            maxHeaderSize: limits.maximumHeaderBytes,
            headersTimeout: limits.headersTimeoutMs,
            connectionsCheckingInterval: connectionsCheckIntervalMs,
            noDelay: true,
        },
        frameworkErrors: (error, request, reply) => {
            void sendError(options, error, request as FastifyRequest, reply as unknown as FastifyReply);
        },
        clientErrorHandler: (error, socket) => refuseUnparsedRequest(options, error, socket),
    });
}

function sendError(
    options: CallerServerOptions,
    thrown: unknown,
    request: FastifyRequest,
    reply: FastifyReply,
): FastifyReply {
    const error = convertToRouterError(thrown);
    recordRefusal(options, error, request.id);
    const { status, headers, body } = formatError(error, request.id);
    return reply.code(status).headers(headers).send(body);
}

/** Answers bytes that never became a request: broken syntax, too large headers, slow senders. */
function refuseUnparsedRequest(options: CallerServerOptions, thrown: Error, socket: Duplex): void {
    if (!socket.writable || (thrown as { code?: string }).code === "ECONNRESET") {
        socket.destroy();
        return;
    }
    const requestId = randomUUID();
    const error = convertToRouterError(thrown);
    recordRefusal(options, error, requestId);
    socket.end(formatRawAnswer(formatError(error, requestId)), () => socket.destroy());
}

function formatRawAnswer(answer: FormattedError): string {
    const { status, body } = answer;
    const headers = {
        ...answer.headers,
        connection: "close",
        "content-length": String(Buffer.byteLength(body)),
    };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    return `HTTP/1.1 ${status} ${reasonPhrases[status] ?? "Error"}\r\n${lines.join("")}\r\n${body}`;
}

function recordRefusal(options: CallerServerOptions, error: RouterError, requestId: string): void {
    const { kind, executed } = error;
    options.metrics.addCount("request.refused", 1, { kind });
    options.logger.writeEvent("requestRefused", { requestId, kind, executed });
    if (kind === ErrorKind.Internal) {
        options.logger.writeEvent("unexpectedError", { requestId, message: String(error.cause) });
    }
}

function sendReadiness(options: CallerServerOptions, reply: FastifyReply): FastifyReply {
    const ready = options.isReady();
    return reply.code(ready ? 200 : 503).send({ ready });
}
