import { HttpTableService, PlatformError, PlatformErrorKind } from "@pimentocleat/platform";
import { createServer, type AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, test } from "vitest";
import { startPlatform, type FaultInput, type RunningPlatform } from "../../index.js";
import { callTimeoutMs, platformCalls, withClient } from "./platformCalls.js";

interface FaultCase {
    readonly fault: FaultInput;
    /** Expected kind; undefined when the call succeeds. */
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
    { fault: { kind: "failAfterEffect" }, kind: PlatformErrorKind.Ambiguous, hasEffect: true },
    { fault: { kind: "cutMidAnswer", afterTokens: 1 }, kind: PlatformErrorKind.Ambiguous, hasEffect: true },
];

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
    test("answers without a fault", async () => {
        expect(await run({ address: platform.address })).toEqual(answer);
    });

    test.each(faultCases)("$fault.kind", async ({ fault, kind, hasEffect, retryAfterMs }) => {
        platform.switches.setPlan({ faults: [{ ...fault, service, count: 1 }] });
        const error = await findError(run({ address: platform.address, timeoutMs: callTimeoutMs }));
        expect(error?.kind).toBe(kind);
        expect(error?.retryAfterMs).toBe(retryAfterMs);
        if (countEffects !== undefined) {
            expect(await countEffects(platform)).toBe(hasEffect ? 1 : 0);
        }
    });

    test("is unavailable when nothing listens", async () => {
        const { address } = platform;
        await platform.close();
        expect((await findError(run({ address })))?.kind).toBe(PlatformErrorKind.Unavailable);
    });

    test("is ambiguous when the peer reads the call and closes the connection", async () => {
        const server = createServer((socket) => socket.once("data", () => socket.destroy()));
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const error = await findError(run({ address }));
        server.close();
        expect(error?.kind).toBe(PlatformErrorKind.Ambiguous);
    });
});

describe("calls that were not sent", () => {
    const write = { conditions: [], writes: [{ table: "a", key: "k", value: 1 }] };

    test("a call that times out before a connection is free is never sent", async () => {
        platform.switches.setPlan({ faults: [{ kind: "hang", call: "read" }] });
        const options = { address: platform.address, connections: 1, timeoutMs: callTimeoutMs };
        await withClient(new HttpTableService(options), async (client) => {
            const blocking = findError(client.readRow("a", "k"));
            const waiting = findError(client.commitTransaction(write));
            const [first, second] = await Promise.all([blocking, waiting]);
            expect(first?.kind).toBe(PlatformErrorKind.Ambiguous);
            expect(second?.kind).toBe(PlatformErrorKind.Unavailable);
            expect(await client.scanRows("a")).toEqual([]);
        });
        expect(platform.readRecord().callCounts["table"]).toEqual({ read: 1, scan: 1 });
    });

    test("a call is sent once, whatever becomes of its answer", async () => {
        platform.switches.setPlan({ faults: [{ kind: "dropReply", call: "commit" }] });
        await withClient(new HttpTableService({ address: platform.address }), async (client) => {
            await findError(client.commitTransaction(write));
            await findError(client.commitTransaction(write));
        });
        expect(platform.readRecord().callCounts["table"]).toEqual({ commit: 2 });
    });
});
