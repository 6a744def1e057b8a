/**
 * One HTTP request to a backend server and its response, through another node.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import type { RelayObstacle } from "@pimentocleat/policy";
import type { ConnectionPool } from "@pimentocleat/upstream";
import {
    BackendExchange,
    type Exchange,
    type ExchangeFailure,
    type ExchangeReceiver,
} from "../dispatch/backendExchange.js";
import {
    hasResponseBody,
    relayHeaders,
    relayLinkFaultSchema,
    relayResultSchema,
    selectResponseHeaders,
    type RelayResult,
} from "./relayProtocol.js";
import type { RelayPeer } from "./relayPeers.js";

/** Options of {@link RelayExchange}. */
export interface RelayExchangeOptions {
    /** Connections to other nodes. */
    readonly connections: ConnectionPool;
    readonly node: RelayPeer;
    readonly serverId: string;
    /** Software version of the server as this node knows it. */
    readonly softwareVersion: string | undefined;
    readonly requestId: string;
    readonly method: string;
    readonly path: string;
    /** Alternating names and values of the headers for the server. */
    readonly headers: string[];
    readonly body: Buffer | undefined;
    /** Called when a response of the server arrives. */
    readonly onRelayed: () => void;
    /** Called once when the exchange has ended; tells why the node did not relay the request, if it did not. */
    readonly onFinished: (obstacle: RelayObstacle | undefined) => void;
}

/** Sends a request through another node and receives the response. */
export class RelayExchange implements Exchange, ExchangeReceiver {
    private readonly exchange: BackendExchange;
    private hasBody = true;
    private hasEnded = false;

    /**
     * @param options - The request, the server and the other node.
     * @param receiver - Receives the response.
     */
    constructor(
        private readonly options: RelayExchangeOptions,
        private readonly receiver: ExchangeReceiver,
    ) {
        const { connections, node, serverId, softwareVersion, requestId, method, path, headers, body } =
            options;
        this.exchange = new BackendExchange(
            {
                connections,
                address: `${node.host}:${String(node.port)}`,
                method,
                path,
                headers: [
                    ...headers,
                    relayHeaders.key,
                    node.relayKey,
                    relayHeaders.server,
                    serverId,
                    relayHeaders.requestId,
                    requestId,
                    ...(softwareVersion === undefined
                        ? []
                        : [relayHeaders.softwareVersion, encodeURIComponent(softwareVersion)]),
                ],
                body,
            },
            this,
        );
    }

    start(): void {
        this.exchange.start();
    }

    stopReading(): void {
        this.exchange.stopReading();
    }

    startReading(): void {
        this.exchange.startReading();
    }

    hasSentBytes(): boolean {
        return this.exchange.hasSentBytes();
    }

    isOnKeptConnection(): boolean {
        return this.exchange.isOnKeptConnection();
    }

    cancel(): void {
        if (!this.hasEnded) {
            this.finish(undefined);
            this.exchange.cancel();
        }
    }

    onHead(status: number, headers: IncomingHttpHeaders): void {
        const result = relayResultSchema.safeParse(headers[relayHeaders.result]);
        if (result.success && result.data === "answer") {
            this.hasBody = hasResponseBody(this.options.method, status);
            this.options.onRelayed();
            this.receiver.onHead(status, selectResponseHeaders(headers));
            return;
        }
        const text = headers[relayHeaders.reason];
        const message = `${this.options.node.name}: ${typeof text === "string" ? text : "no reason given"}`;
        const kind = result.success ? result.data : "failed";
        const sent = kind === "serverLost" || kind === "failed";
        // The connection is kept: the response without a body ends by itself.
        this.finishFailed({
            message,
            sent,
            isServerLost: kind === "serverLost",
            obstacle: sent ? undefined : selectObstacle(kind, headers[relayHeaders.linkFault]),
        });
    }

    onData(chunk: Buffer): void {
        if (!this.hasEnded) {
            this.receiver.onData(chunk);
        }
    }

    onEnd(trailers: IncomingHttpHeaders): void {
        if (this.hasEnded) {
            return;
        }
        const end = trailers[relayHeaders.end];
        if (end === "complete" || !this.hasBody) {
            this.finish(undefined);
            this.receiver.onEnd(trailers);
            return;
        }
        const message = `${this.options.node.name}: the response of the server was broken off`;
        this.finishFailed({ message, sent: true, isServerLost: end === "serverLost", obstacle: undefined });
    }

    onFailure({ message, sent }: ExchangeFailure): void {
        this.finishFailed({ message, sent, isServerLost: false, obstacle: sent ? undefined : "gone" });
    }

    private finishFailed(failure: ExchangeFailure): void {
        if (!this.hasEnded) {
            this.finish(failure.obstacle);
            this.receiver.onFailure(failure);
        }
    }

    private finish(obstacle: RelayObstacle | undefined): void {
        this.hasEnded = true;
        this.options.onFinished(obstacle);
    }
}

function selectObstacle(result: RelayResult, linkFault: unknown): RelayObstacle {
    const fault = relayLinkFaultSchema.safeParse(linkFault);
    return fault.data ?? (result === "nodeUnable" ? "busy" : "server");
}
