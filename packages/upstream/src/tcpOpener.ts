/**
 * Opens TCP connections within a precise time.
 *
 * @packageDocumentation
 */
import type { Socket } from "node:net";
import { buildConnector } from "undici";

/**
 * Opens a socket and reports it, or why it could not be opened. The socket stays writable after the server has closed its
 * side.
 */
export type SocketOpener = buildConnector.connector;

/**
 * Builds an opener. The HTTP client's own timeout for opening a connection has a resolution of half a second.
 *
 * @param timeoutMs - Time after which the opening of a connection fails, in milliseconds.
 * @returns The opener; its sockets stay writable after the server has closed its side.
 */
export function buildTcpOpener(timeoutMs: number): SocketOpener {
    const open = buildConnector({ timeout: 0, allowHalfOpen: true });
    return (options, callback) => {
        const timer = setTimeout(() => {
            const { hostname, port } = options;
            const server = `${hostname}:${port}`;
            socket?.destroy(
                new Error(`the connection to ${server} did not open within ${String(timeoutMs)} ms`),
            );
        }, timeoutMs);
        const socket = open(options, (...result) => {
            clearTimeout(timer);
            callback(...result);
        }) as unknown as Socket | undefined;
        return socket;
    };
}
