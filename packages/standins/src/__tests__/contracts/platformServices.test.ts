import {
    PlatformErrorKind,
    type ListedHost,
    type OrderResult,
    type ServerOrder,
} from "@pimentocleat/services";
import { ManualClock } from "@pimentocleat/types";
import { afterEach, expect, test } from "vitest";
import { startPlatform, type PlatformOptions, type RunningPlatform } from "../../index.js";
import { callTimeoutMs, sampleOrder, sampleReport, withClients } from "./platformCalls.js";

let platform: RunningPlatform;
let clock: ManualClock;

afterEach(() => platform.close());

async function start(options: PlatformOptions = {}): Promise<void> {
    clock = new ManualClock();
    platform = await startPlatform(options, clock);
}

interface OrderCase {
    readonly name: string;
    readonly change: Partial<ServerOrder>;
    /** Expected result when the fencing check is on. */
    readonly checkedResult: OrderResult;
}

const stale: OrderResult = { outcome: "stale", fencingNumber: 5, generation: 3 };
const accepted: OrderResult = { outcome: "accepted" };
const orderCases: readonly OrderCase[] = [
    { name: "the same order again", change: {}, checkedResult: accepted },
    { name: "a newer generation", change: { generation: 4 }, checkedResult: accepted },
    {
        name: "a newer fencing number with an old generation",
        change: { fencingNumber: 6, generation: 2 },
        checkedResult: stale,
    },
    { name: "an old fencing number", change: { fencingNumber: 4, generation: 4 }, checkedResult: stale },
    {
        name: "an old fencing number for another pool",
        change: { fencingNumber: 4, pool: "answers" },
        checkedResult: accepted,
    },
];

test.each(orderCases.flatMap((each) => [true, false].map((checksFencing) => ({ ...each, checksFencing }))))(
    "$name, fencing check $checksFencing",
    async ({ change, checkedResult, checksFencing }) => {
        await start({ checksFencing });
        const first = { ...sampleOrder, fencingNumber: 5, generation: 3 };
        const expected = checksFencing ? checkedResult : accepted;
        await withClients(platform, async ({ ordering }) => {
            await ordering.orderServers(first, callTimeoutMs);
            expect(await ordering.orderServers({ ...first, ...change }, callTimeoutMs)).toEqual(expected);
        });
        const received = platform.readRecord().orders;
        expect(received.map(({ arrival, result }) => [arrival, result])).toEqual([
            [1, accepted],
            [2, expected],
        ]);
        expect(received[1]?.order).toEqual({ ...first, ...change });
    },
);

test("an order returns noneAvailable when no server is available", async () => {
    await start();
    platform.switches.setPlan({ faults: [{ kind: "noneAvailable", retryAfterMs: 700 }] });
    await withClients(platform, async ({ ordering }) => {
        const result = await ordering.orderServers(sampleOrder, callTimeoutMs);
        expect(result).toEqual({ outcome: "noneAvailable", retryAfterMs: 700 });
    });
});

test("a repeated usage report with other figures is marked, regardless of the order of customers", async () => {
    await start();
    const other = { customer: "shop", requests: 9, promptTokens: 9, completionTokens: 9 };
    const [first] = sampleReport.customers;
    const reports = [
        { ...sampleReport, customers: [first!, other] },
        { ...sampleReport, customers: [other, first!], sender: "entry-2" },
        { ...sampleReport, customers: [first!] },
        { ...sampleReport, customers: [first!], windowStartMs: 120_000 },
    ];
    await withClients(platform, async ({ usage }) => {
        for (const report of reports) {
            await usage.reportUsage(report, callTimeoutMs);
        }
    });
    const received = platform.readRecord().usageReports;
    expect(received.map(({ report }) => report)).toEqual(reports);
    expect(received.map((each) => each.differsFromEarlier)).toEqual([false, false, true, false]);
});

test("the host list shows a change after its lag", async () => {
    await start({ hostListLagMs: 2_000 });
    const host: ListedHost = {
        name: "engine-1",
        dataCentre: "catania",
        address: "127.0.0.1:9",
        role: "backend",
        state: "live",
    };
    const leaving: ListedHost = { ...host, state: "leaving", leavesAtMs: 5 };
    await withClients(platform, async ({ hosts }) => {
        platform.setHosts([host]);
        expect(await hosts.listHosts()).toEqual([]);
        clock.advance(2_000);
        platform.setHosts([leaving]);
        clock.advance(1_999);
        expect(await hosts.listHosts()).toEqual([host]);
        clock.advance(1);
        expect(await hosts.listHosts()).toEqual([leaving]);
    });
});

test("the weight store refuses calls above its rate and returns a retry delay", async () => {
    await start({ weightReadsPerSecond: 2 });
    const entries = [{ name: "demo-model", version: "2", sizeBytes: 1_000 }];
    platform.setWeights(entries);
    await withClients(platform, async ({ weights }) => {
        expect(await weights.listWeights()).toEqual(entries);
        expect(await weights.listWeights()).toEqual(entries);
        const refused = { kind: PlatformErrorKind.RateLimited, retryAfterMs: 500 };
        await expect(weights.listWeights()).rejects.toMatchObject(refused);
        clock.advance(500);
        expect(await weights.listWeights()).toEqual(entries);
    });
});

test("tables and objects share the read and write rate limits", async () => {
    await start({ writesPerSecond: 1, readsPerSecond: 1 });
    const limited = { kind: PlatformErrorKind.RateLimited };
    await withClients(platform, async ({ table, objects }) => {
        await objects.putObject("a", Buffer.from("x"));
        const commit = table.commitTransaction({ conditions: [], writes: [] });
        await expect(commit).rejects.toMatchObject(limited);
        await table.readRow("a", "k");
        await expect(objects.getObject("a")).rejects.toMatchObject(limited);
    });
});

test("objects keep their bytes under any name", async () => {
    await start();
    const content = Buffer.from([0, 255, 10, 13, 0]);
    const name = `configuration/è ${"x".repeat(300)}?`;
    await withClients(platform, async ({ objects }) => {
        await objects.putObject(name, content);
        expect(Buffer.from((await objects.getObject(name)) ?? [])).toEqual(content);
    });
});

test("rejected calls have no effect", async () => {
    await start();
    await withClients(platform, async ({ ordering }) => {
        const order = ordering.orderServers({ ...sampleOrder, count: -1 }, callTimeoutMs);
        await expect(order).rejects.toMatchObject({ kind: PlatformErrorKind.Rejected });
    });
    expect(platform.readRecord().orders).toEqual([]);
});
