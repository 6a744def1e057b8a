import { ManualClock } from "@pimentocleat/types";
import { afterEach, describe, expect, test } from "vitest";
import { computePrefixBlocks, startEngine } from "../../index.js";
import { readBackendJson, sendBackendCall, type BackendAnswer } from "./backendCalls.js";
import { body, endlessBody, EngineSubject, model, prompt } from "./engineSubject.js";

const subject = new EngineSubject();
const { start, send, readJson, sendCompletion, waitUntil, findRecord, hasTokens } = subject;

afterEach(subject.close);

describe("caches, reports and orders", () => {
    const blocks = computePrefixBlocks(prompt, 256);

    test("the load report lags by the configured time", async () => {
        const clock = new ManualClock();
        await start({ loadLagMs: 500 }, clock);
        const caller = new AbortController();
        const running = sendCompletion(endlessBody, "running", caller.signal);
        await waitUntil(() => findRecord("running") !== undefined);
        clock.advance(499);
        const measuredAtMs = clock.wallMs() - 500;
        expect(await readJson("/load")).toMatchObject({ running: 0, measuredAtMs });
        clock.advance(1);
        expect(await readJson("/load")).toMatchObject({ running: 1 });
        caller.abort();
        await running;
    });

    test("cache events lag by the configured time, and the oldest are dropped", async () => {
        const clock = new ManualClock();
        await start({ cacheEventLagMs: 500, cacheEventCapacity: 2, cacheBlocks: blocks.length }, clock);
        for (const start of ["a", "b"]) {
            await sendBackendCall(subject.engine.address, {
                path: "/kv",
                body: {
                    requestId: start,
                    model,
                    tokens: 0,
                    blocks: [`${start}1`, `${start}2`],
                    sizeBytes: 0,
                },
            });
        }
        expect(await readJson("/cache-events")).toMatchObject({ events: [] });
        clock.advance(500);
        expect(await readJson("/cache-events?after=1")).toMatchObject({
            events: [
                { sequence: 2, kind: "stored", blocks: ["b1", "b2"] },
                { sequence: 3, kind: "evicted", blocks: ["a1", "a2"] },
            ],
            oldestSequence: 2,
            lastSequence: 3,
        });
    });

    test("a cached prefix is not prefilled again", async () => {
        await start({ cacheBlocks: 10 });
        const answer = await sendCompletion({ stream: false });
        expect(JSON.parse(answer.text).usage.prompt_tokens_details.cached_tokens).toBe(0);
        const again = await sendCompletion({ stream: false });
        expect(await readJson("/load")).toMatchObject({
            cachedBlocks: blocks.length,
            cacheUsage: blocks.length / 10,
        });
        const expected = Math.floor((120 * blocks.length * 256) / prompt.length);
        expect(JSON.parse(again.text).usage.prompt_tokens_details.cached_tokens).toBe(expected);
    });

    test("the cache of a running request can be exported and imported into another engine", async () => {
        await start();
        const caller = new AbortController();
        const running = sendCompletion(endlessBody, "moved", caller.signal);
        await waitUntil(() => hasTokens("moved"));
        const exported: object = await readJson("/kv/moved");
        expect(exported).toMatchObject({ requestId: "moved", model });
        caller.abort();
        await running;
        const other = await startEngine({ tokenIntervalMs: 0 });
        await sendBackendCall(other.address, { path: "/kv", body: exported });
        const events = await readBackendJson(other.address, "/cache-events");
        expect(events).toMatchObject({
            events: [{ kind: "stored", blocks: expect.arrayContaining([...blocks]) }],
        });
        const call = { path: "/v1/completions", body: { ...body, stream: false } };
        const { usage } = JSON.parse((await sendBackendCall(other.address, call)).text);
        expect(usage.prompt_tokens_details.cached_tokens).toBeGreaterThan(0);
        await other.close();
    });

    test.each([
        [true, "stale", model],
        [false, "accepted", "older"],
    ])(
        "with fencing check %s, an order with an old fencing number is %s",
        async (checksFencing, outcome, served) => {
            await start({ checksFencing });
            const sendOrder = (order: object): Promise<BackendAnswer> =>
                send("/orders", { sender: "entry-1", ...order });
            await sendOrder({ fencingNumber: 5, generation: 3, models: [{ name: model, version: "2" }] });
            const old = { fencingNumber: 4, generation: 4, models: [{ name: "older", version: "1" }] };
            expect(JSON.parse((await sendOrder(old)).text).outcome).toBe(outcome);
            expect(subject.engine.readOrders().map(({ result }) => result.outcome)).toEqual([
                "accepted",
                outcome,
            ]);
            expect(await readJson("/v1/models")).toMatchObject({ data: [{ id: served }] });
        },
    );

    test("a model is served only after it is loaded", async () => {
        const clock = new ManualClock();
        await start({ loadMs: 1_000, prefillMsPer1000: 0 }, clock);
        const order = {
            sender: "entry-1",
            fencingNumber: 1,
            generation: 1,
            models: [{ name: "new", version: "1" }],
        };
        await send("/orders", order);
        expect((await sendCompletion({ model: "new" })).status).toBe(404);
        clock.advance(1_000);
        expect((await sendCompletion({ model: "new" })).status).toBe(200);
    });
});
