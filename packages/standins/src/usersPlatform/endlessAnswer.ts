/**
 * Bytes that are no answer and come without end, until the other side closes the connection.
 *
 * @packageDocumentation
 */
import type { Socket } from "node:net";

/** Where in a response the bytes come. */
export const endlessPlaces = [
    /** Heads with a status that announces another head. */
    "informationalHeads",
    /** Header lines of one head. */
    "headerLines",
    /** Header lines of one head that are as short as they can be. */
    "shortHeaderLines",
    /** One event of a stream. */
    "event",
    /** Events of a stream that hold only comments. */
    "comments",
    /** Chunks of one byte with long extensions. */
    "chunkExtensions",
    /** Chunks of one byte. */
    "pieces",
    /** A body with neither a length nor chunks. */
    "body",
    /** Header lines after the last chunk. */
    "trailers",
] as const;

/** A place of {@link endlessPlaces}. */
export type EndlessPlace = (typeof endlessPlaces)[number];

const pieceBytes = 16_384;
const okStatus = "HTTP/1.1 200 OK\r\n";

/** Builds what precedes the endless bytes, and the piece that is repeated. */
function buildBytes(place: EndlessPlace, head: string): { readonly start: string; readonly piece: string } {
    const filler = "x".repeat(pieceBytes);
    const chunked = `${okStatus}${head}transfer-encoding: chunked\r\n\r\n`;
    const closing = `${okStatus}${head}connection: close\r\n\r\n`;
    switch (place) {
        case "informationalHeads":
            return { start: "", piece: "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n".repeat(100) };
        case "headerLines":
            return { start: okStatus, piece: "x-filler: x\r\n".repeat(100) };
        case "shortHeaderLines":
            return { start: okStatus, piece: "a:\r\n".repeat(16_000) };
        case "event":
            return { start: closing, piece: `data: ${filler}\n` };
        case "comments":
            return { start: closing, piece: `: ${filler}\n\n` };
        case "chunkExtensions":
            return { start: chunked, piece: `1;${filler}\r\nx\r\n` };
        case "pieces":
            return { start: chunked, piece: "1\r\nx\r\n".repeat(2_000) };
        case "body":
            return { start: closing, piece: filler };
        case "trailers":
            return { start: `${chunked}1\r\nx\r\n0\r\n`, piece: "x-filler: x\r\n".repeat(100) };
    }
}

/**
 * Sends endless bytes on a connection.
 *
 * @param socket - The connection.
 * @param place - Where in the response they come.
 * @param head - Header lines of the response that precedes them.
 * @param maximumBytes - Number of bytes after which it gives up, so that a test ends.
 */
export function sendEndlessAnswer(
    socket: Socket,
    place: EndlessPlace,
    head: string,
    maximumBytes: number,
): void {
    const { start, piece } = buildBytes(place, head);
    const startBytes = socket.bytesWritten;
    const sendPieces = (): void => {
        while (!socket.destroyed && socket.bytesWritten - startBytes < maximumBytes) {
            if (!socket.write(piece)) {
                socket.once("drain", sendPieces);
                return;
            }
        }
    };
    socket.write(start);
    sendPieces();
}
