import { ManualClock } from "@pimentocleat/types";
import { afterEach, describe, expect, test } from "vitest";
import {
    computePrefixBlocks,
    renderPrompt,
    startEngine,
    TokenGenerator,
    type EngineOptions,
    type FaultInput,
    type RunningEngine,
} from "../../index.js";
import { parseStream, readBackendJson, sendBackendCall, type BackendAnswer } from "./backendCalls.js";

const model = "demo-model";
const prompt = "Write the copy of a leaflet. ".repeat(20);
const length = 12;
const wholeText = buildText(prompt, length);
const body = { model, prompt, max_tokens: length, ignore_eos: true, stream: true };
const endlessBody = { ...body, max_tokens: 1_000_000 };

let engine: RunningEngine;

afterEach(() => engine.close());

async function start(options: EngineOptions = {}, clock?: ManualClock): Promise<void> {
    engine = await startEngine({ tokenIntervalMs: 0, tokensPerStep: 1, ...options }, clock);
}

function buildText(source: string, count: number): string {
    return new TokenGenerator({ model, prompt: source, seed: 0 }).buildText(count);
}

function complete(fields: object = {}, requestId = "own", signal?: AbortSignal): Promise<BackendAnswer> {
    const headers = { "x-request-id": requestId };
    return sendBackendCall(engine.address, {
        path: "/v1/completions",
        body: { ...body, ...fields },
        headers,
        signal,
    });
}

/** Polls the engine's own record, as a caller has no event for it. */
async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await sendBackendCall(engine.address, { path: "/state" });
    }
}

function findRecord(requestId: string) {
    return engine.readRecord().find((record) => record.requestId === requestId);
}

function hasTokens(requestId: string): boolean {
    return (findRecord(requestId)?.tokensGenerated ?? 0) > 0;
}

interface EngineFaultCase {
    readonly fault: FaultInput;
    readonly expected: Partial<BackendAnswer>;
    /** Text that reached the caller. */
    readonly text: string;
    readonly isWhole: boolean;
    readonly generated: number;
    readonly wasted: number;
}

const own = { status: 200, requestId: "own" };
const lost = { status: undefined };
const faultCases: readonly EngineFaultCase[] = [
    {
        fault: { kind: "delay", delayMs: 1 },
        expected: own,
        text: wholeText,
        isWhole: true,
        generated: length,
        wasted: 0,
    },
    {
        fault: { kind: "straggle", factor: 2 },
        expected: own,
        text: wholeText,
        isWhole: true,
        generated: length,
        wasted: 0,
    },
    {
        fault: { kind: "refuse" },
        expected: { status: 503, executed: "no" },
        text: "",
        isWhole: false,
        generated: 0,
        wasted: 0,
    },
    {
        fault: { kind: "failAfterEffect" },
        expected: { status: 503, executed: undefined },
        text: "",
        isWhole: false,
        generated: length,
        wasted: 0,
    },
    {
        fault: { kind: "dropReply" },
        expected: lost,
        text: "",
        isWhole: false,
        generated: length,
        wasted: length,
    },
    {
        fault: { kind: "cutMidAnswer", afterTokens: 5 },
        expected: lost,
        text: buildText(prompt, 5),
        isWhole: false,
        generated: 5,
        wasted: 5,
    },
    {
        fault: { kind: "wrongEcho" },
        expected: { status: 200, requestId: "own-other" },
        text: wholeText,
        isWhole: true,
        generated: length,
        wasted: 0,
    },
    {
        fault: { kind: "crossedAnswers" },
        expected: { status: 200, requestId: "first" },
        text: buildText("another prompt", length),
        isWhole: true,
        generated: length,
        wasted: 0,
    },
];

describe("completions under faults", () => {
    test.each(faultCases)("$fault.kind", async ({ fault, expected, text, isWhole, generated, wasted }) => {
        await start();
        await complete({ prompt: "another prompt" }, "first");
        engine.switches.setPlan({ faults: [{ ...fault, call: "completion", count: 1 }] });
        const answer = await complete();
        const stream = parseStream(answer.text);
        expect(answer).toMatchObject(expected);
        expect(stream.text).toBe(text);
        expect([stream.isTerminated, stream.finishReason === "length"]).toEqual([isWhole, isWhole]);
        await waitUntil(() => findRecord("own")?.outcome !== "running");
        expect(findRecord("own")).toMatchObject({ tokensGenerated: generated, tokensWasted: wasted });
    });

    test("a hanging request holds until the caller leaves", async () => {
        await start();
        engine.switches.setPlan({ faults: [{ kind: "hang", call: "completion", count: 1 }] });
        const caller = new AbortController();
        const answer = complete({}, "own", caller.signal);
        await waitUntil(() => findRecord("own") !== undefined);
        caller.abort();
        expect(await answer).toMatchObject(lost);
        await waitUntil(() => findRecord("own")?.outcome === "cancelled");
    });
});

describe("answers", () => {
    test("streamed and whole, chat and text form carry the same tokens and usage", async () => {
        await start();
        const messages = [{ role: "user", content: prompt }];
        const chat = { path: "/v1/chat/completions", body: { ...body, messages, stream: false } };
        const whole = JSON.parse((await sendBackendCall(engine.address, chat)).text);
        const rendered = renderPrompt(messages);
        expect(whole.choices[0]).toMatchObject({
            message: { content: buildText(rendered, length) },
            finish_reason: "length",
        });
        expect(whole.usage).toMatchObject({ prompt_tokens: 121, completion_tokens: length });
        const stream = await sendBackendCall(engine.address, {
            ...chat,
            body: { ...chat.body, stream: true },
        });
        expect(parseStream(stream.text)).toMatchObject({
            text: buildText(rendered, length),
            tokens: length,
            isTerminated: true,
        });
    });

    test.each([0, 1, 7, length])("resume after %i tokens gives exactly the rest", async (tokens) => {
        await start();
        const text = buildText(prompt, tokens);
        const rest = parseStream((await complete({ resume: { text, tokens } })).text);
        expect(text + rest.text).toBe(wholeText);
        expect(findRecord("own")).toMatchObject({ resumeMismatch: false, tokensGenerated: length - tokens });
        await complete({ resume: { text: `${text} forged`, tokens } }, "forged");
        expect(findRecord("forged")?.resumeMismatch).toBe(true);
    });

    test.each([
        ["an unknown model", { model: "none" }, 404],
        ["a wrong field", { max_tokens: "many" }, 400],
    ])("%s is refused as not run", async (...[, fields, status]) => {
        await start();
        const answer = await complete(fields);
        expect(answer.status).toBe(status);
        expect(JSON.parse(answer.text).executed).toBe("no");
    });

    test("a wrong credential is refused and what came is recorded byte for byte", async () => {
        await start({ credential: "pool-secret" });
        const headers = { authorization: "Bearer caller-key", "X-Api-Key": "Other" };
        const answer = await sendBackendCall(engine.address, {
            path: "/v1/completions?key=q",
            body,
            headers,
        });
        expect(answer).toMatchObject({ status: 401, executed: "no" });
        const record = engine.readRecord()[0];
        expect(record?.url).toBe("/v1/completions?key=q");
        expect(record?.rawHeaders).toEqual(
            expect.arrayContaining(["X-Api-Key", "Other", "Bearer caller-key"]),
        );
        expect(record?.bodyBytes).toBe(JSON.stringify(body).length);
    });
});

describe("batching", () => {
    test("waiting requests start in the order of their priority, then of arrival", async () => {
        await start({ slots: 1 });
        const running = complete(endlessBody, "running");
        await waitUntil(() => hasTokens("running"));
        const finished: string[] = [];
        const waiting: Promise<unknown>[] = [];
        for (const [requestId, priority] of ["late/9", "second/2", "first/1", "third/2"].map((e) =>
            e.split("/"),
        )) {
            const headers = { "x-request-id": String(requestId), "x-priority": String(priority) };
            const call = { path: "/v1/completions", body, headers };
            const answer = sendBackendCall(engine.address, call);
            waiting.push(answer.then(() => finished.push(String(requestId))));
            await waitUntil(() => findRecord(String(requestId)) !== undefined);
        }
        expect(await readBackendJson(engine.address, "/load")).toMatchObject({
            running: 1,
            waiting: 4,
            slots: 1,
        });
        await sendBackendCall(engine.address, { path: "/cancel", body: { requestId: "running" } });
        await Promise.all(waiting);
        expect(finished).toEqual(["first", "second", "third", "late"]);
        const cancelled = parseStream((await running).text);
        expect([cancelled.hasError, cancelled.isTerminated]).toEqual([true, false]);
        expect(findRecord("running")?.outcome).toBe("cancelled");
    });

    test("a full waiting queue refuses as not run", async () => {
        await start({ slots: 1, maximumWaiting: 0 });
        const caller = new AbortController();
        const running = complete(endlessBody, "running", caller.signal);
        await waitUntil(() => hasTokens("running"));
        expect(await complete()).toMatchObject({ status: 503, executed: "no" });
        caller.abort();
        await running;
    });

    test("a caller who leaves frees the slot and the tokens count as wasted", async () => {
        await start({ slots: 1 });
        const caller = new AbortController();
        const running = complete(endlessBody, "gone", caller.signal);
        await waitUntil(() => hasTokens("gone"));
        caller.abort();
        await running;
        expect(parseStream((await complete()).text).text).toBe(wholeText);
        const record = findRecord("gone");
        expect(record?.outcome).toBe("cancelled");
        expect(record?.tokensWasted).toBe(record?.tokensGenerated);
    });
});

describe("caches, reports and orders", () => {
    const blocks = computePrefixBlocks(prompt, 256);

    test("the load report is late", async () => {
        const clock = new ManualClock();
        await start({ loadLagMs: 500 }, clock);
        const caller = new AbortController();
        const running = complete(endlessBody, "running", caller.signal);
        await waitUntil(() => findRecord("running") !== undefined);
        clock.advance(499);
        const measuredAtMs = clock.wallMs() - 500;
        expect(await readBackendJson(engine.address, "/load")).toMatchObject({ running: 0, measuredAtMs });
        clock.advance(1);
        expect(await readBackendJson(engine.address, "/load")).toMatchObject({ running: 1 });
        caller.abort();
        await running;
    });

    test("cache events are late, and the oldest are dropped", async () => {
        const clock = new ManualClock();
        await start({ cacheEventLagMs: 500, cacheEventCapacity: 2, cacheBlocks: blocks.length }, clock);
        for (const start of ["a", "b"]) {
            await sendBackendCall(engine.address, {
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
        expect(await readBackendJson(engine.address, "/cache-events")).toMatchObject({ events: [] });
        clock.advance(500);
        expect(await readBackendJson(engine.address, "/cache-events?after=1")).toMatchObject({
            events: [
                { sequence: 2, kind: "stored", blocks: ["b1", "b2"] },
                { sequence: 3, kind: "evicted", blocks: ["a1", "a2"] },
            ],
            oldestSequence: 2,
            lastSequence: 3,
        });
    });

    test("a cached prefix is not read again", async () => {
        await start({ cacheBlocks: 10 });
        const answer = await complete({ stream: false });
        expect(JSON.parse(answer.text).usage.prompt_tokens_details.cached_tokens).toBe(0);
        const again = await complete({ stream: false });
        expect(await readBackendJson(engine.address, "/load")).toMatchObject({
            cachedBlocks: blocks.length,
            cacheUsage: blocks.length / 10,
        });
        const expected = Math.floor((120 * blocks.length * 256) / prompt.length);
        expect(JSON.parse(again.text).usage.prompt_tokens_details.cached_tokens).toBe(expected);
    });

    test("a running request's cache can be exported, and imported by another engine", async () => {
        await start();
        const caller = new AbortController();
        const running = complete(endlessBody, "moved", caller.signal);
        await waitUntil(() => hasTokens("moved"));
        const exported: object = await readBackendJson(engine.address, "/kv/moved");
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
    ])("with fencing check %s an old order is %s", async (checksFencing, outcome, served) => {
        await start({ checksFencing });
        const sendOrder = (order: object): Promise<BackendAnswer> =>
            sendBackendCall(engine.address, { path: "/orders", body: { sender: "entry-1", ...order } });
        await sendOrder({ fencingNumber: 5, generation: 3, models: [{ name: model, version: "2" }] });
        const old = { fencingNumber: 4, generation: 4, models: [{ name: "older", version: "1" }] };
        expect(JSON.parse((await sendOrder(old)).text).outcome).toBe(outcome);
        expect(engine.readOrders().map(({ result }) => result.outcome)).toEqual(["accepted", outcome]);
        expect(await readBackendJson(engine.address, "/v1/models")).toMatchObject({ data: [{ id: served }] });
    });

    test("a model is served only once it is loaded", async () => {
        const clock = new ManualClock();
        await start({ loadMs: 1_000, prefillMsPer1000: 0 }, clock);
        const order = {
            sender: "entry-1",
            fencingNumber: 1,
            generation: 1,
            models: [{ name: "new", version: "1" }],
        };
        await sendBackendCall(engine.address, { path: "/orders", body: order });
        expect((await complete({ model: "new" })).status).toBe(404);
        clock.advance(1_000);
        expect((await complete({ model: "new" })).status).toBe(200);
    });
});
