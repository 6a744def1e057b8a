// One tenant, whose prompts are listed in small parts, sends many times its usual. The nodes remember every part of every
// prompt for every worker, until their processes end for want of memory, all at about the same time.
import { randomBytes } from "node:crypto";
import { Agent, request as sendRequest } from "node:http";
import { apiKey, buildConfiguration, buildEntry, routeHost, wait } from "../common-2/deployment.mjs";
import { runCase } from "../common-2/run.mjs";
import { signedHeaders, Worker } from "../common-2/worker.mjs";

const zones = ["a", "b", "c"];
/** The most that the site's configurations let a zone have. */
const workersPerZone = 6;
/** A large tenant's usual number of requests a second, of some 26 that the sheet has for streams. */
const usualPerSecond = 4;
/** The site's dose of `hot_tenant`, again and again. */
const hotFactor = 7.5;
const hotMs = 6_500;
const pauseMs = 1_500;
const phases = 9;
/** 1,400 parts of 4 tokens: a prompt of 5,600 tokens, and a head of less than `MaxHeaderBytes`. */
const tokensPerPart = 4;
const sharedParts = 88;
const ownParts = 1_312;
const firstEventMs = 700;
const events = 17;
const eventPauseMs = 30;
const timeLimitMs = 8_000;
const permitted = 3;

let lastPart = 0x1000_0000;

function listParts(count) {
    return Array.from({ length: count }, () => {
        lastPart += 1;
        return `${lastPart.toString(16)}:${tokensPerPart}`;
    });
}

const shared = listParts(sharedParts);

/** Sends a request on a channel that is kept, and notes whether an answer came before the channel was closed. */
function send(port, agent) {
    const id = randomBytes(8).toString("hex");
    const seen = { id, port, hasAnswer: false, end: "open", isKept: false };
    return new Promise((resolve) => {
        const finish = (end) => {
            seen.end = end;
            resolve(seen);
        };
        const request = sendRequest(
            {
                host: "127.0.0.1",
                port,
                agent,
                method: "POST",
                path: "/stream/a",
                headers: {
                    host: routeHost,
                    "x-request-id": id,
                    "x-deadline-ms": String(timeLimitMs),
                    authorization: `Bearer ${apiKey}`,
                    "x-model": "m",
                    "x-token-counts": `${(sharedParts + ownParts) * tokensPerPart},175`,
                    "x-prompt-prefix": [...shared, ...listParts(ownParts)].join(","),
                },
            },
            (response) => {
                seen.hasAnswer = true;
                response.resume();
                response.once("end", () =>
                    finish(response.complete ? `whole ${response.statusCode}` : "cut"),
                );
                response.once("error", () => finish("cut"));
            },
        );
        request.once("error", (error) => finish(error.code ?? error.message));
        request.once("socket", () => {
            seen.isKept = request.reusedSocket;
        });
        request.end("prompt");
    });
}

await runCase(import.meta.url, async ({ platform, deployment, hasTrouble, record }) => {
    const passedOn = new Set();
    const stream = async (request, body, response, worker) => {
        passedOn.add(request.headers["x-request-id"]);
        response.on("error", () => undefined);
        await wait(firstEventMs);
        response.writeHead(200, signedHeaders(request, worker, { "content-type": "text/event-stream" }));
        for (let index = 0; index < events && !response.destroyed; index += 1) {
            response.write(`id: ${index}\ndata: event ${index}\n\n`);
            await wait(eventPauseMs);
        }
        response.end();
    };
    for (let index = 0; index < zones.length * workersPerZone; index += 1) {
        const worker = await new Worker(`engine-${index}`, stream).open();
        const zone = zones[index % zones.length];
        platform.put("servers", worker.id, buildEntry("engines", worker.address, { Zone: zone }));
    }
    const configuration = buildConfiguration(1);
    const route = configuration.Routes.find(({ Name: name }) => name === "stream");
    Object.assign(route, { TimeoutMs: timeLimitMs, TargetLatencyMs: 2_500, GapAimMs: 2_500, MaxAttempts: 1 });
    platform.put("op", "config", configuration);
    const nodes = [];
    for (const zone of zones) {
        nodes.push(await deployment.addNode(`node-${zone}`, { dataCentre: zone, memoryMegabytes: 200 }));
    }
    const agent = new Agent({ keepAlive: true });
    const sending = [];
    const sendAt = async (perSecond, durationMs) => {
        const startMs = performance.now();
        for (let count = 0; count < (perSecond * durationMs) / 1_000; count += 1) {
            if (nodes.some(({ exited }) => exited)) {
                return;
            }
            sending.push(send(nodes[sending.length % nodes.length].callerPort, agent));
            await wait(startMs + ((count + 1) * 1_000) / perSecond - performance.now());
        }
    };
    for (let phase = 0; phase < phases && !nodes.some(({ exited }) => exited); phase += 1) {
        await sendAt(usualPerSecond, pauseMs);
        record(
            `${sending.length} requests sent; the tenant sends ${hasTrouble ? hotFactor : 1} times its usual`,
        );
        await sendAt(usualPerSecond * (hasTrouble ? hotFactor : 1), hotMs);
    }
    const answers = await Promise.all(sending);
    const counts = new Map();
    answers.forEach(({ end }) => counts.set(end, (counts.get(end) ?? 0) + 1));
    record(
        `${sending.length} requests sent: ${[...counts].map(([end, count]) => `${end}: ${count}`).join(", ")}`,
    );
    for (const node of nodes) {
        const reason = /FATAL ERROR: .*/.exec(node.output)?.[0] ?? "";
        record(`${node.name}: ${node.exited ? `the process has ended, ${reason}` : "runs"}`);
    }
    const lost = answers.filter(
        ({ id, end, hasAnswer, isKept }) =>
            passedOn.has(id) && isKept && !hasAnswer && !end.startsWith("whole"),
    );
    record(
        `${lost.length} requests were passed on to a worker, and their kept channels closed without an answer`,
    );
    return lost.length > permitted;
});
