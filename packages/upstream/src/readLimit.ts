/**
 * Limits how much the HTTP client's parser gets at once.
 *
 * @packageDocumentation
 */
import type { Socket } from "node:net";

/**
 * Limits the bytes that one call of a socket's `read` without a size returns. The parser notices a head that is too large,
 * and each further line of it, only after it has gone through all that it was given; a closed socket returns no more.
 *
 * @param socket - The socket.
 * @param computeMaximumBytes - Called before each read; its result is the limit, in bytes.
 */
export function setReadLimit(socket: Socket, computeMaximumBytes: () => number): void {
    const read = socket.read.bind(socket) as (size?: number) => unknown;
    socket.read = (size?: number): unknown => {
        if (size !== undefined) {
            return read(size);
        }
        if (socket.destroyed) {
            return read(0);
        }
        const available = Math.min(socket.readableLength, computeMaximumBytes());
        return available === 0 ? read() : read(available);
    };
}
