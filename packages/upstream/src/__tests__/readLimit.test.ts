import { connect, createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { setReadLimit } from "../readLimit.js";

const sentBytes = 40_000;
const maximumBytes = 1_024;

describe("setReadLimit", () => {
    let server: Server;
    let socket: Socket;

    beforeEach(async () => {
        server = createServer((peer) => peer.on("error", () => undefined).end("x".repeat(sentBytes)));
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
        setReadLimit(socket, () => maximumBytes);
    });

    afterEach(() => {
        socket.destroy();
        server.close();
    });

    it("returns all bytes in steps of the limit", async () => {
        const sizes: number[] = [];
        socket.on("readable", () => {
            for (let bytes = readBytes(); bytes !== undefined; bytes = readBytes()) {
                sizes.push(bytes.length);
            }
        });
        await new Promise((resolve) => socket.once("end", resolve));
        expect(sizes.reduce((sum, size) => sum + size, 0)).toBe(sentBytes);
        expect(Math.max(...sizes)).toBe(maximumBytes);
    });

    // Guards against a parser that goes on with what it has rejected, at the cost of an error for each line (CONFIG).
    it("returns nothing of a socket that was closed", async () => {
        await new Promise((resolve) => socket.once("readable", resolve));
        expect(readBytes()).toHaveLength(maximumBytes);
        socket.destroy();
        expect(readBytes()).toBeUndefined();
    });

    const readBytes = () => (socket.read() as Buffer | undefined) ?? undefined;
});
