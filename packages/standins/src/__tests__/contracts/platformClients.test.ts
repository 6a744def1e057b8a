import { PlatformError, PlatformErrorKind } from "@pimentocleat/services";
import { createServer, type AddressInfo, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, test, vi } from "vitest";
import { startPlatform, type FaultInput, type RunningPlatform } from "../../index.js";
import {
    callTimeoutMs,
    hangTimeoutMs,
    platformCalls,
    sampleOrder,
    sampleWrite,
    withClients,
} from "./platformCalls.js";

interface FaultCase {
    readonly fault: FaultInput;
    /** Expected kind of error; undefined when the call succeeds. */
    readonly kind: PlatformErrorKind | undefined;
    readonly hasEffect: boolean;
    readonly retryAfterMs?: number;
}

const faultCases: readonly FaultCase[] = [
    { fault: { kind: "delay", delayMs: 1 }, kind: undefined, hasEffect: true },
    { fault: { kind: "refuse" }, kind: PlatformErrorKind.Unavailable, hasEffect: false },
    {
        fault: { kind: "rateLimit", retryAfterMs: 1_500 },
        kind: PlatformErrorKind.RateLimited,
        hasEffect: false,
        retryAfterMs: 1_500,
    },
    { fault: { kind: "hang" }, kind: PlatformErrorKind.Ambiguous, hasEffect: false },
    { fault: { kind: "dropReply" }, kind: PlatformErrorKind.Ambiguous, hasEffect: true },
    { fault: { kind: "lateEffect" }, kind: PlatformErrorKind.Ambiguous, hasEffect: false },
    { fault: { kind: "failAfterEffect" }, kind: PlatformErrorKind.Ambiguous, hasEffect: true },
    { fault: { kind: "cutMidAnswer", afterTokens: 1 }, kind: PlatformErrorKind.Ambiguous, hasEffect: true },
];

const acceptedBody = `{"outcome":"accepted"}`;
const acceptedResponse = `HTTP/1.1 200 OK\r\ncontent-length: ${acceptedBody.length}\r\n\r\n${acceptedBody}`;

let platform: RunningPlatform;

beforeEach(async () => {
    platform = await startPlatform();
});

afterEach(() => platform.close());

async function findError(call: Promise<unknown>): Promise<PlatformError | undefined> {
    const failure = await call.then(
        () => undefined,
        (error: unknown) => error,
    );
    if (failure !== undefined) {
        expect(failure).toBeInstanceOf(PlatformError);
    }
    return failure as PlatformError | undefined;
}

describe.each(platformCalls)("$name", ({ service, run, answer, countEffects }) => {
    test("succeeds without a fault", async () => {
        expect(await run({ address: platform.address })).toEqual(answer);
    });

    test.each(faultCases)("$fault.kind", async ({ fault, kind, hasEffect, retryAfterMs }) => {
        platform.switches.setPlan({ faults: [{ ...fault, service, count: 1 }] });
        const timeoutMs = fault.kind === "hang" ? hangTimeoutMs : callTimeoutMs;
        const error = await findError(run({ address: platform.address, timeoutMs }));
        expect(error?.kind).toBe(kind);
        expect(error?.retryAfterMs).toBe(retryAfterMs);
        if (countEffects !== undefined) {
            expect(await countEffects(platform)).toBe(hasEffect ? 1 : 0);
        }
    });

    test("is unavailable when no server listens", async () => {
        const { address } = platform;
        await platform.close();
        expect((await findError(run({ address })))?.kind).toBe(PlatformErrorKind.Unavailable);
    });

    test("is ambiguous when the server reads the request and closes the connection", async () => {
        const server = createServer((socket) => socket.once("data", () => socket.destroy()));
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const error = await findError(run({ address }));
        server.close();
        expect(error?.kind).toBe(PlatformErrorKind.Ambiguous);
    });
});

describe("requests per call", () => {
    test("a call that times out while it waits for a connection is never sent", async () => {
        const received: Socket[] = [];
        const server = createServer((socket) => socket.on("data", () => received.push(socket)));
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const respondNext = async (count: number): Promise<void> => {
            await vi.waitUntil(() => received.length >= count, { timeout: callTimeoutMs });
            received.at(-1)?.write(acceptedResponse);
        };
        await withClients({ address, connections: 1 }, async ({ ordering }) => {
            const first = ordering.orderServers(sampleOrder, callTimeoutMs);
            const second = await findError(ordering.orderServers(sampleOrder, hangTimeoutMs));
            expect(second?.kind).toBe(PlatformErrorKind.Unavailable);
            await respondNext(1);
            expect(await first).toEqual({ outcome: "accepted" });
            const third = ordering.orderServers(sampleOrder, callTimeoutMs);
            await respondNext(2);
            expect(await third).toEqual({ outcome: "accepted" });
        });
        server.close();
        expect(received.length).toBe(2);
    });

    test("a call is sent once even when its response is lost", async () => {
        platform.switches.setPlan({ faults: [{ kind: "dropReply", call: "commit" }] });
        await withClients(platform, async ({ table }) => {
            await findError(table.commitTransaction(sampleWrite));
            await findError(table.commitTransaction(sampleWrite));
        });
        expect(platform.readRecord().callCounts["table"]).toEqual({ commit: 2 });
    });
});
