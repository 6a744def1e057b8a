/**
 * What the stand-in's HTTP servers have in common.
 *
 * @packageDocumentation
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

const loopbackHost = "127.0.0.1";

/**
 * Starts listening on a port that the operating system chooses.
 *
 * @param server - The server.
 */
export function startListening(server: Server): Promise<void> {
    return new Promise((resolve) => server.listen(0, loopbackHost, resolve));
}

/**
 * Formats the address of a server that listens.
 *
 * @param server - The server.
 * @returns IP address and port.
 */
export function formatAddress(server: Server): string {
    return `${loopbackHost}:${String((server.address() as AddressInfo).port)}`;
}

/**
 * Stops listening and closes all connections.
 *
 * @param server - The server.
 */
export function closeServer(server: Server): void {
    server.close();
    server.closeAllConnections();
}

/**
 * Reads the body of a request.
 *
 * @param request - The request.
 * @returns The body as text.
 */
export async function readBody(request: IncomingMessage): Promise<string> {
    let text = "";
    for await (const chunk of request) {
        text += String(chunk);
    }
    return text;
}

/**
 * Sends a complete response.
 *
 * @param response - The response.
 * @param status - HTTP status.
 * @param body - Value to encode as JSON.
 */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
}
