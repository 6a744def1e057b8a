/**
 * Whether the end of an answer can be told from its own bytes.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";

const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/**
 * Tells whether an answer has an end of its own; others end with their connection.
 *
 * @param status - Status of the answer.
 * @param headers - Headers of the answer.
 * @returns Whether its end can be told without the end of the connection.
 */
export function isFramedAnswer(status: number, headers: IncomingHttpHeaders): boolean {
    const isCounted = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
    return isCounted || statusesWithoutBody.has(status);
}
