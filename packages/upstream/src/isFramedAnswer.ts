/**
 * How the end of a response is recognized.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";

const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/**
 * Checks whether the status and the headers of a response determine where its body ends; the body of any other
 * response ends when the connection closes.
 *
 * @param status - Status of the response.
 * @param headers - Headers of the response.
 * @returns True when the end of the body can be recognized without the end of the connection.
 */
export function isFramedAnswer(status: number, headers: IncomingHttpHeaders): boolean {
    const isDelimited = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
    return isDelimited || statusesWithoutBody.has(status);
}
