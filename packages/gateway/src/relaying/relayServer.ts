/**
 * Sends requests of other nodes, which don't reach a backend server themselves, to that server over this node's own links.
 *
 * @packageDocumentation
 */
import { timingSafeEqual } from "node:crypto";
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { fastify, type FastifyInstance, type FastifyRequest } from "fastify";
import type { Logger, Metrics } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import type { ConnectionPool } from "@pimentocleat/upstream";
import { isOwnResponse, type BackendProtocol } from "../backends/backendProtocol.js";
import type { RegisteredServer } from "../backends/backendServer.js";
import type { DirectPaths } from "../backends/directPaths.js";
import type { ServerDirectory } from "../backends/serverDirectory.js";
import type { ServerNotices } from "../backends/serverNotices.js";
import { CallerConnections } from "../callers/callerConnections.js";
import { RequestBodies } from "../callers/requestBody.js";
import { withoutSchemas } from "../callers/withoutSchemas.js";
import type { Evacuations } from "../configuration/evacuations.js";
import type { Exchange, ExchangeFailure, ExchangeReceiver } from "../dispatch/backendExchange.js";
import { isServerGone } from "../dispatch/isServerGone.js";
import {
    hasResponseBody,
    relayHeaders,
    selectResponseHeaders,
    selectServerHeaders,
    type RelayEnd,
    type RelayLinkFault,
    type RelayResult,
} from "./relayProtocol.js";
import { DirectPath } from "./serverPaths.js";

/** Options of {@link buildRelayServer}. */
export interface RelayServerOptions {
    /** Secret that a node must present. */
    readonly key: string;
    readonly directory: ServerDirectory;
    readonly notices: ServerNotices;
    readonly evacuations: Evacuations;
    readonly paths: DirectPaths;
    readonly connections: ConnectionPool;
    readonly protocol: BackendProtocol;
    readonly clock: WaitingClock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Whether this node stops and takes no requests of other nodes any more. */
    readonly isStopping: () => boolean;
    /** Called with 1 when a request starts and with -1 when it ends. */
    readonly onActiveChange: (change: 1 | -1) => void;
}

/** Maximum number of requests of other nodes at the same time; each holds its body in memory. */
const maximumRelayed = 64;
/** Hard limit on the size of a request body, in bytes. */
const maximumBodyBytes = 8 * 1_024 * 1_024;
/** Maximum size of all bodies that are held at the same time, in bytes. */
const maximumHeldBytes = 16 * 1_024 * 1_024;
/** Hard limit on the size of a request head, in bytes. */
const maximumHeaderBytes = 65_536;
/** Maximum time in which a node must send the head of a request, in milliseconds. */
const headersTimeoutMs = 2_000;
/** Maximum time in which a node must send a complete request, in milliseconds. */
const requestTimeoutMs = 5_000;
/** Idle timeout of connections; longer than the sender's, so that it never sends on one that is being closed. */
const keepAliveMs = 20_000;
/** All requests are rewritten to this path, so one handler serves them; the original path is passed on unchanged. */
const internalPath = "/";
const notSentStatus = 503;
const lostStatus = 502;

/**
 * Builds the server for requests of other nodes; it does not listen yet.
 *
 * @param options - This node's links and what it knows of the servers.
 * @returns The server.
 */
export function buildRelayServer(options: RelayServerOptions): FastifyInstance {
    const server = fastify({
        ...withoutSchemas,
        logger: false,
        bodyLimit: maximumBodyBytes,
        requestTimeout: requestTimeoutMs,
        keepAliveTimeout: keepAliveMs,
        exposeHeadRoutes: false,
        rewriteUrl: () => internalPath,
        http: { maxHeaderSize: maximumHeaderBytes, headersTimeout: headersTimeoutMs, noDelay: true },
    });
    const load = new RelayLoad(options);
    const connections = new CallerConnections({
        ...options,
        maximumConnections: Number.POSITIVE_INFINITY,
        maximumShared: maximumRelayed,
        maximumBytes: maximumHeldBytes,
    });
    connections.follow(server.server);
    const bodies = new RequestBodies({ maximumBytes: maximumBodyBytes, connections });
    bodies.addParser(server);
    // Before the body is read, so that nobody without the key makes this node hold one.
    server.addHook("onRequest", async (request) => {
        if (!isEqualSecret(readHeader(request.headers[relayHeaders.key]), options.key)) {
            options.logger.writeEvent("relayRefused", { reason: "the key does not fit" });
            request.raw.socket.destroy();
        }
    });
    server.all(internalPath, (request, reply) => {
        reply.hijack();
        reply.raw.once("close", () => bodies.releaseBody(request.raw));
        const target = options.directory.findServer(readHeader(request.headers[relayHeaders.server]));
        const softwareVersion = readHeader(request.headers[relayHeaders.softwareVersion]);
        const unable = findUnable(options, load, target) ?? findOtherVersion(target, softwareVersion);
        if (target === undefined || unable !== undefined) {
            writeFailure(reply.raw, unable ?? unknownServer);
            return;
        }
        new RelayedRequest(options, request, reply.raw, target, load).start();
    });
    return server;
}

interface UnableReason {
    readonly result: RelayResult;
    readonly reason: string;
    readonly linkFault?: RelayLinkFault;
}

const unknownServer: UnableReason = { result: "serverUnable", reason: "the server is not registered" };

/** Counts the requests that are relayed and the bytes of their bodies. */
class RelayLoad {
    private count = 0;
    private heldBytes = 0;

    constructor(private readonly options: RelayServerOptions) {}

    isFull(): boolean {
        return this.count >= maximumRelayed || this.heldBytes >= maximumHeldBytes;
    }

    add(bytes: number): void {
        this.count += 1;
        this.heldBytes += bytes;
        this.options.onActiveChange(1);
    }

    remove(bytes: number): void {
        this.count -= 1;
        this.heldBytes -= bytes;
        this.options.onActiveChange(-1);
    }
}

function findUnable(
    options: RelayServerOptions,
    load: RelayLoad,
    server: RegisteredServer | undefined,
): UnableReason | undefined {
    if (options.isStopping()) {
        return { result: "nodeUnable", reason: "the node is stopping" };
    }
    if (load.isFull()) {
        return { result: "nodeUnable", reason: "the node relays too many requests" };
    }
    const ready = options.directory.listReadyServers(server?.service ?? "");
    if (server === undefined || !ready.some(({ id }) => id === server.id)) {
        return { result: "serverUnable", reason: "the server is not ready" };
    }
    if (!options.evacuations.isOpen(server.dataCentre)) {
        return { result: "serverUnable", reason: "the data centre of the server is evacuated" };
    }
    if (options.notices.computePauseMs(server) > 0) {
        return { result: "serverUnable", reason: "the server asked for a pause" };
    }
    if (!options.paths.isUsable(server)) {
        return buildUnreachable(options.paths, "the server cannot be reached");
    }
    return undefined;
}

/** Streams go on only at the version that began them, so both nodes must know the same one. */
function findOtherVersion(
    server: RegisteredServer | undefined,
    softwareVersion: string,
): UnableReason | undefined {
    const known = server?.softwareVersion === undefined ? "" : encodeURIComponent(server.softwareVersion);
    return softwareVersion === "" || softwareVersion === known
        ? undefined
        : { result: "serverUnable", reason: "the server is registered with another software version" };
}

/** Nodes of earlier releases read the result alone, and try another server if this node reaches others. */
function buildUnreachable(paths: DirectPaths, reason: string): UnableReason {
    return paths.isInTouch()
        ? { result: "serverUnable", linkFault: "unreached", reason }
        : { result: "nodeUnable", linkFault: "apart", reason };
}

/** One request of another node. */
class RelayedRequest implements ExchangeReceiver {
    private readonly exchange: Exchange;
    private readonly body: Buffer | undefined;
    private readonly sentMs: number;
    private hasEnded = false;
    private hasBody = true;

    constructor(
        private readonly options: RelayServerOptions,
        private readonly request: FastifyRequest,
        private readonly response: ServerResponse,
        private readonly server: RegisteredServer,
        private readonly load: RelayLoad,
    ) {
        this.body = Buffer.isBuffer(request.body) ? request.body : undefined;
        this.sentMs = options.clock.monotonicMs();
        this.exchange = new DirectPath(server, options.paths, options.connections).openExchange(
            {
                requestId: readHeader(request.headers[relayHeaders.requestId]),
                method: request.method,
                path: request.originalUrl,
                headers: selectServerHeaders(request.raw.rawHeaders),
                body: this.body,
            },
            this,
        );
    }

    start(): void {
        this.load.add(this.body?.length ?? 0);
        this.options.metrics.addCount("request.relayed", 1, { role: "relay" });
        this.response.once("close", () => {
            this.exchange.cancel();
            this.finish();
        });
        this.exchange.start();
    }

    onHead(status: number, headers: IncomingHttpHeaders): void {
        const { protocol, notices } = this.options;
        const requestId = readHeader(this.request.headers[relayHeaders.requestId]);
        const meaning = protocol.selectMeaning(status, headers, { head: { requestId } });
        if (isOwnResponse(meaning)) {
            // The node that sent the request tells of a rejection.
            const notice = { ...protocol.readNotice(status, headers), hasNoRoom: false };
            notices.recordNotice(this.server, notice, this.sentMs);
        }
        this.hasBody = hasResponseBody(this.request.method, status);
        this.response.sendDate = false;
        this.response.writeHead(status, {
            ...selectResponseHeaders(headers),
            [relayHeaders.result]: "answer" satisfies RelayResult,
            ...(this.hasBody ? { trailer: relayHeaders.end } : {}),
        });
        this.response.flushHeaders();
        if (meaning !== "answer" && meaning !== "unconfirmedRefusal") {
            // The sender needs no body. A server may repeat such a response, so its connection carries no other request.
            this.exchange.cancel();
            this.finishResponse(meaning === "mismatched" ? "failed" : "complete");
        }
    }

    onData(chunk: Buffer): void {
        if (!this.response.write(chunk)) {
            this.exchange.stopReading();
            this.response.once("drain", () => this.exchange.startReading());
        }
    }

    onEnd(): void {
        this.finishResponse("complete");
    }

    onFailure({ message, sent, isServerLost }: ExchangeFailure): void {
        if (!sent) {
            writeFailure(this.response, buildUnreachable(this.options.paths, message));
            return;
        }
        void this.findKind(isServerLost).then((kind) => {
            if (this.response.headersSent) {
                this.finishResponse(kind);
            } else {
                writeFailure(this.response, { result: kind, reason: message });
            }
        });
    }

    private async findKind(isServerLost: boolean): Promise<"serverLost" | "failed"> {
        const { connections, clock } = this.options;
        const isGone = isServerLost && (await isServerGone(connections, this.server.address, clock));
        return isGone ? "serverLost" : "failed";
    }

    private finishResponse(end: RelayEnd): void {
        if (this.hasBody) {
            this.response.addTrailers({ [relayHeaders.end]: end });
        }
        this.response.end();
    }

    private finish(): void {
        if (!this.hasEnded) {
            this.hasEnded = true;
            this.load.remove(this.body?.length ?? 0);
        }
    }
}

function writeFailure(response: ServerResponse, { result, reason, linkFault }: UnableReason): void {
    const isSent = result === "serverLost" || result === "failed";
    const headers = {
        [relayHeaders.result]: result,
        [relayHeaders.reason]: encodeURIComponent(reason),
        ...(linkFault === undefined ? {} : { [relayHeaders.linkFault]: linkFault }),
        "content-length": "0",
    };
    response.writeHead(isSent ? lostStatus : notSentStatus, headers).end();
}

function readHeader(value: string | string[] | undefined): string {
    return (Array.isArray(value) ? value[0] : value) ?? "";
}

function isEqualSecret(given: string, expected: string): boolean {
    const [left, right] = [Buffer.from(given), Buffer.from(expected)];
    return left.length === right.length && timingSafeEqual(left, right);
}
