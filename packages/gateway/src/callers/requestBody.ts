/**
 * Reads the bodies of requests.
 *
 * @packageDocumentation
 */
import type { IncomingMessage } from "node:http";
import type { FastifyInstance } from "fastify";
import { ByteCollector, ErrorKind, RouterError } from "@pimentocleat/types";

/** Maximum number of small pieces of a body; each costs far more than its bytes. */
const maximumSmallPieces = 16_384;
/** Size of a piece that is not counted as small, in bytes. */
const minimumPieceBytes = 8;

/** The error of a body that comes in too many small pieces. What is left of it must not be read. */
export class SmallPiecesError extends RouterError {
    constructor() {
        super(ErrorKind.InvalidRequest, "send the body in larger chunks");
    }
}

/**
 * Makes a server read all bodies as bytes, whatever their content type.
 *
 * @param server - The server.
 * @param maximumBytes - Maximum size of a body, in bytes; larger ones are refused.
 */
export function addBodyParser(server: FastifyInstance, maximumBytes: number): void {
    server.removeAllContentTypeParsers();
    server.addContentTypeParser("*", (...[, payload]: [unknown, IncomingMessage]) =>
        readBody(payload, maximumBytes),
    );
}

function readBody(payload: IncomingMessage, maximumBytes: number): Promise<Buffer> {
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
            if (body.length > maximumBytes) {
                finish(new RouterError(ErrorKind.BodyTooLarge));
            } else if (smallPieces > maximumSmallPieces) {
                finish(new SmallPiecesError());
            }
        };
        if (Number(payload.headers["content-length"] ?? 0) > maximumBytes) {
            finish(new RouterError(ErrorKind.BodyTooLarge));
            return;
        }
        payload.on("data", handleData).once("end", finish).once("error", finish);
    });
}
