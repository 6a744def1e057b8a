/**
 * How the end of a response is recognized.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";

const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

const lastCodingIsChunked = /(^|,)\s*chunked\s*$/i;

/**
 * Checks whether the status and the headers of a response determine where its body ends; the body of any other
 * response ends when the connection closes.
 *
 * @param status - Status of the response.
 * @param headers - Headers of the response.
 * @returns True when the end of the body can be recognized without the end of the connection.
 */
export function isFramedAnswer(status: number, headers: IncomingHttpHeaders): boolean {
    const coding = headers["transfer-encoding"];
    // Only chunks mark the end of a body; any other last coding ends with the connection (RFC 9112, section 6.3).
    const isDelimited =
        coding === undefined ? headers["content-length"] !== undefined : lastCodingIsChunked.test(coding);
    return isDelimited || statusesWithoutBody.has(status);
}
