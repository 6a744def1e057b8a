/**
 * Reads the bodies of requests.
 *
 * @packageDocumentation
 */
import type { IncomingMessage } from "node:http";
import type { FastifyInstance } from "fastify";
import { ErrorKind, RouterError } from "@pimentocleat/types";
import { BlockCollector, type BlockPool } from "./bodyBlocks.js";
import type { CallerConnection } from "./callerConnection.js";
import type { CallerConnections } from "./callerConnections.js";

/** Retry delay suggested to callers whose body the node has no room for, in milliseconds. */
const noRoomRetryAfterMs = 500;

/** Options of {@link RequestBodies}. */
export interface RequestBodiesOptions {
    /** Maximum size of one body, in bytes; larger ones are refused. */
    readonly maximumBytes: number;
    /** The connections, on which all bodies together are bounded. */
    readonly connections: CallerConnections;
}

/** Reads the bodies of requests as bytes, whatever their content type. */
export class RequestBodies {
    private readonly heldBytes = new WeakMap<IncomingMessage, number>();

    /** @param options - What may be read, and the connections. */
    constructor(private readonly options: RequestBodiesOptions) {}

    /** @param server - The server whose requests' bodies are read from now on. */
    addParser(server: FastifyInstance): void {
        server.removeAllContentTypeParsers();
        server.addContentTypeParser("*", (...[, payload]: [unknown, IncomingMessage]) =>
            this.readBody(payload),
        );
    }

    /** @param message - A request that has ended, whose body is not held any more. */
    releaseBody(message: IncomingMessage): void {
        const bytes = this.heldBytes.get(message);
        if (bytes !== undefined) {
            this.heldBytes.delete(message);
            this.options.connections.findConnection(message)?.addRunningBytes(-bytes);
        }
    }

    private async readBody(payload: IncomingMessage): Promise<Buffer> {
        const { maximumBytes, connections } = this.options;
        if (Number(payload.headers["content-length"] ?? 0) > maximumBytes) {
            throw new RouterError(ErrorKind.BodyTooLarge);
        }
        const connection = connections.findConnection(payload);
        const body = await receiveBody(payload, connection, maximumBytes, connections.blocks);
        this.heldBytes.set(payload, body.length);
        connection?.addRunningBytes(body.length);
        return body;
    }
}

function buildNoRoomError(): RouterError {
    const message = "the node holds as many request bodies as it has room for";
    return new RouterError(ErrorKind.Overloaded, message, { retryAfterMs: noRoomRetryAfterMs });
}

/**
 * Receives a body.
 *
 * @param payload - The request.
 * @param connection - Its connection; undefined when it has closed.
 * @param maximumBytes - Maximum size of the body, in bytes.
 * @param blocks - Where it is collected.
 * @returns The body.
 * @throws RouterError when it is larger, or when there is no room for it.
 */
function receiveBody(
    payload: IncomingMessage,
    connection: CallerConnection | undefined,
    maximumBytes: number,
    blocks: BlockPool,
): Promise<Buffer> {
    return new Promise((resolve, reject) => {
        const body = new BlockCollector(blocks);
        const finish = (error?: Error): void => {
            payload.off("data", handleData).off("end", finish).off("error", finish);
            connection?.setBodyRefusal(undefined);
            if (error === undefined) {
                resolve(body.takeBytes());
            } else {
                body.clear();
                reject(error);
            }
        };
        const handleData = (piece: Buffer): void => {
            body.append(piece);
            if (body.length > maximumBytes) {
                finish(new RouterError(ErrorKind.BodyTooLarge));
            } else {
                connection?.recordBody(body.heldBytes);
            }
        };
        payload.on("data", handleData).once("end", finish).once("error", finish);
        connection?.setBodyRefusal(() => finish(buildNoRoomError()));
    });
}
