import { afterEach, describe, expect, test } from "vitest";
import { renderPrompt, type FaultInput } from "../../index.js";
import { parseStream, sendBackendCall, type BackendAnswer } from "./backendCalls.js";
import { body, buildText, endlessBody, EngineSubject, answerTokens, prompt } from "./engineSubject.js";

const subject = new EngineSubject();
const { start, send, readJson: read, sendCompletion: complete, waitUntil, findRecord, hasTokens } = subject;

afterEach(subject.close);

interface EngineFaultCase {
    readonly fault: FaultInput;
    readonly expected: Partial<BackendAnswer>;
    /** Text that reached the caller. */
    readonly text: string;
    readonly isComplete: boolean;
    readonly generated: number;
    readonly wasted: number;
}

const whole = { text: buildText(prompt, answerTokens), isWhole: true, generated: answerTokens, wasted: 0 };
const nothing = { text: "", isWhole: false, generated: 0, wasted: 0 };
const own = { status: 200, requestId: "own" };
const lost = { status: undefined };
const faultCases: readonly EngineFaultCase[] = [
    { ...whole, fault: { kind: "delay", delayMs: 1 }, expected: own },
    { ...whole, fault: { kind: "straggle", factor: 2 }, expected: own },
    { ...nothing, fault: { kind: "refuse" }, expected: { status: 503, executed: "no" } },
    {
        ...nothing,
        fault: { kind: "failAfterEffect" },
        expected: { status: 503, executed: undefined },
        generated: answerTokens,
    },
    {
        ...nothing,
        fault: { kind: "dropReply" },
        expected: lost,
        generated: answerTokens,
        wasted: answerTokens,
    },
    {
        fault: { kind: "cutMidAnswer", afterTokens: 5 },
        expected: lost,
        text: buildText(prompt, 5),
        isComplete: false,
        generated: 5,
        wasted: 5,
    },
    { ...whole, fault: { kind: "wrongEcho" }, expected: { status: 200, requestId: "own-other" } },
    {
        ...whole,
        fault: { kind: "crossedAnswers" },
        expected: { status: 200, requestId: "first" },
        text: buildText("another prompt", answerTokens),
    },
];

describe("completions under faults", () => {
    test.each(faultCases)(
        "$fault.kind",
        async ({ fault, expected, text, isComplete: isWhole, generated, wasted }) => {
            await start();
            await complete({ prompt: "another prompt" }, "first");
            subject.engine.switches.setPlan({ faults: [{ ...fault, call: "completion", count: 1 }] });
            const answer = await complete();
            const stream = parseStream(answer.text);
            expect(answer).toMatchObject(expected);
            expect(stream.text).toBe(text);
            expect([stream.isTerminated, stream.finishReason === "length"]).toEqual([isWhole, isWhole]);
            await waitUntil(() => findRecord("own")?.outcome !== "running");
            expect(findRecord("own")).toMatchObject({ tokensGenerated: generated, tokensWasted: wasted });
        },
    );

    test("a hanging request holds until the caller leaves", async () => {
        await start();
        subject.engine.switches.setPlan({ faults: [{ kind: "hang", call: "completion", count: 1 }] });
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
        const whole = JSON.parse((await sendBackendCall(subject.engine.address, chat)).text);
        const rendered = renderPrompt(messages);
        expect(whole.choices[0]).toMatchObject({
            message: { content: buildText(rendered, answerTokens) },
            finish_reason: "length",
        });
        expect(whole.usage).toMatchObject({ prompt_tokens: 121, completion_tokens: answerTokens });
        const stream = await sendBackendCall(subject.engine.address, {
            ...chat,
            body: { ...chat.body, stream: true },
        });
        expect(parseStream(stream.text)).toMatchObject({
            text: buildText(rendered, answerTokens),
            tokens: answerTokens,
            isTerminated: true,
        });
    });

    test.each([0, 1, 7, answerTokens])("resume after %i tokens gives exactly the rest", async (tokens) => {
        await start();
        const text = buildText(prompt, tokens);
        const rest = parseStream((await complete({ resume: { text, tokens } })).text);
        expect(text + rest.text).toBe(whole.text);
        expect(findRecord("own")).toMatchObject({
            resumeMismatch: false,
            tokensGenerated: answerTokens - tokens,
        });
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
        const answer = await sendBackendCall(subject.engine.address, {
            path: "/v1/completions?key=q",
            body,
            headers,
        });
        expect(answer).toMatchObject({ status: 401, executed: "no" });
        const record = subject.engine.readRecord()[0];
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
            const answer = sendBackendCall(subject.engine.address, call);
            waiting.push(answer.then(() => finished.push(String(requestId))));
            await waitUntil(() => findRecord(String(requestId)) !== undefined);
        }
        expect(await read("/load")).toMatchObject({
            running: 1,
            waiting: 4,
            slots: 1,
        });
        await send("/cancel", { requestId: "running" });
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
        expect(parseStream((await complete()).text).text).toBe(whole.text);
        const record = findRecord("gone");
        expect(record?.outcome).toBe("cancelled");
        expect(record?.tokensWasted).toBe(record?.tokensGenerated);
    });
});
