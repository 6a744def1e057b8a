import { afterEach, describe, expect, test } from "vitest";
import { renderPrompt, type FaultInput } from "../../index.js";
import { parseStream, sendBackendCall, type BackendAnswer } from "./backendCalls.js";
import { answerTokens, body, buildText, endlessBody, EngineSubject, prompt } from "./engineSubject.js";

const subject = new EngineSubject();
const { start, send, readJson, sendCompletion, waitUntil, findRecord, hasTokens } = subject;

afterEach(subject.close);

interface EngineFaultCase {
    readonly fault: FaultInput;
    readonly expected: Partial<BackendAnswer>;
    /** Text that the caller received. */
    readonly text: string;
    readonly isComplete: boolean;
    readonly generated: number;
    readonly wasted: number;
}

const completeOutput = {
    text: buildText(prompt, answerTokens),
    isComplete: true,
    generated: answerTokens,
    wasted: 0,
};
const noOutput = { text: "", isComplete: false, generated: 0, wasted: 0 };
const ownResponse = { status: 200, requestId: "own" };
const connectionLost = { status: undefined };
const faultCases: readonly EngineFaultCase[] = [
    { ...completeOutput, fault: { kind: "delay", delayMs: 1 }, expected: ownResponse },
    { ...completeOutput, fault: { kind: "straggle", factor: 2 }, expected: ownResponse },
    { ...noOutput, fault: { kind: "refuse" }, expected: { status: 503, executed: "no" } },
    {
        ...noOutput,
        fault: { kind: "failAfterEffect" },
        expected: { status: 503, executed: undefined },
        generated: answerTokens,
    },
    {
        ...noOutput,
        fault: { kind: "dropReply" },
        expected: connectionLost,
        generated: answerTokens,
        wasted: answerTokens,
    },
    {
        fault: { kind: "cutMidAnswer", afterTokens: 5 },
        expected: connectionLost,
        text: buildText(prompt, 5),
        isComplete: false,
        generated: 5,
        wasted: 5,
    },
    { ...completeOutput, fault: { kind: "wrongEcho" }, expected: { status: 200, requestId: "own-other" } },
    {
        ...completeOutput,
        fault: { kind: "crossedAnswers" },
        expected: { status: 200, requestId: "first" },
        text: buildText("another prompt", answerTokens),
    },
];

describe("completions under faults", () => {
    test.each(faultCases)("$fault.kind", async ({ fault, expected, text, isComplete, generated, wasted }) => {
        await start();
        await sendCompletion({ prompt: "another prompt" }, "first");
        subject.engine.switches.setPlan({ faults: [{ ...fault, call: "completion", count: 1 }] });
        const answer = await sendCompletion();
        const stream = parseStream(answer.text);
        expect(answer).toMatchObject(expected);
        expect(stream.text).toBe(text);
        expect([stream.isTerminated, stream.finishReason === "length"]).toEqual([isComplete, isComplete]);
        await waitUntil(() => findRecord("own")?.outcome !== "running");
        expect(findRecord("own")).toMatchObject({ tokensGenerated: generated, tokensWasted: wasted });
    });

    test("a hanging request stays open until the caller disconnects", async () => {
        await start();
        subject.engine.switches.setPlan({ faults: [{ kind: "hang", call: "completion", count: 1 }] });
        const caller = new AbortController();
        const answer = sendCompletion({}, "own", caller.signal);
        await waitUntil(() => findRecord("own") !== undefined);
        caller.abort();
        expect(await answer).toMatchObject(connectionLost);
        await waitUntil(() => findRecord("own")?.outcome === "cancelled");
    });
});

describe("responses", () => {
    test("buffered and streamed chat completions carry the same tokens", async () => {
        await start();
        const messages = [{ role: "user", content: prompt }];
        const chat = { path: "/v1/chat/completions", body: { ...body, messages, stream: false } };
        const buffered = JSON.parse((await sendBackendCall(subject.engine.address, chat)).text);
        const rendered = renderPrompt(messages);
        expect(buffered.choices[0]).toMatchObject({
            message: { content: buildText(rendered, answerTokens) },
            finish_reason: "length",
        });
        expect(buffered.usage).toMatchObject({ prompt_tokens: 121, completion_tokens: answerTokens });
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

    test.each([0, 1, 7, answerTokens])(
        "resuming after %i tokens returns exactly the remaining tokens",
        async (tokens) => {
            await start();
            const text = buildText(prompt, tokens);
            const rest = parseStream((await sendCompletion({ resume: { text, tokens } })).text);
            expect(text + rest.text).toBe(completeOutput.text);
            expect(findRecord("own")).toMatchObject({
                resumeMismatch: false,
                tokensGenerated: answerTokens - tokens,
            });
            await sendCompletion({ resume: { text: `${text} forged`, tokens } }, "forged");
            expect(findRecord("forged")?.resumeMismatch).toBe(true);
        },
    );

    test.each([
        ["an unknown model", { model: "none" }, 404],
        ["a field of the wrong type", { max_tokens: "many" }, 400],
    ])("%s is refused as not executed", async (...[, fields, status]) => {
        await start();
        const answer = await sendCompletion(fields);
        expect(answer.status).toBe(status);
        expect(JSON.parse(answer.text).executed).toBe("no");
    });

    test("a wrong credential is refused and the request is recorded unchanged", async () => {
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
    test("waiting requests start by priority, then by arrival", async () => {
        await start({ slots: 1 });
        const running = sendCompletion(endlessBody, "running");
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
        expect(await readJson("/load")).toMatchObject({
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

    test("a request to a full queue is refused as not executed", async () => {
        await start({ slots: 1, maximumWaiting: 0 });
        const caller = new AbortController();
        const running = sendCompletion(endlessBody, "running", caller.signal);
        await waitUntil(() => hasTokens("running"));
        expect(await sendCompletion()).toMatchObject({ status: 503, executed: "no" });
        caller.abort();
        await running;
    });

    test("a disconnected caller frees the slot and its tokens count as wasted", async () => {
        await start({ slots: 1 });
        const caller = new AbortController();
        const running = sendCompletion(endlessBody, "gone", caller.signal);
        await waitUntil(() => hasTokens("gone"));
        caller.abort();
        await running;
        expect(parseStream((await sendCompletion()).text).text).toBe(completeOutput.text);
        const record = findRecord("gone");
        expect(record?.outcome).toBe("cancelled");
        expect(record?.tokensWasted).toBe(record?.tokensGenerated);
    });
});
