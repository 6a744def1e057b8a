/**
 * Workers fail a part of their requests with status 500. A request that is then sent to another worker, and whose stream is
 * under way at its route's timeout, gets no end: its channel stays open, without another event and without being closed.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { buildAgent, buildConfiguration, sendCall } from "../common-2/callers.mjs";
import { Nodes, wait } from "../common-2/nodes.mjs";
import { hasTrouble, runCase } from "../common-2/record.mjs";
import { Platform } from "../common-2/storeAndCloud.mjs";
import { Worker } from "../common-2/workers.mjs";

/** The largest dose of the sites' days: all workers, 45 in 100 requests, for four seconds. */
const troubleMs = 4_000;
const failedShare = 0.45;
const requests = 120;
const readMs = 600;
const events = 7;
const eventPauseMs = 150;
const firstTimeoutMs = 4_000;
const timeoutMs = 2_000;
const configurationApplyMs = 2_000;
const contactMs = 3_000;
const patienceMs = 4_000;
/** The bounds of rule CONFIG. */
const slackMs = 500;
const minimumOverdue = 8;
const overdueShare = 1 / 4;

const zones = ["a", "b", "c"];
const work = { arrivals: 0, failures: 0, startMs: undefined };

function buildRoute(routeTimeoutMs) {
    return {
        Name: "r-plan",
        PathPrefix: "/plan/",
        Kind: "stream",
        TimeoutMs: routeTimeoutMs,
        TargetLatencyMs: 800,
        GapAimMs: 1_000,
        Resumable: true,
        Sticky: true,
        MaxAttempts: 2,
        Service: "llm",
    };
}

/** Reads a prompt and answers with a stream; fails a part of the requests instead while there is trouble. */
async function runRequest({ response, headers, request }) {
    const last = request.headers["last-event-id"];
    work.startMs ??= performance.now();
    work.arrivals += 1;
    const isTrouble = hasTrouble && performance.now() - work.startMs < troubleMs;
    const isFailing = isTrouble && work.failures + 1 <= work.arrivals * failedShare;
    work.failures += isFailing ? 1 : 0;
    await wait(readMs);
    if (isFailing) {
        const body = "failed";
        response.writeHead(500, { ...headers, "content-length": body.length }).end(body);
        return;
    }
    response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
    for (let index = last === undefined ? 0 : Number(last) + 1; index < events; index += 1) {
        if (response.destroyed) {
            return;
        }
        response.write(`id: ${index}\ndata: tokens of event ${index}\n\n`);
        await wait(eventPauseMs);
    }
    response.end();
}

async function sendRequests(nodes) {
    const agent = buildAgent();
    const calls = [];
    for (let index = 0; index < requests; index += 1) {
        const own = index.toString(16).padStart(8, "0");
        calls.push(
            sendCall(nodes[index % nodes.length].frontPort, {
                method: "POST",
                path: `/plan/${index}`,
                body: "prompt",
                headers: {
                    "x-model": "m",
                    "x-token-counts": "9190,49",
                    "x-prompt-prefix": `5c1e07a2:2520,91bd3f06:3780,${own}:2890`,
                },
                deadlineMs: patienceMs,
                giveUpMs: patienceMs,
                agent,
            }),
        );
        await wait(troubleMs / requests);
    }
    return Promise.all(calls);
}

function writeAnswer(record, { requestId, status, isComplete, error, body, sentMs, endedMs }) {
    const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => id);
    const end = isComplete ? "complete" : (error ?? "cut");
    const text = `status ${status}, last event ${ids.at(-1) ?? "none"}, ${end} after ${Math.round(endedMs - sentMs)} ms`;
    record.write(`request ${requestId} sent: ${text}`, sentMs);
}

async function run(record) {
    const platform = new Platform();
    const nodes = new Nodes();
    const workers = [0, 1, 2, 3, 4, 5].map(
        (number) => new Worker(`i-llm-${number}`, "llm", zones[number % 3], runRequest),
    );
    try {
        await platform.open();
        platform.put("op", "config", buildConfiguration(1, [buildRoute(firstTimeoutMs)]));
        for (const worker of workers) {
            await worker.open(platform);
        }
        for (const zone of zones) {
            const { storeAddress, cloudAddress } = platform;
            const node = await nodes.start({ name: `front-${zone}-1`, zone, storeAddress, cloudAddress });
            if (!(await nodes.waitUntilReady(node))) {
                throw new Error(`${node.name} isn't ready`);
            }
        }
        platform.put("op", "config", buildConfiguration(2, [buildRoute(timeoutMs)]));
        record.write(`version 2 sets TimeoutMs to ${timeoutMs}`);
        await wait(configurationApplyMs + contactMs);
        const answers = await sendRequests(nodes.all);
        answers.forEach((answer) => writeAnswer(record, answer));
        const lasting = answers.filter(({ sentMs, endedMs }) => endedMs - sentMs > timeoutMs);
        const overdue = lasting.filter(({ sentMs, endedMs }) => endedMs - sentMs > timeoutMs + slackMs);
        record.write(`the workers got ${work.arrivals} requests and failed ${work.failures} of them`);
        record.write(
            `lasted longer than ${timeoutMs} ms: ${lasting.length}, without an end ${slackMs} ms later: ${overdue.length}`,
        );
        const isBroken = overdue.length >= minimumOverdue && overdue.length > lasting.length * overdueShare;
        return isBroken ? record.finish(1, "rule CONFIG is broken") : record.finish(0, "rule CONFIG holds");
    } finally {
        await nodes.stop();
        workers.forEach((worker) => worker.close());
        platform.close();
    }
}

await runCase(dirname(fileURLToPath(import.meta.url)), run);
