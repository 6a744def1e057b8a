// Workers fail part of their requests while their status check is good; the streams that the node then got from another
// worker are never ended when their route's TimeoutMs has passed.
import { Caller } from "../common-2/caller.mjs";
import { buildConfiguration, buildEntry, wait } from "../common-2/deployment.mjs";
import { runCase } from "../common-2/run.mjs";
import { signedHeaders, Worker } from "../common-2/worker.mjs";

/** What the workers fail of their requests in these seconds: srv_grey, errors all, share 1.0, x 0.45, for 4 s. */
const failedShare = 0.45;
const troubleMs = 4_000;
const timeoutMs = 3_000;
const deadlineMs = 8_000;
const graceMs = 500;
const requests = 90;
const events = 7;

await runCase(import.meta.url, async ({ platform, deployment, hasTrouble, record }) => {
    let isGrey = false;
    let started = 0;
    let due = 0;
    // Spread evenly, so that it is this share in each run.
    const isFailing = () => {
        due += failedShare;
        due -= due >= 1 ? 1 : 0;
        return due < failedShare;
    };
    const handle = async (request, body, response, worker) => {
        const id = request.headers["x-request-id"];
        if (isGrey && isFailing()) {
            record(`${worker.id} runs ${id} and answers 500`);
            response.writeHead(500, signedHeaders(request, worker)).end("failed");
            return;
        }
        record(`${worker.id} runs ${id} and streams ${events} events`);
        const first = Number(request.headers["last-event-id"] ?? -1) + 1;
        response.writeHead(200, signedHeaders(request, worker, { "content-type": "text/event-stream" }));
        // A sixth of the answers is short; the others take longer than the route's TimeoutMs.
        const pauseMs = body.toString() === "short" ? 60 : 700;
        for (let index = first; index < events && !response.destroyed; index += 1) {
            response.write(`id: ${index}\ndata: event ${index} of ${id}\n\n`);
            await wait(pauseMs);
        }
        response.end();
    };
    for (let index = 0; index < 5; index += 1) {
        const worker = await new Worker(`engine-${index}`, handle).open();
        platform.put("servers", worker.id, buildEntry("engines", worker.address));
    }
    const configuration = buildConfiguration(1);
    const route = configuration.Routes.find((candidate) => candidate.Name === "resumable");
    Object.assign(route, { TimeoutMs: timeoutMs, TargetLatencyMs: 800, GapAimMs: 1_000 });
    platform.put("op", "config", configuration);
    const callers = [];
    for (const name of ["node-1", "node-2", "node-3"]) {
        callers.push(new Caller((await deployment.addNode(name)).callerPort));
    }
    // Calm for ContactMs before the first request, so that all machines are in touch.
    await wait(3_200);
    isGrey = hasTrouble;
    setTimeout(() => (isGrey = false), troubleMs);
    const answers = await Promise.all(
        Array.from({ length: requests }, async (...[, index]) => {
            await wait((index * troubleMs) / requests);
            started += 1;
            const body = index % 6 === 0 ? "short" : "long";
            return callers[index % 3].send("/resumable/a", { body, deadlineMs });
        }),
    );
    for (const { id, status, text, end, sentMs, endMs } of answers) {
        const count = text.split("data:").length - 1;
        record(`${id}: status ${status}, ${count} events, ${end} after ${Math.round(endMs - sentMs)} ms`);
    }
    const long = answers.filter(({ sentMs, endMs }) => endMs - sentMs >= timeoutMs - 50);
    const open = long.filter(({ sentMs, endMs }) => endMs - sentMs > timeoutMs + graceMs);
    record(`${started} requests; ${long.length} lasted as long as TimeoutMs (${timeoutMs} ms)`);
    record(`${open.length} of these had no final answer ${graceMs} ms after it`);
    return open.length >= 8 && open.length > long.length / 4;
});
