/**
 * The protocol by which a node sends a request to a backend server through another node. The request is the one for the
 * server with some headers of this protocol; the response is the server's, and a trailer tells how it ended.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from "node:http";
import { z } from "zod";

/** Names of the headers of this protocol. */
export const relayHeaders = {
    /** Secret of the node that is asked to relay; shows that the sender reads the registrations of nodes. */
    key: "pimentocleat-relay-key",
    /** Identifier of the server. */
    server: "pimentocleat-relay-server",
    /** Software version of the server as the sender knows it, URI-encoded; absent from nodes of earlier releases. */
    softwareVersion: "pimentocleat-relay-version",
    /** Identifier of the request. */
    requestId: "pimentocleat-relay-request",
    /** What the response is: see {@link RelayResult}. */
    result: "pimentocleat-relay-result",
    /** Whose links fail when the request was not sent: see {@link RelayLinkFault}. Absent from nodes of earlier releases. */
    linkFault: "pimentocleat-relay-link-fault",
    /** Why there is no response of the server. */
    reason: "pimentocleat-relay-reason",
    /** The trailer that tells how a response ended. */
    end: "pimentocleat-relay-end",
} as const;

/** What a response to a relayed request is. */
export const relayResultSchema = z.enum([
    /** The response of the server. */
    "answer",
    /** The relaying node did not send the request, for a reason of its own; another node may. */
    "nodeUnable",
    /** The relaying node did not send the request, since it does not reach this server or may not send to it. */
    "serverUnable",
    /** The request was sent, and the server has lost all connections of the relaying node. */
    "serverLost",
    /** The request was sent, and no usable response came. */
    "failed",
]);

/** What a response to a relayed request is. */
export type RelayResult = z.infer<typeof relayResultSchema>;

/** Schema of the links that fail at the relaying node: those to all servers, or those to the server of the request. */
export const relayLinkFaultSchema = z.enum(["apart", "unreached"]);

/** Which links fail at the relaying node. */
export type RelayLinkFault = z.infer<typeof relayLinkFaultSchema>;

/** How a response ended that had begun. */
export type RelayEnd = "complete" | "serverLost" | "failed";

/** Headers that only hold on one connection, or that the HTTP library writes itself. */
const connectionHeaders: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
]);
const headMethod = "HEAD";
const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);
const relayHeaderPrefix = "pimentocleat-relay-";

/**
 * Checks whether a response may have a body, and so a trailer.
 *
 * @param method - Method of the request.
 * @param status - Status of the response.
 * @returns Whether it may.
 */
export function hasResponseBody(method: string, status: number): boolean {
    return method !== headMethod && !statusesWithoutBody.has(status);
}

/**
 * Selects the headers of a relayed request that go to the server.
 *
 * @param rawHeaders - Alternating names and values, as received.
 * @returns Alternating names and values.
 */
export function selectServerHeaders(rawHeaders: readonly string[]): string[] {
    const selected: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = rawHeaders[index]!;
        if (isPassedOn(name)) {
            selected.push(name, rawHeaders[index + 1]!);
        }
    }
    return selected;
}

/**
 * Selects the headers of a response that are passed on.
 *
 * @param headers - The headers, as received.
 * @returns The headers to pass on.
 */
export function selectResponseHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
    const selected = Object.entries(headers).filter(([name]) => isPassedOn(name));
    return Object.fromEntries(selected) as Record<string, string | string[]>;
}

function isPassedOn(name: string): boolean {
    const lower = name.toLowerCase();
    return !connectionHeaders.has(lower) && !lower.startsWith(relayHeaderPrefix);
}
