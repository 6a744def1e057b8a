import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ConnectionPool } from "../connectionPool.js";

describe("a connection that is opened before its first request", () => {
    let server: Server;
    let pool: ConnectionPool;
    let address: string;

    beforeEach(async () => {
        server = createServer((request, response) => {
            response.write("id: 0\n");
            setTimeout(() => response.end(request.url), 20);
        });
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        address = `127.0.0.1:${String((server.address() as AddressInfo).port)}`;
        pool = new ConnectionPool({
            connectTimeoutMs: 400,
            idleConnectionTimeoutMs: 8_000,
            maximumIdleConnections: 4,
        });
    });

    afterEach(() => {
        pool.close();
        server.closeAllConnections();
        server.close();
    });

    const sendOn = (connection: ReturnType<ConnectionPool["acquireConnection"]>, path: string) =>
        new Promise<string>((resolve, reject) => {
            let body = "";
            connection.dispatchRequest(
                { method: "GET", path },
                {
                    onRequestStart: () => undefined,
                    onResponseStart: () => undefined,
                    onResponseData: (...[, chunk]) => (body += chunk.toString()),
                    onResponseEnd: () => resolve(body),
                    onResponseError: (...[, error]) => reject(error),
                },
            );
        });

    // Guards against requests that hang on a connection that was opened to try a path.
    it("carries requests, the first one and others", async () => {
        pool.openIdleConnection(address);
        await expect.poll(() => pool.hasTrustedConnection(address)).toBe(true);
        const connection = pool.acquireConnection(address, false);
        expect(connection.isOpen).toBe(true);
        expect(await sendOn(connection, "/1")).toBe("id: 0\n/1");
        pool.releaseConnection(connection);
        const again = pool.acquireConnection(address, false);
        expect(again).toBe(connection);
        expect(await sendOn(again, "/2")).toBe("id: 0\n/2");
    });

    // Guards against requests that are lost on a connection that the server closed while it waited.
    it("is not used after the server has closed it", async () => {
        pool.openIdleConnection(address);
        await expect.poll(() => pool.hasTrustedConnection(address)).toBe(true);
        server.closeAllConnections();
        await expect.poll(() => pool.hasTrustedConnection(address)).toBe(false);
        expect(pool.acquireConnection(address, false).isOpen).toBe(false);
    });
});
