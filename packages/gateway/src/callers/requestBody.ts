/**
 * Reads the bodies of requests.
 *
 * @packageDocumentation
 */
import type { IncomingMessage } from "node:http";
import type { FastifyInstance } from "fastify";
import { ByteCollector, ErrorKind, RouterError } from "@pimentocleat/types";
import type { HeldBytes, HeldShare } from "../dispatch/heldBytes.js";

/** Maximum number of small pieces of a body; each costs far more than its bytes. */
const maximumSmallPieces = 16_384;
/** Size of a piece that is not counted as small, in bytes. */
const minimumPieceBytes = 8;

/** Retry delay suggested to callers whose body the node has no room for, in milliseconds. */
const noRoomRetryAfterMs = 500;

/** The error of a body that comes in too many small pieces. What is left of it must not be read. */
export class SmallPiecesError extends RouterError {
    constructor() {
        super(ErrorKind.InvalidRequest, "send the body in larger chunks");
    }
}

/** Limits of the bodies that a server reads. */
export interface BodyLimits {
    /** Maximum size of one body, in bytes; larger ones are refused. */
    readonly maximumBytes: number;
    /** What is held of all bodies; a body for which there is no room is refused before it is read. */
    readonly held: HeldBytes;
}

/** Reads the bodies of requests as bytes, whatever their content type. */
export class RequestBodies {
    private readonly shares = new WeakMap<IncomingMessage, HeldShare>();

    /** @param limits - What may be read and held. */
    constructor(private readonly limits: BodyLimits) {}

    /** @param server - The server whose requests' bodies are read from now on. */
    addParser(server: FastifyInstance): void {
        server.removeAllContentTypeParsers();
        server.addContentTypeParser("*", (...[, payload]: [unknown, IncomingMessage]) =>
            this.readBody(payload),
        );
    }

    /** @param message - A request that has ended, whose body is not held any more. */
    releaseBody(message: IncomingMessage): void {
        this.shares.get(message)?.setBytes(0);
        this.shares.delete(message);
    }

    private async readBody(payload: IncomingMessage): Promise<Buffer> {
        const { maximumBytes, held } = this.limits;
        const announcedBytes = Number(payload.headers["content-length"] ?? 0);
        if (announcedBytes > maximumBytes) {
            throw new RouterError(ErrorKind.BodyTooLarge);
        }
        if (!held.hasRoom(announcedBytes)) {
            throw buildNoRoomError();
        }
        const share = held.openShare();
        this.shares.set(payload, share);
        share.setBytes(announcedBytes);
        try {
            return await receiveBody(payload, (length) => this.checkLength(length, share, announcedBytes));
        } catch (error) {
            this.releaseBody(payload);
            throw error;
        }
    }

    /** Counts a body that is longer than its head announced, and returns why it is refused, or undefined. */
    private checkLength(length: number, share: HeldShare, announcedBytes: number): Error | undefined {
        const { maximumBytes, held } = this.limits;
        if (length > maximumBytes) {
            return new RouterError(ErrorKind.BodyTooLarge);
        }
        if (length <= announcedBytes) {
            return undefined;
        }
        share.setBytes(length);
        return held.hasRoom(0) ? undefined : buildNoRoomError();
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
 * @param checkLength - Returns why a body of a length is refused, or undefined.
 * @returns The body.
 * @throws SmallPiecesError, or what the check returned.
 */
function receiveBody(
    payload: IncomingMessage,
    checkLength: (length: number) => Error | undefined,
): Promise<Buffer> {
    return new Promise((resolve, reject) => {
        const body = new ByteCollector();
        let smallPieces = 0;
        const finish = (error: Error | undefined): void => {
            payload.off("data", handleData).off("end", finish).off("error", finish);
            if (error === undefined) {
                resolve(body.takeBytes());
            } else {
                reject(error);
            }
        };
        const handleData = (piece: Buffer): void => {
            body.append(piece);
            smallPieces += piece.length < minimumPieceBytes ? 1 : 0;
            const error =
                smallPieces > maximumSmallPieces ? new SmallPiecesError() : checkLength(body.length);
            if (error !== undefined) {
                finish(error);
            }
        };
        payload.on("data", handleData).once("end", finish).once("error", finish);
    });
}
