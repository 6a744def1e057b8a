import { createServer, type AddressInfo, type Socket } from "node:net";
import { ServerReach } from "@pimentocleat/policy";
import { TextMetrics, type Logger } from "@pimentocleat/telemetry";
import { SystemClock } from "@pimentocleat/types";
import { ConnectionPool } from "@pimentocleat/upstream";
import { request as sendRequest } from "undici";
import { afterEach, describe, expect, it } from "vitest";
import type { AnswerMeaning, BackendProtocol } from "../../backends/backendProtocol.js";
import type { RegisteredServer } from "../../backends/backendServer.js";
import { DirectPaths } from "../../backends/directPaths.js";
import type { ServerDirectory } from "../../backends/serverDirectory.js";
import type { ServerNotices } from "../../backends/serverNotices.js";
import { Evacuations } from "../../configuration/evacuations.js";
import { relayHeaders } from "../relayProtocol.js";
import { buildRelayServer } from "../relayServer.js";

const host = "127.0.0.1";
const key = "secret";
const connectTimeoutMs = 1_000;
const idleConnectionTimeoutMs = 60_000;
const answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
const silentLogger: Logger = { writeEvent: () => undefined };

describe("a node that relays", () => {
    const closing: (() => unknown)[] = [];

    afterEach(async () => {
        for (const close of closing.splice(0).reverse()) {
            await close();
        }
    });

    /** Opens a server that answers the first request on each connection and no other one. */
    const openBackend = async () => {
        const sockets: Socket[] = [];
        const backend = createServer((socket) => {
            sockets.push(socket);
            socket.on("error", () => undefined);
            socket.once("data", () => socket.write(answer));
        });
        await new Promise<void>((resolve) => backend.listen(0, host, resolve));
        closing.push(() => {
            sockets.forEach((socket) => socket.destroy());
            backend.close();
        });
        return { sockets, address: `${host}:${String((backend.address() as AddressInfo).port)}` };
    };

    const openRelay = async (
        address: string,
        softwareVersion?: string,
        meaning: AnswerMeaning = "answer",
    ) => {
        const server = {
            id: "s1",
            service: "plain",
            dataCentre: "a",
            address,
            softwareVersion,
        } as RegisteredServer;
        const clock = new SystemClock();
        const paths: DirectPaths = new DirectPaths({
            reach: new ServerReach(clock),
            clock,
            logger: silentLogger,
            connectTimeoutMs,
            getConnections: () => connections,
        });
        const connections = new ConnectionPool({
            connectTimeoutMs,
            idleConnectionTimeoutMs,
            maximumIdleConnections: 2,
            observer: paths,
        });
        const evacuations = new Evacuations({
            isEnabled: true,
            logger: silentLogger,
            metrics: new TextMetrics(),
        });
        evacuations.setEvacuations([], 1);
        const relay = buildRelayServer({
            key,
            directory: {
                findServer: () => server,
                listReadyServers: () => [server],
            } as unknown as ServerDirectory,
            notices: {
                computePauseMs: () => 0,
                recordNotice: () => undefined,
            } as unknown as ServerNotices,
            evacuations,
            paths,
            connections,
            protocol: {
                selectMeaning: () => meaning,
                readNotice: () => ({}),
            } as unknown as BackendProtocol,
            clock,
            logger: silentLogger,
            metrics: new TextMetrics(),
            isStopping: () => false,
            onActiveChange: () => undefined,
        });
        closing.push(() => connections.close());
        closing.push(() => relay.close());
        closing.push(() => relay.server.closeAllConnections());
        return { url: await relay.listen({ host, port: 0 }), evacuations };
    };

    // Guards against a node that goes on taking requests over links that hang, since it sends none of its own (RECOVER).
    it("opens a new connection when a relayed request gets no data on a kept one", async () => {
        const { sockets, address } = await openBackend();
        const { url } = await openRelay(address);
        const headers = { [relayHeaders.key]: key, [relayHeaders.server]: "s1" };
        const first = await sendRequest(url, { headers });
        await first.body.dump();
        expect(first.statusCode).toBe(200);
        const caller = new AbortController();
        const second = sendRequest(url, { headers, signal: caller.signal }).catch(() => undefined);
        await expect.poll(() => sockets.length).toBe(2);
        caller.abort();
        await second;
    });

    // Guards against requests to evacuated servers through a node that knows better than their sender.
    it("sends nothing to a server of an evacuated data centre, and says that nothing was sent", async () => {
        const { sockets, address } = await openBackend();
        const { url, evacuations } = await openRelay(address);
        evacuations.mergeStates([{ dataCentre: "a", version: 2, isEvacuated: true }]);
        const headers = { [relayHeaders.key]: key, [relayHeaders.server]: "s1" };
        const refused = await sendRequest(url, { headers });
        await refused.body.dump();
        expect(refused.headers[relayHeaders.result]).toBe("serverUnable");
        expect(sockets).toHaveLength(0);
    });

    // Guards against a stream that is resumed at another version, since the node that relays knows of a restart of the
    // server that the sender does not.
    it.each([
        { sent: "v1", known: "v1", status: 200 },
        { sent: "v1", known: "v2", status: 503 },
        { sent: "v1", known: undefined, status: 503 },
        // A node of an earlier release names no version.
        { sent: undefined, known: "v2", status: 200 },
    ])("answers $status when the sender names $sent and it knows $known", async ({ sent, known, status }) => {
        const { sockets, address } = await openBackend();
        const { url } = await openRelay(address, known);
        const headers = {
            [relayHeaders.key]: key,
            [relayHeaders.server]: "s1",
            ...(sent === undefined ? {} : { [relayHeaders.softwareVersion]: sent }),
        };
        const response = await sendRequest(url, { headers });
        await response.body.dump();
        expect(response.statusCode).toBe(status);
        expect(sockets.length).toBe(status === 200 ? 1 : 0);
    });

    // Guards against a refusal that the server repeats where the answer to the next relayed request is expected: it fits
    // when a caller sends the refused request again under its identifier.
    it.each([
        ["answer", 1],
        ["notRun", 2],
        ["otherServer", 2],
        ["mismatched", 2],
    ] as const)("after a response that is %s, has used %i connections for two requests", async (...row) => {
        const [meaning, count] = row;
        const sockets = new Set<Socket>();
        const backend = createServer((socket) => {
            sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("data", () => socket.write(answer));
        });
        await new Promise<void>((resolve) => backend.listen(0, host, resolve));
        closing.push(() => {
            sockets.forEach((socket) => socket.destroy());
            backend.close();
        });
        const address = `${host}:${String((backend.address() as AddressInfo).port)}`;
        const { url } = await openRelay(address, undefined, meaning);
        const headers = { [relayHeaders.key]: key, [relayHeaders.server]: "s1" };
        for (let index = 0; index < 2; index += 1) {
            const response = await sendRequest(url, { headers });
            await response.body.dump();
            expect(response.headers[relayHeaders.result]).toBe("answer");
        }
        expect(sockets.size).toBe(count);
    });
});
