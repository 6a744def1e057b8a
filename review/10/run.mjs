// A worker makes a pause in its streams while the machine that sent them there is stopped. The node gives the worker up for
// its silence, the other worker is full, and the requesters' channels are closed in the middle of their streams.
import { Caller } from "../common-2/caller.mjs";
import { buildConfiguration, buildEntry, wait } from "../common-2/deployment.mjs";
import { runCase } from "../common-2/run.mjs";
import { signedHeaders, Worker } from "../common-2/worker.mjs";

const events = 7;
const eventPauseMs = 100;
/** The pause of the worker before its fourth event; the sheet's requesters wait 8 s for an event. */
const silenceMs = 1_500;
const silentEvent = 3;
const requests = 6;
const timeLimitMs = 4_000;
const contactMs = 3_000;
const joinAfterMs = 100;
const stopAfterMs = 200;

await runCase(import.meta.url, async ({ platform, deployment, hasTrouble, record }) => {
    const stream = async (request, body, response, worker) => {
        const id = request.headers["x-request-id"];
        const first = Number(request.headers["last-event-id"] ?? -1) + 1;
        response.on("error", () => undefined);
        response.writeHead(200, signedHeaders(request, worker, { "content-type": "text/event-stream" }));
        for (let index = first; index < events && !response.destroyed; index += 1) {
            await wait(hasTrouble && index === silentEvent ? silenceMs : eventPauseMs);
            response.write(`id: ${index}\ndata: event ${index} of ${id}\n\n`);
        }
        if (response.destroyed) {
            record(`the node closed the channel of ${id} at ${worker.id}, which works on`);
        }
        response.end();
    };
    /** Its places and its queue are taken by requests of other machines. */
    const refuse = (request, body, response, worker) => {
        const id = request.headers["x-request-id"];
        record(`${worker.id} is full and rejects ${id}`);
        response
            .writeHead(503, { "x-request-id": id, "x-not-executed": "1", "x-instance-load": "64,134,64" })
            .end();
    };
    const [silent, full] = [new Worker("engine-1", stream), new Worker("engine-2", refuse)];
    await silent.open();
    await full.open();
    platform.put("servers", silent.id, buildEntry("engines", silent.address));
    const configuration = buildConfiguration(1);
    const route = configuration.Routes.find(({ Name: name }) => name === "resumable");
    Object.assign(route, { TimeoutMs: timeLimitMs, TargetLatencyMs: 800, GapAimMs: 1_000 });
    platform.put("op", "config", configuration);
    const node = await deployment.addNode("node-1");
    const caller = new Caller(node.callerPort);
    await wait(contactMs);
    const sending = Array.from({ length: requests }, () =>
        caller.send("/resumable/a", { body: "prompt", deadlineMs: timeLimitMs }),
    );
    await wait(joinAfterMs);
    platform.put("servers", full.id, buildEntry("engines", full.address));
    record(`${full.id} has joined`);
    await wait(stopAfterMs);
    record("the machine gets SIGTERM");
    node.signal("SIGTERM");
    let lost = 0;
    for (const { id, status, text, end, sentMs, endMs } of await Promise.all(sending)) {
        const count = text.split("data:").length - 1;
        lost += end === "whole" ? 0 : 1;
        record(
            `${id}: status ${status}, ${count} of ${events} events, ${end} after ${Math.round(endMs - sentMs)} ms`,
        );
    }
    const { code, signal } = await node.ended;
    record(`the process ended with ${signal ?? `code ${code}`}`);
    return lost > 0;
});
