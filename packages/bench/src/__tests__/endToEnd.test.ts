import { renderPrompt, TokenGenerator } from "@pimentocleat/standins";
import { afterEach, describe, expect, it } from "vitest";
import {
    callerSecret,
    type CallAnswer,
    model,
    readStreamText,
    startDeployment,
    type TestDeployment,
} from "./support/testDeployment.js";

const messages = [{ role: "user", content: "Draft the copy for the weekly leaflet." }];
const answerTokens = 60;

function buildChat(stream: boolean, seed = 1): object {
    return { model, messages, seed, stream, max_tokens: answerTokens, ignore_eos: true };
}

function buildExpectedText(seed = 1): string {
    return new TokenGenerator({ model, prompt: renderPrompt(messages), seed }).buildText(answerTokens);
}

function countOrders(deployment: TestDeployment): number {
    const records = deployment.services.flatMap((service) => service.readRecord());
    return records.filter((record) => record.method === "POST" && record.url === "/orders").length;
}

describe("a node in front of stand-ins", () => {
    let deployment: TestDeployment;

    afterEach(() => deployment.stop());

    it("gives each of many concurrent callers the complete answer to its own request", async () => {
        deployment = await startDeployment({ nodes: 2, engines: 3 });
        const seeds = [...Array(40).keys()];
        const answers = await Promise.all(
            seeds.map((seed) =>
                deployment.call({
                    node: seed % 2,
                    path: "/v1/chat/completions",
                    body: buildChat(seed % 3 !== 0, seed),
                }),
            ),
        );
        const texts = answers.map((answer, seed) =>
            seed % 3 === 0 ? JSON.parse(answer.text).choices[0].message.content : readStreamText(answer.text),
        );
        expect(texts).toEqual(seeds.map((seed) => buildExpectedText(seed)));
    });

    it("resumes an interrupted stream on another engine without losing or repeating a token", async () => {
        deployment = await startDeployment({ engines: 3 });
        for (const engine of deployment.engines.slice(0, 2)) {
            engine.switches.setPlan({
                faults: [{ kind: "cutMidAnswer", call: "completion", afterTokens: 17, count: 1 }],
            });
        }
        const answer = await deployment.call({ path: "/v1/chat/completions", body: buildChat(true) });
        expect(readStreamText(answer.text)).toBe(buildExpectedText());
        expect(answer.text.trimEnd().endsWith("data: [DONE]")).toBe(true);
        const records = deployment.engines.flatMap((engine) => engine.readRecord());
        expect(records.filter((record) => record.resumeMismatch === true)).toEqual([]);
        expect(records.filter((record) => record.method === "POST").length).toBeGreaterThan(1);
    });

    it("ends a stream that no engine can finish with an error event and no terminator", async () => {
        deployment = await startDeployment({ engines: 2 });
        for (const engine of deployment.engines) {
            engine.switches.setPlan({
                faults: [{ kind: "cutMidAnswer", call: "completion", afterTokens: 5 }],
            });
        }
        const answer = await deployment.call({ path: "/v1/chat/completions", body: buildChat(true) });
        expect(buildExpectedText().startsWith(readStreamText(answer.text))).toBe(true);
        expect(answer.text).toContain("event: error");
        expect(answer.text).not.toContain("[DONE]");
    });

    it("forwards the caller's key to no backend server", async () => {
        deployment = await startDeployment();
        await deployment.call({ path: "/v1/chat/completions", body: buildChat(false) });
        await deployment.call({ path: "/jobs/7", headers: { cookie: `key=${callerSecret}` } });
        const records = [...deployment.engines, ...deployment.services].flatMap((standIn) =>
            standIn.readRecord(),
        );
        const urls = records.map((record) => record.url);
        expect(urls).toEqual(expect.arrayContaining(["/v1/chat/completions", "/jobs/7"]));
        expect(JSON.stringify(records)).not.toContain(callerSecret);
    });

    it("runs an order once when it is repeated through other nodes", async () => {
        deployment = await startDeployment({ nodes: 3 });
        const body = { orderId: "leaflet-7", copies: 9_000 };
        const headers = { "idempotency-key": "confirm-leaflet-7" };
        const answers: CallAnswer[] = [];
        for (const node of [0, 1, 2]) {
            answers.push(await deployment.call({ node, path: "/orders", body, headers }));
        }
        expect(answers.map((answer) => answer.status)).toEqual([200, 200, 200].map(() => answers[0]?.status));
        expect(answers.map((answer) => answer.headers["idempotent-replayed"])).toEqual([
            undefined,
            "true",
            "true",
        ]);
        expect(countOrders(deployment)).toBe(1);
    });

    it("does not run an order again after its response was lost, and reports the outcome as unknown", async () => {
        deployment = await startDeployment({ nodes: 2 });
        deployment.services[0]?.switches.setPlan({
            faults: [{ kind: "dropReply", call: "order", count: 1 }],
        });
        const order = { path: "/orders", body: { orderId: "a" }, headers: { "idempotency-key": "a" } };
        const lost = await deployment.call(order);
        const repeated = await deployment.call({ ...order, node: 1 });
        expect(JSON.parse(lost.text).error.executed).toBe("unknown");
        expect(JSON.parse(repeated.text).error.executed).toBe("unknown");
        expect(countOrders(deployment)).toBe(1);
    });
});
